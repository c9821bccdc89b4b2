// The rollout lease in the registers model: how it is acquired and confirmed, and when its holder acts.

package simulation

import (
	"strconv"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

const (
	leaseStepEveryUs      = 250 * Millisecond
	leaseConfirmTimeoutUs = 600 * Millisecond
	leaseAcquireTimeoutUs = Second
)

// controllerLeaseTimes are the lease times that the controllers use.
var controllerLeaseTimes = lease.Times{LeaseUs: 3 * Second, ActUs: 400 * Millisecond, InFlightUs: 800 * Millisecond}

var errNoChange = errors.New("simulation: nothing to change")

// stepLease runs one periodic step: the holder confirms the lease and acts, others watch the holder.
func (c *Controller) stepLease() {
	v, ok := c.committed(rolloutLeasePart)
	if c.leaseBusy || !ok {
		return
	}
	held := leaseBodyOf(v).Lease
	if held.Holder != c.id {
		c.watchHolder(held)
		return
	}
	if c.rolloutLease.Fence() != held.Fence {
		c.acquireLease(held)
		return
	}
	if c.mayAct() {
		c.act()
		return
	}
	askedUs := c.process.NowUs()
	c.leaseBusy = true
	c.read(rolloutLeasePart, leaseConfirmTimeoutUs, func(v messages.Value, err error) {
		c.leaseBusy = false
		if err != nil {
			return
		}
		now := leaseBodyOf(v).Lease
		if now.Holder != c.id {
			c.rolloutLease.Released()
			return
		}
		c.rolloutLease.Confirmed(now.Fence, askedUs)
		if c.mayAct() {
			c.act()
		}
	})
}

// watchHolder takes over the lease once its holder is gone.
func (c *Controller) watchHolder(held messages.Lease) {
	now := c.process.NowUs()
	if c.rolloutLease.Fence() > 0 && c.rolloutLease.Fence() < held.Fence {
		c.rolloutLease.Released()
		c.takeover.Lost(now)
	}
	var candidates []string
	alive := c.alive()
	for _, p := range alive {
		if p.MemberID != held.Holder {
			candidates = append(candidates, p.Addr)
		}
	}
	rank, inGroup := lease.Rank(candidates, c.addr, held)
	view := lease.TakeoverView{Holder: held.Holder, Fence: held.Fence, Gone: !hasPeer(alive, held.Holder), InContact: inGroup, Needed: true, Rank: rank}
	if c.takeover.Due(view, now) {
		c.acquireLease(held)
	}
}

func (c *Controller) mayAct() bool {
	now := c.process.NowUs()
	if c.cluster.defects.ActWithoutWaiting {
		return c.rolloutLease.Fence() > 0
	}
	return c.rolloutLease.MayAct(now)
}

// actedFile holds the last fence under which this controller has acted.
const actedFile = "acted"

// act stands for an order to a runner. The first act under a fence is recorded on disk,
// without waiting for the write: the record only saves a later life of this holder a wait.
func (c *Controller) act() {
	fence := c.rolloutLease.Fence()
	c.cluster.checks.recordAct(c.id, fence)
	if c.recordedFence == fence {
		return
	}
	c.recordedFence = fence
	c.disk.Write(actedFile, strconv.AppendInt(nil, fence, 10), func(error) {})
}

// actedUnder reports whether some life of this holder has acted under a fence, so that no
// earlier holder can still act.
func (c *Controller) actedUnder(fence int64) bool {
	noted, ok := c.disk.Read(actedFile)
	return c.cluster.defects.TreatUnusedLeaseAsUsed || ok && string(noted) == strconv.FormatInt(fence, 10)
}

// acquireLease acquires the lease by a change of the register, unless the lease has changed since it was read.
func (c *Controller) acquireLease(previous messages.Lease) {
	c.leaseBusy = true
	acquire := func(cur messages.Value) ([]messages.Member, []byte, error) {
		body := leaseBodyOf(cur)
		if body.Lease != previous {
			return nil, nil, errNoChange
		}
		body.Lease = messages.Lease{Holder: c.id, Fence: previous.Fence + 1}
		raw, err := body.MarshalMsg(nil)
		return nil, raw, err
	}
	c.change(rolloutLeasePart, leaseAcquireTimeoutUs, acquire, func(v messages.Value, err error) {
		c.leaseBusy = false
		if err != nil || leaseBodyOf(v).Lease.Holder != c.id {
			return
		}
		predecessor := lease.PredecessorOf(previous.Holder, c.id, c.actedUnder(previous.Fence))
		c.rolloutLease.Acquired(leaseBodyOf(v).Lease.Fence, predecessor, c.process.NowUs())
		c.cluster.kernel.Log("%s takes the duty under fence %d", c.id, c.rolloutLease.Fence())
	})
}

func hasPeer(peers []messages.Peer, id string) bool {
	for _, p := range peers {
		if p.MemberID == id {
			return true
		}
	}
	return false
}

// leaseBodyOf decodes the body of the register that holds the rollout lease.
func leaseBodyOf(v messages.Value) messages.LeaseBody {
	body := messages.LeaseBody{Targets: []messages.Target{}}
	if len(v.Body) > 0 {
		if _, err := body.UnmarshalMsg(v.Body); err != nil {
			return messages.LeaseBody{}
		}
	}
	return body
}
