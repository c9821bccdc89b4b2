// Package singleton runs the singleton roles: work that only one controller of the core does at
// a time, namely the holder of a register's lease.
//
// Leases acquires and confirms the leases with consensus rounds of the registers, as package
// lease decides, and limits what may be done under them: a call is sent only while MayCall
// returns true, under a fencing token that was recorded with RecordFenceUsed. The scheduler steps
// the lease of each register and runs the register's tasks under its grant.
//
// Both are safe for concurrent use. No lock is held during a round.
package singleton

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
)

const (
	confirmTimeout = 600 * time.Millisecond
	acquireTimeout = time.Second
	// ActUs is how long after a confirmation calls may be sent, in microseconds.
	ActUs = int64(400_000)
	// inFlightUs is reserved for a call that was sent and has not arrived yet. It exceeds the
	// time that a runner or the platform may take to receive a call.
	inFlightUs = int64(800_000)
	// unknownHolderUs is how long after the start of this process a holder that is not in
	// the membership is still expected to join it.
	unknownHolderUs = int64(3_000_000)
)

// Registers are the replicated registers (consensus.Registers).
type Registers interface {
	// ID returns the identity of this member.
	ID() string
	Committed(register int) (messages.Value, bool)
	Read(ctx context.Context, register int) (messages.Value, error)
	Change(ctx context.Context, register int, change consensus.Change) (messages.Value, error)
}

// Membership reports which nodes are alive (membership.Monitor).
type Membership interface {
	Alive(role messages.Role) []messages.Peer
	DeadForUs(addr string) int64
}

// FileStore reads and writes small durable files (consensus.DiskStore).
type FileStore interface {
	ReadFile(name string) ([]byte, bool)
	WriteFile(name string, content []byte) error
}

