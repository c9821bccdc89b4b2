// Package grouprepair keeps the groups of the replicated registers complete: it replaces members
// that are dead, and hands a member's seats over to other controllers before its process ends
// (hand_over.go).
//
// A consensus.RepairCoordinator for each register decides. A Repairer passes it this controller's
// view of the members, requests members to confirm what they have on disk, and commits proposed
// groups with a consensus round. A Repairer is safe for concurrent use.
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

// Timeouts and limits of repairs.
const (
	period           = 300 * time.Millisecond
	replaceDeadAfter = time.Second     // a member that has been dead this long is replaced
	confirmTimeout   = time.Second     // for the confirmations of one step
	proposeTimeout   = 2 * time.Second // for one round
	// maxConsecutiveSteps is the maximum number of steps of one repair without a pause.
	maxConsecutiveSteps = 8
)

// Registers are the replicated registers (consensus.Registers).
type Registers interface {
	ID() string
	Committed(register int) (messages.Value, bool)
	Change(ctx context.Context, register int, change consensus.Change) (messages.Value, error)
	// Confirm requests a member to report whether it has a value on disk.
	Confirm(ctx context.Context, register int, member messages.Member, value messages.Value) (bool, error)
	// LastSave returns how long the last write to disk took, and its error, if any.
	LastSave() (us int64, fault string)
	// Retire makes this member reject all further requests to confirm.
	Retire()
}

// Membership reports which nodes are alive (membership.Monitor).
type Membership interface {
	Alive(role messages.Role) []messages.Peer
	DeadForUs(addr string) int64
}

