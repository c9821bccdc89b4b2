// The rollout lease in the registers model: how it is acquired and confirmed, and when its holder acts.

package simulation

import (
	"strconv"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

const (
	dutyEveryUs = 250 * Millisecond
	confirmUs   = 600 * Millisecond
	takeUs      = Second
)

// dutyTimes are the lease times that the controllers use.
var dutyTimes = lease.Times{LeaseUs: 3 * Second, ActUs: 400 * Millisecond, InFlightUs: 800 * Millisecond}

var errNoChange = errors.New("simulation: nothing to change")

// workDuty runs one periodic step: the holder confirms the lease and acts, others watch the holder.
func (c *Controller) workDuty() {
	v, ok := c.committed(dutyPart)
	if c.dutyBusy || !ok {
		return
	}
	held := dutyOf(v).Lease
	if held.Holder != c.id {
		c.watchHolder(held)
		return
	}
	if c.duty.Fence() != held.Fence {
		c.takeDuty(held)
		return
	}
	if c.mayAct() {
		c.act()
		return
	}
	askedUs := c.process.NowUs()
	c.dutyBusy = true
	c.read(dutyPart, confirmUs, func(v messages.Value, err error) {
		c.dutyBusy = false
		if err != nil {
			return
		}
		now := dutyOf(v).Lease
		if now.Holder != c.id {
			c.duty.Released()
			return
		}
		c.duty.Confirmed(now.Fence, askedUs)
		if c.mayAct() {
			c.act()
		}
	})
}

// watchHolder takes over the lease once its holder is gone.
func (c *Controller) watchHolder(held messages.Lease) {
	now := c.process.NowUs()
	if c.duty.Fence() > 0 && c.duty.Fence() < held.Fence {
		c.duty.Released()
		c.takeover.Lost(now)
	}
	var candidates []string
	alive := c.alive()
	for _, p := range alive {
		if p.MemberID != held.Holder {
			candidates = append(candidates, p.Addr)
		}
	}
	rank, found := lease.Rank(candidates, c.addr, held)
	view := lease.TakeoverView{Holder: held.Holder, Fence: held.Fence, Gone: !hasMember(alive, held.Holder), InContact: found, Needed: true, Rank: rank}
	if c.takeover.Due(view, now) {
		c.takeDuty(held)
	}
}

func (c *Controller) mayAct() bool {
	now := c.process.NowUs()
	if c.cluster.defects.ActWithoutWaiting {
		return c.duty.Fence() > 0
	}
	return c.duty.MayAct(now)
}

// actedFile holds the last fence under which this controller has acted.
const actedFile = "acted"

// act stands for an order to a runner. The first act under a fence is recorded on disk,
// without waiting for the write: the record only saves a later life of this holder a wait.
func (c *Controller) act() {
	fence := c.duty.Fence()
	c.cluster.checks.acted(c.id, fence)
	if c.actedAs == fence {
		return
	}
	c.actedAs = fence
	c.disk.Write(actedFile, strconv.AppendInt(nil, fence, 10), func(error) {})
}

// actedUnder reports whether some life of this holder has acted under a fence, so that no
// earlier holder can still act.
func (c *Controller) actedUnder(fence int64) bool {
	noted, ok := c.disk.Read(actedFile)
	return c.cluster.defects.TrustUnusedClaim || ok && string(noted) == strconv.FormatInt(fence, 10)
}

// takeDuty acquires the lease by a change of the register, unless the lease has changed since it was read.
func (c *Controller) takeDuty(was messages.Lease) {
	c.dutyBusy = true
	take := func(cur messages.Value) ([]messages.Member, []byte, error) {
		body := dutyOf(cur)
		if body.Lease != was {
			return nil, nil, errNoChange
		}
		body.Lease = messages.Lease{Holder: c.id, Fence: was.Fence + 1}
		raw, err := body.MarshalMsg(nil)
		return nil, raw, err
	}
	c.change(dutyPart, takeUs, take, func(v messages.Value, err error) {
		c.dutyBusy = false
		if err != nil || dutyOf(v).Lease.Holder != c.id {
			return
		}
		predecessor := lease.PredecessorOf(was.Holder, c.id, c.actedUnder(was.Fence))
		c.duty.Acquired(dutyOf(v).Lease.Fence, predecessor, c.process.NowUs())
		c.cluster.kernel.Note("%s takes the duty under fence %d", c.id, c.duty.Fence())
	})
}

func hasMember(peers []messages.Peer, id string) bool {
	for _, p := range peers {
		if p.MemberID == id {
			return true
		}
	}
	return false
}

// dutyOf decodes the body of the register that holds the rollout lease.
func dutyOf(v messages.Value) messages.LeaseBody {
	body := messages.LeaseBody{Targets: []messages.Target{}}
	if len(v.Body) > 0 {
		if _, err := body.UnmarshalMsg(v.Body); err != nil {
			return messages.LeaseBody{}
		}
	}
	return body
}
