package grouprepair

import (
	"context"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
)

const (
	handOverPause = 50 * time.Millisecond
	// maxSuccessors is the maximum number of newcomers that a leaving member requests to confirm.
	maxSuccessors = 3
)

// HandOverTimeouts are the timeouts of a hand-over at the end of a process. Together they have to
// fit into the grace period of a shutdown with a margin.
type HandOverTimeouts struct {
	Total   time.Duration // for the hand-over of all registers
	Confirm time.Duration // for the confirmations of the newcomers that can replace this member
	Flush   time.Duration // for the writes of the other members to their disks
}

// DefaultHandOverTimeouts fit into a grace period of some seconds with a margin.
var DefaultHandOverTimeouts = HandOverTimeouts{
	Total:   2500 * time.Millisecond,
	Confirm: 800 * time.Millisecond,
	Flush:   300 * time.Millisecond,
}

// Leave must be called when the process is about to end; whether it will be started again is not
// known at that time. If a controller that is not a member is ready, it replaces this member in
// each group. Otherwise, and after the hand-over, the other members are requested to write all
// committed values to their disks.
func (r *Repairer) Leave(ctx context.Context) {
	r.config.Registers.Retire()
	if !r.groupMembers()[r.config.Registers.ID()] {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.HandOver.Total)
	defer cancel()
	successors := r.findSuccessors(ctx)
	r.successors.Store(&successors)
	for ctx.Err() == nil && r.handOverPending() {
		r.step(ctx)
		loop.Pause(ctx, handOverPause)
	}
	r.flushOtherMembers(ctx)
}

// groupMembers returns the set of the member identities in the groups of all registers.
func (r *Repairer) groupMembers() map[string]bool {
	out := map[string]bool{}
	for register := range consensus.RegisterCount {
		v, _ := r.config.Registers.Committed(register)
		for _, m := range v.Group {
			out[m.ID] = true
		}
	}
	return out
}

// findSuccessors returns the members and the possible successors: up to maxSuccessors candidates
// that are not members and confirm now that they have the configuration register on disk. The
// confirmation is needed as a process that has just ended still counts as alive for a while; one
// that is about to end itself does not confirm.
func (r *Repairer) findSuccessors(ctx context.Context) []messages.Peer {
	base, _ := r.config.Registers.Committed(consensus.ConfigRegister)
	alive := r.config.Membership.Alive(messages.Controller)
	newcomers := consensus.Candidates(base.Group, r.statusOf(alive))
	newcomers = newcomers[:min(len(newcomers), maxSuccessors)]
	confirmed := r.confirmAll(ctx, newcomers, base)
	members := r.groupMembers()
	var out []messages.Peer
	for _, p := range alive {
		if confirmed[messages.Member{ID: p.MemberID, Addr: p.Addr}] || members[p.MemberID] {
			out = append(out, p)
		}
	}
	return out
}

// confirmAll returns for each newcomer whether it confirms in time that it has the configuration
// register on disk.
func (r *Repairer) confirmAll(ctx context.Context, newcomers []messages.Member, base messages.Value) map[messages.Member]bool {
	ctx, cancel := context.WithTimeout(ctx, r.config.HandOver.Confirm)
	defer cancel()
	confirmed := make([]bool, len(newcomers))
	var pending sync.WaitGroup
	for i, m := range newcomers {
		pending.Go(func() {
			confirmed[i], _ = r.config.Registers.Confirm(ctx, consensus.ConfigRegister, m, base)
		})
	}
	pending.Wait()
	out := map[messages.Member]bool{}
	for i, m := range newcomers {
		out[m] = confirmed[i]
	}
	return out
}

// handOverPending reports whether there is still a register in which this controller is a member and
// a successor is ready, or in which a change is in progress.
func (r *Repairer) handOverPending() bool {
	status := r.status()
	for register := range consensus.RegisterCount {
		v, ok := r.config.Registers.Committed(register)
		if !ok {
			continue
		}
		if !r.repairs[register].settled(v.Group) {
			return true
		}
		if _, ready := consensus.HandOver(v.Group, r.config.Addr, status); ready {
			return true
		}
	}
	return false
}

// flushOtherMembers requests the other members to write the committed values to their disks.
func (r *Repairer) flushOtherMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.HandOver.Flush)
	defer cancel()
	var pending sync.WaitGroup
	for register := range consensus.RegisterCount {
		v, ok := r.config.Registers.Committed(register)
		if !ok {
			continue
		}
		for _, m := range v.Group {
			if m.Addr == r.config.Addr {
				continue
			}
			pending.Go(func() {
				// The result is ignored, as this process ends in any case.
				_, _ = r.config.Registers.Confirm(ctx, register, m, v)
			})
		}
	}
	pending.Wait()
}

// Successors returns the members and the possible successors; nil before Leave.
func (r *Repairer) Successors() []messages.Peer {
	successors := r.successors.Load()
	if successors == nil {
		return nil
	}
	return *successors
}
