// Pings between controllers, a stand-in for membership.View. A ping also carries the ages of
// the sender's news of other controllers, so that news gets around partial partitions. An
// answer to a ping stands for a successful direct call.

package simulation

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// Period and timeouts of the pings. A controller without any news is considered gone
// unknownGoneAfterUs after the start; one that did not answer for unreachableAfterUs is considered unreachable.
const (
	pingEveryUs        = 300 * Millisecond
	silentAfterUs      = 1_500 * Millisecond
	unknownGoneAfterUs = 2 * Second
	unreachableAfterUs = 1_200 * Millisecond
)

// ping sends this controller's id, the ages of its news and its committed versions to the others.
func (c *Controller) ping() {
	now := c.process.NowUs()
	ages := map[string]peer{c.addr: {id: c.id}}
	for addr, p := range c.peers {
		ages[addr] = peer{id: p.id, lastHeardUs: now - p.lastHeardUs}
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
	network, life, sentUs := c.cluster.network, c.process.life, c.process.NowUs()
	network.Send(c.addr, to.addr, func() {
		to.process.Deliver(func() {
			if to.id != "" {
				to.handlePing(c.addr, ages, versions)
				member := to.id
				c.recordHandled(member, life)
				network.Send(to.addr, c.addr, c.process.inLifeOf(life, func() {
					c.lastAnsweredUs[to.addr] = max(c.lastAnsweredUs[to.addr], sentUs)
					c.contact.RecordAnswer(member, sentUs)
				}))
			}
		})
	})
}

// handlePing applies a ping of another controller and pulls the values that are newer there.
func (c *Controller) handlePing(from string, ages map[string]peer, versions [parts]int64) {
	now := c.process.NowUs()
	for addr, p := range ages {
		heardUs := now - p.lastHeardUs
		if known, ok := c.peers[addr]; addr != c.addr && (!ok || known.lastHeardUs < heardUs) {
			c.peers[addr] = peer{id: p.id, lastHeardUs: heardUs}
		}
	}
	for part, version := range versions {
		mine, known := c.committed(part)
		if !known || mine.Version < version {
			c.pull(from, part)
		}
	}
}

// pull requests and learns the committed value of another controller.
func (c *Controller) pull(from string, part int) {
	c.call(from, messages.ConsensusRequest{Part: part, Step: messages.Read}, func(r messages.ConsensusResponse) {
		c.learn(part, r.Value)
	})
}

// silentForUs returns for how long a peer has been considered dead; 0 if it is alive.
func (c *Controller) silentForUs(addr string) int64 {
	if addr == c.addr {
		return 0
	}
	p, known := c.peers[addr]
	if !known {
		return max(c.process.NowUs()-unknownGoneAfterUs, 0)
	}
	return max(c.process.NowUs()-p.lastHeardUs-silentAfterUs, 0)
}

// alive returns the live controllers ordered by address, including this one.
func (c *Controller) alive() []messages.Peer {
	out := []messages.Peer{{Addr: c.addr, MemberID: c.id, Counted: isCounted(c.cluster, c.addr)}}
	for addr, p := range c.peers {
		if c.silentForUs(addr) == 0 {
			out = append(out, messages.Peer{Addr: addr, MemberID: p.id, Counted: isCounted(c.cluster, addr)})
		}
	}
	slices.SortFunc(out, func(a, b messages.Peer) int { return cmp.Compare(a.Addr, b.Addr) })
	return out
}

// reaches reports whether another controller has answered a direct call within
// unreachableAfterUs, or this process has started within that time.
func (c *Controller) reaches(addr string) bool {
	return addr == c.addr || c.process.NowUs()-max(c.lastAnsweredUs[addr], 1) <= unreachableAfterUs
}
