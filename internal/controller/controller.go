// Package controller implements the controller role, which stores the control state: it serves
// the API calls of runners and of the operator, agrees with the other controllers on
// configuration, target weights and leases, and distributes the state to routers.
//
// # Input and guarantees
//
// New receives the settings, a goroutine pool, a monotonic clock in microseconds and
// a logger. Run serves until its context ends.
//
//   - A configuration or target version is acknowledged after a majority has stored it on
//     disk (package consensus).
//   - Responses that depend on the state are sent only while the controller holds the contact
//     lease with a majority (package lease); without it the call is answered with 503.
//   - A runner's draining or leaving is acknowledged after a majority of the
//     controllers has recorded it on disk.
//
// # Structure
//
// Self-contained components are subpackages with their own state and mutex, which do not refer
// to Controller: singleton (leases and the tasks under them), weightrollout, servicerollout,
// usagereport and scaling (tasks), platform and runnerapi (calls under a lease), grouprepair
// (the groups of the registers), runnerreader (the prefixes that runners
// have cached), quotaowner (tenant rate limits), tallies, drainstore (drains on disk), httpapi.
//
// This package contains: control.go (the HTTP calls), feed.go (distributes state to subscribers),
// subscriptions.go (receives the feeds of other controllers), readers.go (selects the runners to
// read), contact.go (the contact lease), drain.go and drain_resend.go (replicate draining),
// saved_runners.go (a copy of the registry on disk), duties.go (sets up the singleton tasks).
//
// # Ownership of state
//
// Controller.Run starts a goroutine for each periodic task and one for each server;
// all end with its context. Calls run on goroutines of the HTTP server, messages on
// those of the transport.
//
//   - Committed values belong to consensus.Registers, the runners to
//     registry.Registry, the live nodes to membership.Monitor. Each is safe for concurrent use.
//   - The compiled configuration is immutable and swapped by an atomic pointer, under
//     the mutex of the feed.
//   - The feed (streams, sums of loads, pending updates) has its own mutex.
//     The goroutine of runFeed sends; all other goroutines only add to it.
//   - The contact lease, the view of the core, the target versions and the acknowledged
//     drains each have a mutex beside their state, and so has each subpackage.
//
// No lock is held while a call to another node or to a runner is made.
package controller

import (
	"context"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/clocksync"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/drainstore"
	"beechtide.org/beechtide/internal/controller/grouprepair"
	"beechtide.org/beechtide/internal/controller/operatorapi"
	"beechtide.org/beechtide/internal/controller/platform"
	"beechtide.org/beechtide/internal/controller/quotaowner"
	"beechtide.org/beechtide/internal/controller/runnerapi"
	"beechtide.org/beechtide/internal/controller/runnerreader"
	"beechtide.org/beechtide/internal/controller/scaling"
	"beechtide.org/beechtide/internal/controller/singleton"
	"beechtide.org/beechtide/internal/controller/tallies"
	"beechtide.org/beechtide/internal/controller/usagereport"
	"beechtide.org/beechtide/internal/controller/weightrollout"
	"beechtide.org/beechtide/internal/dissemination"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/memorybudget"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/settings"
	"beechtide.org/beechtide/internal/transport"
	"beechtide.org/beechtide/internal/upstream"
)

// Controller is a controller node.
type Controller struct {
	set       settings.Settings
	log       logr.Logger
	clock     func() int64
	transport *transport.Transport
	monitor   *membership.Monitor
	publisher *dissemination.Publisher
	registers *consensus.Registers
	registry  *registry.Registry
	connPool  *upstream.ConnPool
	runnerAPI *runnerapi.Client
	table     atomic.Pointer[routeconfig.Table]
	seeds     atomic.Pointer[[]string]
	// platformAddr is the address of the platform's API.
	platformAddr atomic.Pointer[string]

	heartbeats heartbeatQueue

	feed    feed
	readers *runnerreader.Readers

	leases       *singleton.Leases
	tasks        *singleton.Scheduler
	operator     *operatorapi.Service
	platform     *platform.Client
	rollouts     *weightrollout.Driver
	usage        *usagereport.Reporter // nil if the platform has no usage duty
	scaler       *scaling.Scaler       // nil if the platform has no scaling duty
	quotas       *quotaowner.Service
	tallies      *tallies.Service
	targets      namedTargets
	stability    stability
	repairs      *grouprepair.Repairer
	contactLease contactLease
	ackedDrains  ackedDrains
	startUs      int64

	timeOfDay clocksync.Shared
	counters  counters

	disk *consensus.DiskStore // nil on machines without one
}

