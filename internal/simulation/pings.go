// Pings between controllers, and what they conclude from them. They stand for
// membership.View: what one has received from another travels on, so that partitions
// are gone round. An answer stands for a direct call that succeeded.

package simulation

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// Waits of the pings. One that was never heard of counts as gone unknownUs after
// the start, one that did not answer for unreachedUs as cut off.
const (
	pingEveryUs = 300 * Millisecond
	silentUs    = 1_500 * Millisecond
	unknownUs   = 2 * Second
	unreachedUs = 1_200 * Millisecond
)

// ping tells the others who this is, whom it has heard and what it knows.
func (c *Controller) ping() {
	now := c.process.NowUs()
	ages := map[string]peer{c.addr: {id: c.id}}
	for addr, p := range c.heard {
		ages[addr] = peer{id: p.id, heardUs: now - p.heardUs}
	}
	var versions [parts]int64
	for part := range versions {
		if v, ok := c.committed(part); ok {
			versions[part] = v.Version
		}
	}
	for _, to := range c.cluster.controllers {
		if to != c {
			c.pingOne(to, ages, versions)
		}
	}
}

func (c *Controller) pingOne(to *Controller, ages map[string]peer, versions [parts]int64) {
	net, life, sentUs := c.cluster.network, c.process.life, c.process.NowUs()
	net.Send(c.addr, to.addr, func() {
		to.process.Deliver(func() {
			if to.id != "" {
				to.pinged(c.addr, ages, versions)
				member := to.id
				c.handledBy(member, life)
				net.Send(to.addr, c.addr, c.process.inLifeOf(life, func() {
					c.direct[to.addr] = max(c.direct[to.addr], sentUs)
					c.contact.RecordAnswer(member, sentUs)
				}))
			}
		})
	})
}

// pinged takes the word of another controller and pulls what it lacks.
func (c *Controller) pinged(from string, ages map[string]peer, versions [parts]int64) {
	now := c.process.NowUs()
	for addr, p := range ages {
		heardUs := now - p.heardUs
		if known, ok := c.heard[addr]; addr != c.addr && (!ok || known.heardUs < heardUs) {
			c.heard[addr] = peer{id: p.id, heardUs: heardUs}
		}
	}
	for part, version := range versions {
		mine, known := c.committed(part)
		if !known || mine.Version < version {
			c.pull(from, part)
		}
	}
}

// pull learns what another controller has committed.
func (c *Controller) pull(from string, part int) {
	c.call(from, messages.ConsensusRequest{Part: part, Step: messages.Read}, func(r messages.ConsensusResponse) {
		c.learn(part, r.Value)
	})
}

// silentForUs tells for how long a peer has been taken for dead.
func (c *Controller) silentForUs(addr string) int64 {
	if addr == c.addr {
		return 0
	}
	p, known := c.heard[addr]
	if !known {
		return max(c.process.NowUs()-unknownUs, 0)
	}
	return max(c.process.NowUs()-p.heardUs-silentUs, 0)
}

// alive lists the live controllers by address, this one included.
func (c *Controller) alive() []messages.Peer {
	out := []messages.Peer{{Addr: c.addr, MemberID: c.id}}
	for addr, p := range c.heard {
		if c.silentForUs(addr) == 0 {
			out = append(out, messages.Peer{Addr: addr, MemberID: p.id})
		}
	}
	slices.SortFunc(out, func(a, b messages.Peer) int { return cmp.Compare(a.Addr, b.Addr) })
	return out
}

// reaches tells whether direct calls to another controller have been answered of
// late. One that was not tried for long counts as reached.
func (c *Controller) reaches(addr string) bool {
	return addr == c.addr || c.process.NowUs()-max(c.direct[addr], 1) <= unreachedUs
}
