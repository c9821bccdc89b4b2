// Package singleton runs the singleton roles: work that one controller of the core does at a
// time, the holder of a register's lease.
//
// Leases acquires and confirms the leases by rounds of the registers, as package lease decides,
// and bounds what may be done under them: a call leaves only while MayCall says so, under a
// fencing token that RecordFenceUsed has noted. Runner steps the tasks of each register and runs
// them under the grant of its lease.
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
	// ActUs is for how long after a confirmation calls may leave, in microseconds.
	ActUs = int64(400_000)
	// spareUs is for a call that was sent and has not arrived; it exceeds the time that a
	// runner or the platform may take to receive one.
	spareUs = int64(800_000)
	// unknownHolderUs is how long after the start of a process a holder that membership
	// has not heard of may still turn up.
	unknownHolderUs = int64(3_000_000)
)

// Registers are the replicated registers (consensus.Registers).
type Registers interface {
	// ID is the identity of this member.
	ID() string
	Committed(part int) (messages.Value, bool)
	Read(ctx context.Context, part int) (messages.Value, error)
	Change(ctx context.Context, part int, change consensus.Change) (messages.Value, error)
}

// Membership tells which nodes are alive (membership.Monitor).
type Membership interface {
	Alive(role messages.Role) []messages.Peer
	DeadForUs(addr string) int64
}

// Notes are small durable files (consensus.DiskStore).
type Notes interface {
	ReadFile(name string) ([]byte, bool)
	WriteFile(name string, content []byte) error
}