// New creates a controller: it opens the disk and restores the stored state. The controller
// neither sends nor serves anything before Run.
func New(set settings.Settings, pool *ants.Pool, clock func() int64, log logr.Logger) (*Controller, error) {
	trans, err := transport.New(set.ControllerAddr(), pool, log)
	if err != nil {
		return nil, errors.Wrap(err, "controller: open the transport")
	}
	connPool := upstream.NewConnPool(clock, memorybudget.ForResponses(set.Limits.MemoryMb))
	c := &Controller{
		set:       set,
		log:       log,
		clock:     clock,
		startUs:   clock(),
		transport: trans,
		registry:  registry.New(),
		connPool:  connPool,
		runnerAPI: runnerapi.New(connPool),
	}
	c.Reload(set)
	c.feed.init(clock())
	c.timeOfDay.SetVotes()
	c.timeOfDay.Observe(time.Now().UnixMicro(), clock())
	for _, step := range []func() error{c.openDisk, c.openRegisters, c.newPeerServices} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	c.handleMessages()
	for register := range consensus.RegisterCount {
		if value, ok := c.registers.Committed(register); ok && value.Version > 0 {
			c.onCommitted(register, value)
		}
	}
	return c, nil
}

// openDisk opens the disk store, if a data directory is set, and restores the saved runners, which
// serve only as a hint, and the acknowledged drains.
func (c *Controller) openDisk() (err error) {
	if c.set.DataDir == "" {
		return nil
	}
	// The directory name is kept for compatibility with data of earlier versions.
	if c.disk, err = consensus.NewDiskStore(filepath.Join(c.set.DataDir, "ledger")); err != nil {
		return errors.Wrap(err, "controller: open the disk store")
	}
	c.restoreRunners()
	c.ackedDrains.store = drainstore.Open(c.disk, c.clock)
	for _, record := range c.ackedDrains.store.Records() {
		c.recordDrain(record)
	}
	c.syncRunners()
	return nil
}

// openRegisters opens the replicated registers and creates the membership monitor, which announces
// this member's identity.
func (c *Controller) openRegisters() (err error) {
	var store consensus.Store = &consensus.MemoryStore{}
	if c.disk != nil {
		store = c.disk
	}
	caller := contactCaller{c.transport, &c.contactLease, c.clock}
	c.registers, err = consensus.Open(c.set.ControllerAddr(), transport.KindConsensus, c.set.Bootstrap, c.set.SeedAddrs(), caller, store, c.log, c.onCommitted)
	if err != nil {
		return errors.Wrap(err, "controller: open the registers")
	}
	c.contactLease.lease.Self = c.registers.ID()
	self := messages.Peer{
		Addr:     c.set.ControllerAddr(),
		Role:     messages.Controller,
		Zone:     c.set.Zone,
		MemberID: c.registers.ID(),
		Control:  c.set.Listen.Control,
		Node:     c.set.Node,
		Counted:  c.set.Counted,
	}
	c.monitor = membership.NewMonitor(c.transport, self, c.clock, c.knownControllers)
	return nil
}