// Config configures a Repairer. All fields but HandOver are required.
type Config struct {
	// Addr is the address of this controller.
	Addr       string
	Clock      func() int64 // microseconds, monotonic
	Log        logr.Logger
	Registers  Registers
	Membership Membership
	// HasContact reports whether this controller has contact with a majority of a group.
	HasContact func(group []messages.Member) bool
	// HandOver are the timeouts of a hand-over; DefaultHandOverTimeouts if zero.
	HandOver HandOverTimeouts
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("grouprepair: incomplete configuration")

// Repairer repairs the groups of all registers.
type Repairer struct {
	config      Config
	repairs     [consensus.RegisterCount]registerRepair
	successors  atomic.Pointer[[]messages.Peer] // set by Leave
	countedSeen atomic.Bool                     // a counted controller has been alive in this process's life
}

// registerRepair is the repair of one register.
type registerRepair struct {
	mu          sync.Mutex // guards coordinator
	coordinator consensus.RepairCoordinator
	busy        atomic.Bool // a step is being executed
}

// New returns a Repairer.
func New(config Config) (*Repairer, error) {
	if config.Addr == "" || config.Clock == nil || config.Registers == nil || config.Membership == nil || config.HasContact == nil {
		return nil, ErrConfig
	}
	if config.HandOver == (HandOverTimeouts{}) {
		config.HandOver = DefaultHandOverTimeouts
	}
	return &Repairer{config: config}, nil
}

// Run repairs the groups periodically until ctx ends.
func (r *Repairer) Run(ctx context.Context) {
	loop.Every(ctx, period, func() { r.step(ctx) })
}

// settled reports whether no step is in progress and the change that led to this group is
// complete.
func (p *registerRepair) settled(group []messages.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.busy.Load() && p.coordinator.Complete(group)
}

// step starts the next step of each register's repair, if one is due. The registers are repaired
// concurrently.
func (r *Repairer) step(ctx context.Context) {
	status := r.status()
	for register := range consensus.RegisterCount {
		repair := &r.repairs[register]
		if !repair.busy.CompareAndSwap(false, true) {
			continue
		}
		step, due := r.next(register, status)
		if !due {
			repair.busy.Store(false)
			continue
		}
		go func() {
			defer repair.busy.Store(false)
			r.repair(ctx, register, step)
		}()
	}
}

// status returns which controllers are alive and dead as input for the repairs. After Leave only
// the members and successors count as alive.
func (r *Repairer) status() consensus.Status {
	alive := r.config.Membership.Alive(messages.Controller)
	if successors := r.successors.Load(); successors != nil {
		alive = *successors
	}
	return r.statusOf(alive)
}

// statusOf returns the status with these controllers alive.
func (r *Repairer) statusOf(alive []messages.Peer) consensus.Status {
	if consensus.HasCounted(alive) {
		r.countedSeen.Store(true)
	}
	return consensus.NewStatus(alive, r.countedSeen.Load(), r.config.Membership.DeadForUs, replaceDeadAfter.Microseconds())
}

// repair executes a step and the steps that follow from it.
func (r *Repairer) repair(ctx context.Context, register int, step consensus.RepairStep) {
	for range maxConsecutiveSteps {
		if !r.executeStep(ctx, register, step) || ctx.Err() != nil {
			return
		}
		due := false
		if step, due = r.next(register, r.status()); !due {
			return
		}
	}
}

// executeStep executes one step. It reports whether another may follow at once.
func (r *Repairer) executeStep(ctx context.Context, register int, step consensus.RepairStep) bool {
	if len(step.Confirm) > 0 {
		return r.confirm(ctx, register, step)
	}
	return r.propose(ctx, register, step)
}

// next returns the next step of a register's repair, if one is due.
func (r *Repairer) next(register int, status consensus.Status) (consensus.RepairStep, bool) {
	base, ok := r.config.Registers.Committed(register)
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
	repair := &r.repairs[register]
	repair.mu.Lock()
	defer repair.mu.Unlock()
	return repair.coordinator.Step(r.config.Clock(), view)
}

// confirm requests confirmations from all members concurrently that they have the base on disk.
// It returns true as soon as the coordinator has another step, so that a member that is dead but
// not yet detected as such does not delay the repair.
func (r *Repairer) confirm(ctx context.Context, register int, step consensus.RepairStep) bool {
	base, ok := r.config.Registers.Committed(register)
	if !ok || base.Version != step.Version {
		return ok
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmations := make(chan bool, len(step.Confirm))
	for _, member := range step.Confirm {
		go func() { confirmations <- r.confirmMember(ctx, register, member, base) }()
	}
	for range step.Confirm {
		if !<-confirmations {
			continue
		}
		if next, due := r.next(register, r.status()); !due || len(next.Propose) > 0 {
			return true
		}
	}
	return false
}

// confirmMember requests a confirmation from one member, and records it if it has the value.
func (r *Repairer) confirmMember(ctx context.Context, register int, member messages.Member, base messages.Value) bool {
	confirmed, err := r.config.Registers.Confirm(ctx, register, member, base)
	if !confirmed {
		r.config.Log.Info("member has not confirmed the register", "part", register, "member", member.ID, "version", base.Version, "err", err)
		return false
	}
	repair := &r.repairs[register]
	repair.mu.Lock()
	defer repair.mu.Unlock()
	repair.coordinator.RecordConfirmation(member.ID, base.Version)
	return true
}

// Unconfirmed returns the sorted identities of the members whose confirmations are pending.
func (r *Repairer) Unconfirmed() []string {
	var out []string
	for register := range r.repairs {
		repair := &r.repairs[register]
		repair.mu.Lock()
		out = append(out, repair.coordinator.PendingConfirmations()...)
		repair.mu.Unlock()
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// propose commits a change of the group with a consensus round. Nothing is changed if the register
// has a newer version by then, as no member has confirmed that version.
func (r *Repairer) propose(ctx context.Context, register int, step consensus.RepairStep) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := r.config.Registers.Change(ctx, register, func(current messages.Value) ([]messages.Member, []byte, error) {
		if current.Version != step.Version {
			return nil, nil, consensus.ErrNoChange
		}
		return step.Propose, current.Body, nil
	})
	r.config.Log.Info("group change proposed", "part", register, "err", err)
	return err == nil || errors.Is(err, consensus.ErrNoChange)
}