// Config is what Leases are given. All fields but Notes are required.
type Config struct {
	// Addr is the address of this controller.
	Addr string
	// LeaseUs is the least time between the acts of two holders, in microseconds.
	LeaseUs    int64
	Clock      func() int64 // microseconds, monotonic
	Log        logr.Logger
	Registers  Registers
	Membership Membership
	// Notes keep the newest fence that was used; nil on a machine without a disk.
	Notes Notes
	// IsCut reports whether direct calls to a controller have failed for long.
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

// Leases are the leases of all registers that have one, as this controller holds them.
type Leases struct {
	config  Config
	startUs int64

	mu    sync.Mutex // guards what follows
	roles map[int]*lease.Role
	busy  map[int]bool  // a round for the lease is under way
	used  map[int]int64 // the newest fence this process has acted under
}

// NewLeases returns leases of which none is current.
func NewLeases(config Config) (*Leases, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	l := &Leases{
		config:  config,
		startUs: config.Clock(),
		roles:   map[int]*lease.Role{},
		busy:    map[int]bool{},
		used:    map[int]int64{},
	}
	times := lease.Times{LeaseUs: config.LeaseUs, ActUs: ActUs, InFlightUs: spareUs}
	for part := 1; part < consensus.RegisterCount; part++ {
		l.roles[part] = lease.NewRole(times)
	}
	return l, nil
}

// RecordInitialHolder notes a lease that came with the first naming of weights.
func (l *Leases) RecordInitialHolder(part int, initial messages.Lease) {
	if initial.Holder != l.config.Registers.ID() || initial.Fence != lease.InitialFence {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roles[part].RecordInitialHolder(initial.Fence)
}

// Refuse notes that a receiver of calls has refused a fence, which is then never used
// again.
func (l *Leases) Refuse(part int, fence int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roles[part].RecordRefusal(fence)
}

// MayCall reports whether a call may leave now under a fence. It is asked as the call
// leaves: the lease may have expired since the work began.
func (l *Leases) MayCall(part int, fence int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roles[part].MayCall(fence, l.config.Clock())
}

// NextFence returns the fence with which a lease would be acquired now, above floor.
func (l *Leases) NextFence(part int, floor int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roles[part].NextLease(messages.Lease{}, floor).Fence
}

// Change changes the body of a register, if its lease is still as it was. edit reports
// whether there is something to change; if not, the error is consensus.ErrNoChange.
func (l *Leases) Change(ctx context.Context, part int, was messages.Lease, edit func(body *messages.LeaseBody) bool) (messages.LeaseBody, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	value, err := l.config.Registers.Change(ctx, part, func(current messages.Value) ([]messages.Member, []byte, error) {
		body, err := messages.DecodeLeaseBody(current)
		if err != nil {
			return nil, nil, err
		}
		if body.Lease != was || !edit(&body) {
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

// work is what there is to do under a lease.
type work struct {
	needed     bool
	fenceFloor int64
}

// step takes the next step of a register's lease, and returns what it grants now. A round that
// is due is begun; after a confirmation confirmed is called.
func (l *Leases) step(ctx context.Context, part int, group []messages.Member, current messages.Lease, todo work, confirmed func()) lease.Grant {
	view := l.view(group, current, todo)
	l.mu.Lock()
	step := l.roles[part].Step(view)
	round := (step.Acquire || step.Confirm) && !l.busy[part]
	l.busy[part] = l.busy[part] || round
	l.mu.Unlock()
	if round {
		go l.round(ctx, part, view, step, confirmed)
	}
	return step.Grant
}

// view is what this controller sees of a register's lease and its holder.
func (l *Leases) view(group []messages.Member, current messages.Lease, todo work) lease.RoleView {
	self := l.config.Registers.ID()
	rank, candidate := l.rank(current)
	eligible := candidate || current.Holder == self
	return lease.RoleView{
		NowUs:      l.config.Clock(),
		Self:       self,
		Lease:      current,
		HolderGone: l.gone(current.Holder),
		InContact:  eligible && l.config.HasContact(group),
		Rank:       rank,
		Needed:     todo.needed,
		FenceFloor: todo.fenceFloor,
	}
}

// round carries out a round of the register for the lease.
func (l *Leases) round(ctx context.Context, part int, view lease.RoleView, step lease.RoleStep, confirmed func()) {
	if step.Acquire {
		l.acquire(ctx, part, view)
	} else {
		l.confirm(ctx, part)
	}
	l.mu.Lock()
	l.busy[part] = false
	l.mu.Unlock()
	if step.Confirm {
		confirmed()
	}
}

// confirm asks a majority whether the lease still stands. Without an answer it expires.
func (l *Leases) confirm(ctx context.Context, part int) {
	askedUs := l.config.Clock()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	value, err := l.config.Registers.Read(ctx, part)
	if err != nil {
		return
	}
	body, err := messages.DecodeLeaseBody(value)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roles[part].Confirmed(body.Lease, askedUs, l.config.Clock())
}

// acquire wins the lease by a round, if it is still as it was.
func (l *Leases) acquire(ctx context.Context, part int, view lease.RoleView) {
	was := view.Lease
	l.mu.Lock()
	next := l.roles[part].NextLease(was, view.FenceFloor)
	l.mu.Unlock()
	body, err := l.Change(ctx, part, was, func(body *messages.LeaseBody) bool {
		body.Lease = next
		return true
	})
	if err != nil {
		l.config.Log.Info("lease not acquired", "part", part, "fence", next.Fence, "err", err)
		return
	}
	if body.Lease != next {
		return
	}
	used := l.usedFence(part, was.Fence)
	l.mu.Lock()
	l.roles[part].Acquired(was, next, used, l.config.Clock())
	l.mu.Unlock()
	l.config.Log.Info("lease acquired", "part", part, "fence", next.Fence, "from", was.Holder)
}

// gone reports whether the holder of a lease is dead or does not answer this node.
func (l *Leases) gone(holder string) bool {
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

// rank is how many of the core's live controllers that this one reaches come before
// it in the succession of a lease, and whether it is itself among them. The order
// differs with each fence, so that the same controller is not always the first.
func (l *Leases) rank(current messages.Lease) (rank int, candidate bool) {
	var addrs []string
	for _, peer := range membership.CountedControllers(l.config.Membership.Alive(messages.Controller)) {
		if peer.MemberID != current.Holder && (peer.Addr == l.config.Addr || !l.config.IsCut(peer.Addr)) {
			addrs = append(addrs, peer.Addr)
		}
	}
	return lease.Rank(addrs, l.config.Addr, current)
}