// newPeerServices creates the components that work together with the other controllers.
func (c *Controller) newPeerServices() (err error) {
	c.publisher = dissemination.NewPublisher(c.transport, dissemination.PublisherCallbacks{
		DeltaSince:   c.deltaSince,
		ApplyReport:  c.applyReport,
		Unsubscribed: c.removeSender,
	})
	if c.readers, err = c.newReaders(); err != nil {
		return err
	}
	if c.repairs, err = c.newRepairer(grouprepair.DefaultHandOverTimeouts); err != nil {
		return err
	}
	if err := c.newSingletons(); err != nil {
		return err
	}
	if c.operator, err = c.newOperatorAPI(); err != nil {
		return err
	}
	if c.quotas, err = c.newQuotaOwner(); err != nil {
		return err
	}
	c.tallies, err = c.openTallies()
	return err
}

// handleMessages registers the handlers for messages of other nodes.
func (c *Controller) handleMessages() {
	trans := c.transport
	trans.OnCall(transport.KindConsensus, func(ctx context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
		return c.registers.Handle(ctx, body)
	})
	trans.OnCall(transport.KindVersions, c.handleVersions)
	trans.OnCall(transport.KindCondition, func(context.Context, *transport.Conn, []byte) ([]byte, error) {
		report := c.condition()
		return report.MarshalMsg(nil)
	})
	trans.OnCall(transport.KindDraining, c.handleDrain)
	if c.usage != nil {
		trans.OnCall(transport.KindUsageRows, c.usage.HandleRows)
		trans.OnCall(transport.KindUsageQuery, c.usage.HandleQuery)
	}
	trans.OnCall(transport.KindQuotaClaim, c.quotas.HandleClaim)
	trans.OnCall(transport.KindQuotaAsk, c.quotas.HandleAsk)
	trans.OnCall(transport.KindTallyAppend, c.tallies.HandleAppend)
	trans.OnCall(transport.KindTallyPull, c.tallies.HandlePull)
	trans.OnDatagram(transport.KindRunner, c.receiveHeartbeat)
	trans.OnDatagram(transport.KindRunners, c.receiveHeartbeats)
}

// knownControllers returns the addresses that membership contacts: the seeds and the group
// members of the stored registers, since all seeds may be stale.
func (c *Controller) knownControllers() []string {
	set := c.set
	set.Seeds = *c.seeds.Load()
	addrs := set.SeedAddrs()
	for register := range consensus.RegisterCount {
		if v, ok := c.registers.Committed(register); ok {
			for _, m := range v.Group {
				addrs = append(addrs, m.Addr)
			}
		}
	}
	return addrs
}

// Reload applies the settings that may change while the process runs: the seeds and the
// address of the platform.
func (c *Controller) Reload(set settings.Settings) {
	c.seeds.Store(&set.Seeds)
	c.platformAddr.Store(&set.Cloud.Address)
}

// Periods of the tasks that this package runs itself.
const (
	comparePeriod = 500 * time.Millisecond // compares versions with the other controllers
	sweepPeriod   = 500 * time.Millisecond // checks for silent runners
	readersPeriod = 500 * time.Millisecond // updates the set of runners to read
)

// Run serves until ctx ends. It then hands its register memberships over to a spare controller,
// if there is one, and serves the registers until that is done.
func (c *Controller) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer c.transport.Close()
	defer stop()
	c.transport.Run(runCtx)
	go c.monitor.Run(runCtx)
	go c.subscribeToPeers(runCtx)
	go c.repairs.Run(runCtx)
	go c.readers.Run(runCtx)
	go loop.Every(runCtx, comparePeriod, func() { c.compareWithPeers(runCtx) })
	go loop.Every(runCtx, sweepPeriod, c.sweep)
	go loop.Every(runCtx, heartbeatBatchInterval, c.forwardHeartbeats)
	go loop.Every(runCtx, readersPeriod, func() { c.readRunners(runCtx) })
	go loop.Every(runCtx, singleton.StepPeriod, func() {
		c.timeOfDay.Observe(time.Now().UnixMicro(), c.clock())
		c.tasks.Step(runCtx)
	})
	if c.usage != nil {
		go c.usage.Run(runCtx)
	}
	quotaCtx, stopQuotas := context.WithCancel(runCtx)
	defer stopQuotas()
	go c.quotas.Run(quotaCtx)
	go c.tallies.Run(runCtx)
	go c.runFeed(runCtx)
	go c.readRegisters(runCtx)
	go c.finishRounds(runCtx)
	go newDrainResender(c).run(runCtx)
	go c.metricsServer().Run(runCtx)
	if c.disk != nil {
		go c.saveRunners(runCtx)
	}
	served := make(chan error, 1)
	go func() { served <- c.serveControl(runCtx) }()
	var err error
	select {
	case err = <-served:
		stop()
	case <-ctx.Done():
		stopQuotas()
		c.quotas.Leave()
		c.repairs.Leave(runCtx)
		stop()
		err = <-served
	}
	c.closeDisk()
	return err
}

