// The components of a soak: routers and controllers as child processes, stand-in runners in
// this process, and a TCP proxy in front of each component.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/load"
	"beechtide.org/beechtide/internal/settings"
	"beechtide.org/beechtide/internal/standin"
)

// Ports of a node. All nodes use the same ports at different addresses.
const (
	lowestPort        = 12000
	highestPort       = 30000 // below the ephemeral port range
	portsPerNode      = 8
	controlPortOffset = 2 // offset from the first port
	frontPortOffset   = 3
	readyPortOffset   = 4
)

// Bounds in the settings of the nodes.
const (
	heartbeatMs = 1000
	leaseMs     = 3000
	versionMs   = 8000
	drainMs     = 2000
	graceS      = 8
	contactMs   = 3000
	convergeMs  = 2000
	evacuateMs  = 2000
	memoryMB    = 160 // of the smallest machine of the deployments

	usageWindowS = 4
	usageDelayS  = 10
	callsPerS    = 50
)

const (
	zoneName    = "a"
	serviceName = "generate"
	modelName   = "model-1"
)

// cluster holds the components of one soak.
type cluster struct {
	dir               string
	zones             int // over which routers, controllers and runners are spread
	routers           []*process
	controllers       []*process
	routerProxies     []*proxy // in front of the routers
	controllerProxies []*proxy // in front of the controllers
	platform          *standin.Platform
	recorder          *recorder
	latestWeights     atomic.Int64 // newest target weights version; new runners start with it

	mu      sync.Mutex
	runners []*runnerSlot
}

// runnerSlot is the position of a runner in the cluster. A runner that crashes or leaves is
// replaced by a new incarnation in the same slot.
type runnerSlot struct {
	runner *standin.Runner
	proxy  *proxy
	zone   string
}

// zoneOf returns the zone of the node with an index; nodes of all roles are spread alike.
func zoneOf(index, zones int) string { return string(rune(zoneName[0] + byte(index%max(zones, 1)))) }

// newCluster prepares the components without starting the processes; start starts them.
func newCluster(program, dir string, shape Shape, r *recorder, onExit func(*process, error)) (*cluster, error) {
	subnet, port, err := freeAddresses(max(shape.Routers, shape.Controllers))
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, zones: shape.Zones, recorder: r, platform: standin.NewPlatform(standin.PlatformConfig{CallsPerSecond: callsPerS, OnCall: r.onCall})}
	platformAddress, err := c.platform.Start()
	if err != nil {
		return nil, err
	}
	c.latestWeights.Store(1)
	var seeds []string
	for i := range min(shape.Controllers, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", subnet, i+1, port+controlPortOffset))
	}
	node := func(role string, i int) *process {
		set := nodeSettings(role, fmt.Sprintf("%s.%d", subnet, i+1), port, seeds)
		set.Node = fmt.Sprintf("%s-%d", role, i)
		set.Zone = zoneOf(i, shape.Zones)
		for zone := range shape.Zones {
			set.Zones[zoneOf(zone, shape.Zones)] = "r"
		}
		if shape.Zones > 1 {
			set.Tolerance.Zones = 1
		}
		set.Cloud = settings.Cloud{Address: platformAddress, Duties: []string{"metering", "scaling"}, DutyPerS: callsPerS}
		set.Counted = i < shape.Controllers
		if set.Counted {
			set.DataDir = filepath.Join(dir, set.Node+".data")
		}
		return &process{program: program, role: role, settings: set, dir: dir, onExit: onExit}
	}
	for i := range shape.Controllers {
		c.controllers = append(c.controllers, node(roleController, i))
	}
	for i := range shape.Routers {
		c.routers = append(c.routers, node(roleRouter, i))
	}
	return c, nil
}

func nodeSettings(role, ip string, port int, seeds []string) settings.Settings {
	set := settings.Settings{
		Role: role, MachineClass: "edge", Ip: ip, Zone: zoneName, Region: "r", Zones: map[string]string{zoneName: "r"},
		Ports: []int{port, port + 1}, Seeds: seeds, Bootstrap: true, BeatPeriodMs: heartbeatMs,
		Tolerance: settings.Tolerance{Machines: 1},
		Limits:    settings.Limits{CpuShare: 1, Cores: 1, MemoryMb: memoryMB, FdLimit: 4096, LinkMbps: 1000, DiskMb: 64},
		Bounds: settings.Bounds{
			ContactMs: contactMs, ConvergeMs: convergeMs, DrainMs: drainMs, GraceS: graceS, LeaseMs: leaseMs, VersionMs: versionMs, EvacuateMs: evacuateMs,
			UsageWindowS: usageWindowS, UsageDelayS: usageDelayS,
			AckMs: 4000, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 60, TransitMs: 120, Fenced: true,
		},
	}
	if role == roleController {
		set.Serves = []string{"controller"}
		set.Listen.Control = fmt.Sprintf("%s:%d", ip, port+controlPortOffset)
		return set
	}
	set.Serves = []string{"edge"}
	set.Listen.Front = fmt.Sprintf("%s:%d", ip, port+frontPortOffset)
	set.Listen.Ready = fmt.Sprintf("%s:%d", ip, port+readyPortOffset)
	return set
}

