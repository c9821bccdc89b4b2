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
	// maxSuccessors bounds how many newcomers a member that ends asks.
	maxSuccessors = 3
)

// HandOverTimes bound what a member does before its process ends. The whole has to fit
// into the grace period of a shutdown with a margin.
type HandOverTimes struct {
	Total   time.Duration // for the hand-over of all registers
	Confirm time.Duration // for the newcomers' confirmations that they can take over
	Flush   time.Duration // for the other members' disks
}

// DefaultHandOverTimes leave a margin in a grace period of some seconds.
var DefaultHandOverTimes = HandOverTimes{
	Total:   2500 * time.Millisecond,
	Confirm: 800 * time.Millisecond,
	Flush:   300 * time.Millisecond,
}

// Leave is called when the process is told to end. It cannot know whether it will
// be started again. If a controller that is no member is ready, the place in each group
// is handed over to it; otherwise the other members get all committed values on their
// disks, and the process ends at once.
func (r *Repairer) Leave(ctx context.Context) {
	r.config.Registers.Retire()
	if !r.groupMembers()[r.config.Registers.ID()] {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.HandOver.Total)
	defer cancel()
	successors := r.findSuccessors(ctx)
	r.successors.Store(&successors)
	for ctx.Err() == nil && r.mayHandOver() {
		r.step(ctx)
		loop.Pause(ctx, handOverPause)
	}
	r.flushOtherMembers(ctx)
}

// groupMembers returns the identities in the groups of all registers.
func (r *Repairer) groupMembers() map[string]bool {
	out := map[string]bool{}
	for part := range consensus.RegisterCount {
		v, _ := r.config.Registers.Committed(part)
		for _, m := range v.Group {
			out[m.ID] = true
		}
	}
	return out
}

// findSuccessors returns the members, and those who may take a place over: a few of the
// counted controllers that are no members and confirm now what they have on disk. A
// process that has just ended still counts as alive for a while, and one that is about
// to end itself does not confirm.
func (r *Repairer) findSuccessors(ctx context.Context) []messages.Peer {
	base, _ := r.config.Registers.Committed(consensus.ConfigRegister)
	alive := r.config.Membership.Alive(messages.Controller)
	newcomers := consensus.Candidates(base.Group, consensus.NewStatus(alive, r.config.Membership.DeadForUs, deadBeforeReplaced.Microseconds()))
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

// confirmAll returns those of the newcomers that confirm in time that they have the
// configuration's register on disk.
func (r *Repairer) confirmAll(ctx context.Context, newcomers []messages.Member, base messages.Value) map[messages.Member]bool {
	ctx, cancel := context.WithTimeout(ctx, r.config.HandOver.Confirm)
	defer cancel()
	confirmed := make([]bool, len(newcomers))
	var asked sync.WaitGroup
	for i, m := range newcomers {
		asked.Go(func() {
			confirmed[i], _ = r.config.Registers.Confirm(ctx, consensus.ConfigRegister, m, base)
		})
	}
	asked.Wait()
	out := map[messages.Member]bool{}
	for i, m := range newcomers {
		out[m] = confirmed[i]
	}
	return out
}

// mayHandOver reports whether a register is left in which this controller is a member
// and a successor is ready, or whether a change is under way.
func (r *Repairer) mayHandOver() bool {
	status := r.status()
	for part := range consensus.RegisterCount {
		v, ok := r.config.Registers.Committed(part)
		if !ok {
			continue
		}
		if !r.parts[part].settled(v.Group) {
			return true
		}
		if _, may := consensus.HandOver(v.Group, r.config.Addr, status); may {
			return true
		}
	}
	return false
}

// flushOtherMembers has the other members write the committed values to their disks.
func (r *Repairer) flushOtherMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.HandOver.Flush)
	defer cancel()
	var asked sync.WaitGroup
	for part := range consensus.RegisterCount {
		v, ok := r.config.Registers.Committed(part)
		if !ok {
			continue
		}
		for _, m := range v.Group {
			if m.Addr == r.config.Addr {
				continue
			}
			asked.Go(func() {
				// Whether it has the value by then changes nothing: this process ends.
				_, _ = r.config.Registers.Confirm(ctx, part, m, v)
			})
		}
	}
	asked.Wait()
}

// Successors returns the members and those who may take a place over, nil before Leave.
func (r *Repairer) Successors() []messages.Peer {
	successors := r.successors.Load()
	if successors == nil {
		return nil
	}
	return *successors
}
