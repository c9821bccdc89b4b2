// Package grouprepair keeps the groups of the replicated registers whole: it replaces members that
// are dead, and hands a member's places over before its process ends (hand_over.go).
//
// A consensus.RepairCoordinator for each register decides; a Repairer gives it what this
// controller sees, asks members to confirm what they have on disk, and carries proposals through
// a round. A Repairer is safe for concurrent use.
package grouprepair

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
)

// Times and bounds of repairs.
const (
	period             = 300 * time.Millisecond
	deadBeforeReplaced = time.Second     // a member that is dead for so long is replaced
	confirmTimeout     = time.Second     // for the confirmations of one step
	proposeTimeout     = 2 * time.Second // for one round
	// maxConsecutiveSteps bounds the steps of one repair that follow without a pause.
	maxConsecutiveSteps = 8
)

// Registers are the replicated registers (consensus.Registers).
type Registers interface {
	ID() string
	Committed(part int) (messages.Value, bool)
	Change(ctx context.Context, part int, change consensus.Change) (messages.Value, error)
	// Confirm asks a member whether it has a value on disk.
	Confirm(ctx context.Context, part int, member messages.Member, value messages.Value) (bool, error)
	// LastSave returns how long the last write to disk took, and its fault.
	LastSave() (us int64, fault string)
	// Retire has this member confirm nothing any more.
	Retire()
}

// Membership tells which nodes are alive (membership.Monitor).
type Membership interface {
	Alive(role messages.Role) []messages.Peer
	DeadForUs(addr string) int64
}

// Config is what a Repairer is given. All fields but HandOver are required.
type Config struct {
	// Addr is the address of this controller.
	Addr       string
	Clock      func() int64 // microseconds, monotonic
	Log        logr.Logger
	Registers  Registers
	Membership Membership
	// HasContact reports whether this controller has contact with a majority of a group.
	HasContact func(group []messages.Member) bool
	// HandOver bounds a hand-over; the zero value stands for DefaultHandOverTimes.
	HandOver HandOverTimes
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("grouprepair: incomplete configuration")

// Repairer repairs the groups of all registers.
type Repairer struct {
	config     Config
	parts      [consensus.RegisterCount]partRepair
	successors atomic.Pointer[[]messages.Peer] // set once this process is about to end
}

// partRepair is the repair of one register.
type partRepair struct {
	mu          sync.Mutex // guards coordinator
	coordinator consensus.RepairCoordinator
	busy        atomic.Bool // a step is being carried out
}

// New returns a repairer.
func New(config Config) (*Repairer, error) {
	if config.Addr == "" || config.Clock == nil || config.Registers == nil || config.Membership == nil || config.HasContact == nil {
		return nil, ErrConfig
	}
	if config.HandOver == (HandOverTimes{}) {
		config.HandOver = DefaultHandOverTimes
	}
	return &Repairer{config: config}, nil
}

// Run repairs until ctx ends.
func (r *Repairer) Run(ctx context.Context) {
	loop.Every(ctx, period, func() { r.step(ctx) })
}

// settled reports whether no change is under way, and the one that led to this
// group is complete.
func (p *partRepair) settled(group []messages.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.busy.Load() && p.coordinator.Complete(group)
}

// step lets the coordinator of each register take its next steps, each register apart from
// the others.
func (r *Repairer) step(ctx context.Context) {
	status := r.status()
	for part := range consensus.RegisterCount {
		at := &r.parts[part]
		if !at.busy.CompareAndSwap(false, true) {
			continue
		}
		step, due := r.next(part, status)
		if !due {
			at.busy.Store(false)
			continue
		}
		go func() {
			defer at.busy.Store(false)
			r.repair(ctx, part, step)
		}()
	}
}

// status is who is alive and who is dead, as far as repairs go by it.
func (r *Repairer) status() consensus.Status {
	alive := r.config.Membership.Alive(messages.Controller)
	if successors := r.successors.Load(); successors != nil {
		alive = *successors
	}
	return consensus.NewStatus(alive, r.config.Membership.DeadForUs, deadBeforeReplaced.Microseconds())
}

// repair carries out a step and those that follow from it.
func (r *Repairer) repair(ctx context.Context, part int, step consensus.RepairStep) {
	for range maxConsecutiveSteps {
		if !r.carryOut(ctx, part, step) || ctx.Err() != nil {
			return
		}
		due := false
		if step, due = r.next(part, r.status()); !due {
			return
		}
	}
}

// carryOut carries out one step. It reports whether another may follow at once.
func (r *Repairer) carryOut(ctx context.Context, part int, step consensus.RepairStep) bool {
	if len(step.Confirm) > 0 {
		return r.confirm(ctx, part, step)
	}
	return r.propose(ctx, part, step)
}

// next returns the next step of a register's repair, if one is due.
func (r *Repairer) next(part int, status consensus.Status) (consensus.RepairStep, bool) {
	base, ok := r.config.Registers.Committed(part)
	if !ok {
		return consensus.RepairStep{}, false
	}
	_, fault := r.config.Registers.LastSave()
	view := consensus.RepairView{
		Self:            r.config.Addr,
		Base:            base,
		Status:          status,
		QuorumReachable: r.config.HasContact(base.Group),
		DiskFault:       fault != "",
		Leaving:         r.successors.Load() != nil,
	}
	at := &r.parts[part]
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.coordinator.Step(r.config.Clock(), view)
}

// confirm asks members, all at once, whether they have the base on disk. It returns
// true as soon as the coordinator has another step: a member that is about to be found
// dead must not delay the others.
func (r *Repairer) confirm(ctx context.Context, part int, step consensus.RepairStep) bool {
	base, ok := r.config.Registers.Committed(part)
	if !ok || base.Version != step.Version {
		return ok
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmations := make(chan bool, len(step.Confirm))
	for _, member := range step.Confirm {
		go func() { confirmations <- r.confirmMember(ctx, part, member, base) }()
	}
	for range step.Confirm {
		if !<-confirmations {
			continue
		}
		if next, due := r.next(part, r.status()); !due || len(next.Propose) > 0 {
			return true
		}
	}
	return false
}

// confirmMember asks one member, and records that it has the value.
func (r *Repairer) confirmMember(ctx context.Context, part int, member messages.Member, base messages.Value) bool {
	confirmed, err := r.config.Registers.Confirm(ctx, part, member, base)
	if !confirmed {
		r.config.Log.Info("member does not confirm", "part", part, "member", member.ID, "version", base.Version, "err", err)
		return false
	}
	at := &r.parts[part]
	at.mu.Lock()
	defer at.mu.Unlock()
	at.coordinator.RecordConfirmation(member.ID, base.Version)
	return true
}

// Unconfirmed returns the identities of the members that repairs wait for, in order.
func (r *Repairer) Unconfirmed() []string {
	var out []string
	for part := range r.parts {
		at := &r.parts[part]
		at.mu.Lock()
		out = append(out, at.coordinator.PendingConfirmations()...)
		at.mu.Unlock()
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// propose carries a change of the group through a round. Nothing is changed if the
// register has a newer version by then, which nobody has confirmed.
func (r *Repairer) propose(ctx context.Context, part int, step consensus.RepairStep) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := r.config.Registers.Change(ctx, part, func(current messages.Value) ([]messages.Member, []byte, error) {
		if current.Version != step.Version {
			return nil, nil, consensus.ErrNoChange
		}
		return step.Propose, current.Body, nil
	})
	r.config.Log.Info("group change", "part", part, "err", err)
	return err == nil || errors.Is(err, consensus.ErrNoChange)
}