// freeAddresses picks a loopback subnet and a port range on which nothing listens, so that
// several soaks can run on one machine at the same time.
func freeAddresses(nodes int) (subnet string, port int, err error) {
	for range 100 {
		subnet = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		port = lowestPort + rand.IntN((highestPort-lowestPort)/portsPerNode)*portsPerNode
		if areFree(subnet, port, nodes) {
			return subnet, port, nil
		}
	}
	return "", 0, errors.New("soak: find free addresses on the loopback network: every address range tried is in use")
}

func areFree(subnet string, port, nodes int) bool {
	for i := range nodes {
		for offset := range portsPerNode {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", subnet, i+1, port+offset))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// start starts every process with an empty data directory, and the proxies in front of them.
func (c *cluster) start() error {
	for _, p := range slices.Concat(c.controllers, c.routers) {
		if p.settings.DataDir != "" {
			if err := os.MkdirAll(p.settings.DataDir, directoryMode); err != nil {
				return errors.Wrap(err, "soak: create data directory")
			}
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range c.controllers {
		px, err := newProxy(p.settings.Ip, p.settings.Listen.Control)
		if err != nil {
			return errors.Wrap(err, "soak: open proxy")
		}
		c.controllerProxies = append(c.controllerProxies, px)
	}
	for _, p := range c.routers {
		px, err := newProxy(p.settings.Ip, p.settings.Listen.Front)
		if err != nil {
			return errors.Wrap(err, "soak: open proxy")
		}
		c.routerProxies = append(c.routerProxies, px)
	}
	return nil
}

// close kills the child processes by their pids and stops the runners, the proxies and the
// platform.
func (c *cluster) close() {
	for _, p := range slices.Concat(c.routers, c.controllers) {
		if p.currentIncarnation() > 0 {
			p.kill()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, slot := range c.runners {
		slot.runner.Crash()
		slot.proxy.close()
	}
	for _, px := range slices.Concat(c.controllerProxies, c.routerProxies) {
		px.close()
	}
	c.platform.Close()
}

// controlProxyAddress returns the address of the proxy in front of a control address.
func (c *cluster) controlProxyAddress(address string) string {
	for i, p := range c.controllers {
		if p.settings.Listen.Control == address {
			return c.controllerProxies[i].address()
		}
	}
	return address
}

// startRunners starts count runners, each behind a proxy.
func (c *cluster) startRunners(count int) error {
	for index := range count {
		slot, err := c.newRunner(zoneOf(index, c.zones))
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.runners = append(c.runners, slot)
		c.mu.Unlock()
	}
	return nil
}

func (c *cluster) newRunner(zone string) (*runnerSlot, error) {
	var controls []string
	for _, p := range c.controllers {
		controls = append(controls, p.settings.Listen.Control)
	}
	runner := standin.New(standin.Config{
		Service: serviceName, Zone: zone, Controllers: controls, TranslateAddress: c.controlProxyAddress,
		Model: modelName, HeartbeatInterval: heartbeatMs * time.Millisecond, DrainTime: drainMs * time.Millisecond,
		Capacity: runnerCapacity, ProbePath: probePath, WeightsVersion: c.latestWeights.Load(),
		OnRun: c.recorder.onRun, OnOrder: c.recorder.onOrder,
	})
	address, err := runner.Listen()
	if err != nil {
		return nil, err
	}
	px, err := newProxy("127.0.0.1", address)
	if err != nil {
		return nil, errors.Wrap(err, "soak: open proxy")
	}
	c.recorder.update(func(e *Evidence) {
		if e.RunnerZones == nil {
			e.RunnerZones = map[string]string{}
		}
		e.RunnerZones[runner.ID()] = zone
	})
	runner.Start(px.address())
	return &runnerSlot{runner: runner, proxy: px, zone: zone}, nil
}

func (c *cluster) slotAt(slot int) *runnerSlot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runners[slot]
}

// loadedWeights returns the weights version that each runner has loaded.
func (c *cluster) loadedWeights() []LoadedWeights {
	c.mu.Lock()
	defer c.mu.Unlock()
	var loaded []LoadedWeights
	for _, slot := range c.runners {
		loaded = append(loaded, LoadedWeights{Runner: slot.runner.ID(), Version: slot.runner.WeightsVersion()})
	}
	return loaded
}

// replaceRunner starts a new incarnation of the runner in a slot.
func (c *cluster) replaceRunner(slot int) error {
	old := c.slotAt(slot)
	old.proxy.close()
	newSlot, err := c.newRunner(old.zone)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.runners[slot] = newSlot
	c.mu.Unlock()
	return nil
}

// loadRouters returns the routers as the load clients address them. Readiness is checked at the
// router directly, without the proxy.
func (c *cluster) loadRouters() []load.Router {
	var routers []load.Router
	for i, p := range c.routers {
		routers = append(routers, load.Router{Node: p.name(), Front: c.routerProxies[i].address(), Ready: p.settings.Listen.Ready})
	}
	return routers
}

// waitUntilServing waits for every process and returns the names of those that do not serve.
func (c *cluster) waitUntilServing(ctx context.Context) (missing []string) {
	for _, p := range slices.Concat(c.controllers, c.routers) {
		if ctx.Err() != nil || !p.waitUntilServing() {
			missing = append(missing, p.name())
		}
	}
	return missing
}
