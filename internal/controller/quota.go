// The count of tenants' requests: this controller's part in package quota, driven by a
// clock and by messages.

package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
	"beechtide.org/beechtide/internal/transport"
)

const (
	quotaTick = time.Duration(quota.TickUs) * time.Microsecond
	// quotaClaimWait bounds a claim: an answer that comes later renews next to nothing.
	quotaClaimWait = 300 * time.Millisecond
)

// quotaMember is safe for concurrent use.
type quotaMember struct {
	controller *Controller
	wake       chan struct{} // something is to be sent before the next tick

	mu     sync.Mutex // guards what follows
	member *quota.Member
	owned  []int // the shards at the last look, for the log
	left   bool  // this process is about to end
	asked  int64 // questions of routers
	passed int64 // those for which another is the owner
}

func newQuotaMember(d *Controller) *quotaMember {
	self := fmt.Sprintf("%s/%x", d.transport.Addr(), rand.Uint64())
	return &quotaMember{
		controller: d, wake: make(chan struct{}, 1),
		member: quota.NewMember(quota.Config{Self: self, Bounds: d.set.QuotaBounds(), StartUs: d.clock()}),
	}
}

// run renews claims until ctx ends.
func (q *quotaMember) run(ctx context.Context) {
	ticker := time.NewTicker(quotaTick)
	defer ticker.Stop()
	for {
		q.tick(ctx)
		select {
		case <-ticker.C:
		case <-q.wake:
		case <-ctx.Done():
			return
		}
	}
}

// tick renews the claims. Where no tenant has a limit there is nothing to count.
func (q *quotaMember) tick(ctx context.Context) {
	table := q.controller.table.Load()
	if table == nil || !table.Limited {
		return
	}
	group := q.group()
	q.mu.Lock()
	var out []quota.Outgoing
	if !q.left {
		out = q.member.Tick(group, q.controller.clock())
		q.logChange()
	}
	q.mu.Unlock()
	for _, o := range out {
		go q.send(ctx, o)
	}
}

// logChange logs that this controller owns other shards than before. The caller holds the
// mutex.
func (q *quotaMember) logChange() {
	owned := q.member.Owned(q.controller.clock())
	if !slices.Equal(owned, q.owned) {
		q.controller.log.Info("owns the count of shards", "shards", owned, "before", q.owned)
		q.owned = owned
	}
}

// group is the members of the configuration's register.
func (q *quotaMember) group() quota.Group {
	v, _ := q.controller.registers.Committed(consensus.ConfigPart)
	group := quota.Group{Version: v.Version}
	for _, m := range v.Group {
		group.Members = append(group.Members, m.Addr)
	}
	slices.Sort(group.Members)
	return group
}

func (q *quotaMember) send(ctx context.Context, o quota.Outgoing) {
	ctx, cancel := context.WithTimeout(ctx, quotaClaimWait)
	defer cancel()
	sentUs := q.controller.clock()
	b, err := q.controller.transport.Call(ctx, o.To, transport.KindQuotaClaim, &o.Claim)
	if err != nil {
		return
	}
	var votes messages.QuotaVotes
	if _, err := votes.UnmarshalMsg(b); err != nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.member.HandleVotes(o.To, votes, sentUs, q.controller.clock())
}

// handleClaim answers another member.
func (q *quotaMember) handleClaim(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var claim messages.QuotaClaim
	if _, err := claim.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	q.mu.Lock()
	votes := q.member.HandleClaim(claim, q.controller.clock())
	q.mu.Unlock()
	if len(claim.Released) > 0 {
		q.hurry()
	}
	return votes.MarshalMsg(nil)
}

// handleAsk answers a router.
func (q *quotaMember) handleAsk(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var ask messages.QuotaAsk
	if _, err := ask.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	q.mu.Lock()
	grant := q.member.HandleAsk(ask, q.controller.clock())
	q.asked++
	if !grant.Owner {
		q.passed++
	}
	urgent := q.member.Urgent()
	q.mu.Unlock()
	if urgent {
		q.hurry()
	}
	return grant.MarshalMsg(nil)
}

func (q *quotaMember) hurry() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// leave gives up what this controller owns, so that others need not wait for its leases to
// expire.
func (q *quotaMember) leave() {
	q.mu.Lock()
	q.left = true
	out := q.member.Leave(q.controller.clock())
	q.mu.Unlock()
	var sending sync.WaitGroup
	for _, o := range out {
		sending.Go(func() { q.send(context.Background(), o) })
	}
	sending.Wait()
}

func (q *quotaMember) conditions() []messages.QuotaCondition {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.member.Conditions(q.controller.clock())
}

// figures returns how many shards this controller owns, and the questions that it has
// answered and passed on.
func (q *quotaMember) figures() (owned int, asked, passed int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.member.Owned(q.controller.clock())), q.asked, q.passed
}