// Config configures Leases. All fields are required, except the file store.
type Config struct {
	// Addr is the address of this controller.
	Addr string
	// LeaseUs is the minimum time between the actions of two holders, in microseconds.
	LeaseUs    int64
	Clock      func() int64 // microseconds, monotonic
	Log        logr.Logger
	Registers  Registers
	Membership Membership
	// The file store has the newest fencing token that was used; nil on a machine without a
	// disk.
	Files FileStore
	// IsCut reports whether direct calls to a controller have failed for a long time.
	IsCut func(addr string) bool
	// HasContact reports whether this controller has contact with a majority of a group.
	HasContact func(group []messages.Member) bool
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("singleton: incomplete configuration")

func (c *Config) check() error {
	if c.Addr == "" || c.Clock == nil || c.Registers == nil || c.Membership == nil || c.IsCut == nil || c.HasContact == nil {
		return ErrConfig
	}
	return nil
}

// Leases holds this controller's state of the leases of all registers that have one.
type Leases struct {
	config  Config
	startUs int64

	mu         sync.Mutex // guards what follows
	roles      map[int]*lease.Role
	inRound    map[int]bool  // a round for the lease is in progress
	usedFences map[int]int64 // the newest fencing token this process has acted under
}

// NewLeases returns Leases without a held lease.
func NewLeases(config Config) (*Leases, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	l := &Leases{
		config:     config,
		startUs:    config.Clock(),
		roles:      map[int]*lease.Role{},
		inRound:    map[int]bool{},
		usedFences: map[int]int64{},
	}
	times := lease.Times{LeaseUs: config.LeaseUs, ActUs: ActUs, InFlightUs: inFlightUs}
	for register := 1; register < consensus.RegisterCount; register++ {
		l.roles[register] = lease.NewRole(times)
	}
	return l, nil
}

// RecordInitialHolder records a lease that this process acquired with the first naming of weights
// in a register. Any other lease is ignored.
func (l *Leases) RecordInitialHolder(register int, initial messages.Lease) {
	if initial.Holder != l.config.Registers.ID() || initial.Fence != lease.InitialFence {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roles[register].RecordInitialHolder(initial.Fence)
}

// RecordRefusal records that a receiver of calls has refused a fencing token, which is then never
// used again.
func (l *Leases) RecordRefusal(register int, fence int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roles[register].RecordRefusal(fence)
}

// MayCall reports whether a call may be sent now under a fencing token. It must be called right
// before the call is sent, as the lease may have expired since the work began.
func (l *Leases) MayCall(register int, fence int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roles[register].MayCall(fence, l.config.Clock())
}

// NextFence returns the fencing token with which a lease that nobody has held would be acquired
// now. It is above floor.
func (l *Leases) NextFence(register int, floor int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roles[register].NextLease(messages.Lease{}, floor).Fence
}

// Change changes the body of a register if its lease still equals expected. edit reports whether
// there is something to change. If the lease differs or there is nothing to change, the error is
// consensus.ErrNoChange.
func (l *Leases) Change(ctx context.Context, register int, expected messages.Lease, edit func(body *messages.LeaseBody) bool) (messages.LeaseBody, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	value, err := l.config.Registers.Change(ctx, register, func(current messages.Value) ([]messages.Member, []byte, error) {
		body, err := messages.DecodeLeaseBody(current)
		if err != nil {
			return nil, nil, err
		}
		if body.Lease != expected || !edit(&body) {
			return nil, nil, consensus.ErrNoChange
		}
		encoded, err := body.MarshalMsg(nil)
		return nil, encoded, err
	})
	if err != nil {
		return messages.LeaseBody{}, err
	}
	return messages.DecodeLeaseBody(value)
}

// pendingWork sums up what the tasks of a register have to do under its lease.
type pendingWork struct {
	needed     bool
	fenceFloor int64
}

// stepLease runs the next step of a register's lease and returns what the lease grants now. If a
// round is due and none is in progress, it is started in the background; after a confirmation
// round the callback confirmed is called.
func (l *Leases) stepLease(ctx context.Context, register int, group []messages.Member, current messages.Lease, pending pendingWork, confirmed func()) lease.Grant {
	view := l.roleView(group, current, pending)
	l.mu.Lock()
	step := l.roles[register].Step(view)
	round := (step.Acquire || step.Confirm) && !l.inRound[register]
	l.inRound[register] = l.inRound[register] || round
	l.mu.Unlock()
	if round {
		go l.runRound(ctx, register, view, step, confirmed)
	}
	return step.Grant
}

// roleView returns the lease role's input: this controller's view of a register's lease and holder.
func (l *Leases) roleView(group []messages.Member, current messages.Lease, pending pendingWork) lease.RoleView {
	self := l.config.Registers.ID()
	rank, candidate := l.rank(current)
	eligible := candidate || current.Holder == self
	return lease.RoleView{
		NowUs:      l.config.Clock(),
		Self:       self,
		Lease:      current,
		HolderGone: l.holderGone(current.Holder),
		InContact:  eligible && l.config.HasContact(group),
		Rank:       rank,
		Needed:     pending.needed,
		FenceFloor: pending.fenceFloor,
	}
}

// runRound acquires or confirms the lease with a round of the register.
func (l *Leases) runRound(ctx context.Context, register int, view lease.RoleView, step lease.RoleStep, confirmed func()) {
	if step.Acquire {
		l.acquire(ctx, register, view)
	} else {
		l.confirm(ctx, register)
	}
	l.mu.Lock()
	l.inRound[register] = false
	l.mu.Unlock()
	if step.Confirm {
		confirmed()
	}
}

// confirm reads the lease from a majority. Without a response the lease expires.
func (l *Leases) confirm(ctx context.Context, register int) {
	requestedUs := l.config.Clock()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	value, err := l.config.Registers.Read(ctx, register)
	if err != nil {
		return
	}
	body, err := messages.DecodeLeaseBody(value)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roles[register].Confirmed(body.Lease, requestedUs, l.config.Clock())
}

// acquire replaces the lease with the next one, if it has not changed meanwhile.
func (l *Leases) acquire(ctx context.Context, register int, view lease.RoleView) {
	previous := view.Lease
	l.mu.Lock()
	next := l.roles[register].NextLease(previous, view.FenceFloor)
	l.mu.Unlock()
	body, err := l.Change(ctx, register, previous, func(body *messages.LeaseBody) bool {
		body.Lease = next
		return true
	})
	if err != nil {
		l.config.Log.Info("lease not acquired", "part", register, "fence", next.Fence, "err", err)
		return
	}
	if body.Lease != next {
		return
	}
	used := l.usedFence(register, previous.Fence)
	l.mu.Lock()
	l.roles[register].Acquired(previous, next, used, l.config.Clock())
	l.mu.Unlock()
	l.config.Log.Info("lease acquired", "part", register, "fence", next.Fence, "from", previous.Holder)
}

// holderGone reports whether the holder of a lease is dead or does not answer this controller.
func (l *Leases) holderGone(holder string) bool {
	addr, _, _ := strings.Cut(holder, "/")
	if holder == "" || l.config.IsCut(addr) {
		return holder != ""
	}
	for _, peer := range l.config.Membership.Alive(messages.Controller) {
		if peer.MemberID == holder {
			return false
		}
	}
	return l.config.Membership.DeadForUs(addr) > 0 || l.config.Clock()-l.startUs >= unknownHolderUs
}

// rank returns how many of the core's live controllers that this one reaches come before it as
// candidates for a takeover of the lease, and whether it is a candidate itself. The order
// differs with each fencing token, so that it is not always the same controller that comes first.
func (l *Leases) rank(current messages.Lease) (rank int, candidate bool) {
	var addrs []string
	for _, peer := range membership.CountedControllers(l.config.Membership.Alive(messages.Controller)) {
		if peer.MemberID != current.Holder && (peer.Addr == l.config.Addr || !l.config.IsCut(peer.Addr)) {
			addrs = append(addrs, peer.Addr)
		}
	}
	return lease.Rank(addrs, l.config.Addr, current)
}