// closeTimeout bounds how long a shutdown waits for writes in progress.
const closeTimeout = 500 * time.Millisecond

func (c *Controller) closeDisk() {
	if c.disk == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		c.disk.Close()
		<-c.tallies.Closed()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}

// readRegisters reads every register once after the start, which completes values that a majority
// had accepted before a power loss but that were not yet known to be committed.
func (c *Controller) readRegisters(ctx context.Context) {
	for register := range consensus.RegisterCount {
		for ctx.Err() == nil {
			cctx, cancel := context.WithTimeout(ctx, time.Second)
			v, err := c.contactRegisters().Read(cctx, register)
			cancel()
			c.log.Info("register read after start", "part", register, "version", v.Version, "members", len(v.Group), "err", err)
			if err == nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (c *Controller) onCommitted(register int, v messages.Value) {
	if v.Version == 0 || len(v.Body) == 0 {
		return
	}
	if register == consensus.ConfigRegister {
		var body messages.ConfigBody
		if _, err := body.UnmarshalMsg(v.Body); err == nil && body.Version > 0 {
			if m, err := routeconfig.ParseAccepted(body.Raw); err == nil {
				begun := time.Now()
				c.publishConfig(v.Version, m)
				c.counters.publishes.Observe(time.Since(begun))
			}
		}
	}
	if register != consensus.ConfigRegister {
		c.onLeaseCommitted(register, v)
	}
}

// onLeaseCommitted applies and publishes the committed body of a register with a lease. Routers do
// not need the closed usage windows, so these are left out.
func (c *Controller) onLeaseCommitted(register int, v messages.Value) {
	body, err := messages.DecodeLeaseBody(v)
	if err != nil {
		c.log.Error(err, "committed register cannot be decoded", "part", register)
		return
	}
	c.targets.recordCommitted(body.Targets, c.starting(), c.clock())
	if c.usage != nil {
		c.usage.DropClosedWindows(body.Usage.Next)
	}
	body.Usage.Pending = nil
	published, err := body.MarshalMsg(nil)
	if err != nil {
		c.log.Error(err, "committed register cannot be encoded for publishing", "part", register)
		return
	}
	c.publishRegister(messages.RegisterUpdate{Part: register, Version: v.Version, Body: published})
}

// receiveHeartbeat applies a single heartbeat forwarded by a controller of an earlier release.
func (c *Controller) receiveHeartbeat(_ string, body []byte) {
	var record messages.RunnerRecord
	if _, err := record.UnmarshalMsg(body); err == nil && c.registry.ApplyHeartbeat(record, c.clock()) {
		c.publishRunners(record.ID)
	}
}

// silenceLimits returns the silence limits for the heartbeat period of the settings.
func (c *Controller) silenceLimits() registry.SilenceLimits {
	return registry.SilenceLimitsFor(int64(c.set.BeatPeriodMs) * 1000)
}

func (c *Controller) sweep() {
	for _, n := range c.registry.Sweep(c.clock(), c.silenceLimits(), !c.cutOff()) {
		c.publishRunners(n.ID)
	}
	c.syncRunners()
	snap := c.registry.Snapshot()
	c.readers.Retain(func(id string) bool {
		_, known := snap.ByID[id]
		return known || strings.Contains(id, ":") // the ID of a cache store is its address
	})
	c.connPool.Sweep(func(string) bool { return true })
}
