package simulation

import "beechtide.org/beechtide/internal/messages"

// node is a node of the dissemination tree, which others may subscribe to.
type node interface {
	address() string
	proc() *Process
	feedSince(h messages.SyncState) messages.Feed
	subscribe(sub *subscription)
}

// subscription is one connection from a parent to a child. Feeds arrive in order, and
// none is lost unless the connection closes.
type subscription struct {
	d                     *distribution
	parent                node
	child                 *sink
	parentLife, childLife int64
	open, delivering      bool
	queue                 []messages.Feed
}

// push enqueues a feed.
func (s *subscription) push(f messages.Feed) {
	if s.isOpen() {
		s.queue = append(s.queue, f)
		s.deliverNext()
	}
}

// isOpen reports whether the connection is open. It closes when the process at either end stops.
func (s *subscription) isOpen() bool {
	s.open = s.open && s.parent.proc().life == s.parentLife && s.child.process.life == s.childLife
	return s.open
}

func (s *subscription) deliverNext() {
	if s.delivering || len(s.queue) == 0 || !s.isOpen() {
		return
	}
	s.delivering = true
	f := s.queue[0]
	s.queue = s.queue[1:]
	link := s.d.network.Link(s.parent.address(), s.child.addr)
	s.d.kernel.After(s.d.kernel.Between(link.DelayLowUs, link.DelayHighUs), func() { s.deliver(f, s.d.kernel.NowUs()) })
}

// deliver delivers a feed once the link is not cut. A connection that can't deliver one for
// connectionBrokenUs closes.
func (s *subscription) deliver(f messages.Feed, sentUs int64) {
	const again = 50 * Millisecond
	switch {
	case !s.isOpen():
	case s.d.network.Link(s.parent.address(), s.child.addr).Cuts == 0:
		s.child.process.Deliver(func() {
			s.d.step(s.child.process, func() {
				if s.isOpen() {
					s.child.receiveFeed(s, f)
				}
				s.delivering = false
				s.deliverNext()
			})
		})
	case s.d.kernel.NowUs()-sentUs > connectionBrokenUs:
		s.open = false
	default:
		s.d.kernel.After(again, func() { s.deliver(f, sentUs) })
	}
}

// pushAll pushes a feed to all open subscriptions and returns them.
func pushAll(subscriptions []*subscription, f messages.Feed) []*subscription {
	var alive []*subscription
	for _, s := range subscriptions {
		if s.isOpen() {
			s.push(f)
			alive = append(alive, s)
		}
	}
	return alive
}

// schedule draws and schedules the operator's changes and the faults.
func (d *distribution) schedule() {
	k := d.kernel
	for range 2 + k.Below(5) {
		atUs, gapUs := k.Between(Second, distributionUs+distributionCalmUs/2), k.Between(30*Millisecond, Second)
		for i := range int64(1 + k.Below(12)) {
			k.After(atUs+i*gapUs, d.submitRelease)
		}
	}
	for range k.Below(7) {
		forUs := k.Between(100*Millisecond, 9*Second)
		k.After(k.Between(Second, distributionUs-Second), func() { d.injectFault(forUs) })
	}
}

func (d *distribution) injectFault(forUs int64) {
	k := d.kernel
	c, r := d.controllers[k.Below(len(d.controllers))], d.routers[k.Below(len(d.routers))]
	other := d.controllers[k.Below(len(d.controllers))]
	switch k.Below(9) {
	case 0, 1:
		d.stopOrFreeze(c, forUs)
	case 2:
		d.cutCore(c, other, forUs, k.Chance(500))
	case 3:
		for _, o := range d.controllers {
			d.cutCore(c, o, forUs, false)
		}
	case 4:
		d.injectRouterFault(r, forUs, func() { d.slowed[r.process] = true }, func() { delete(d.slowed, r.process) })
	case 5:
		d.injectRouterFault(r, forUs, r.process.Freeze, r.process.Thaw)
	case 6:
		d.injectRouterFault(r, forUs, r.process.Stop, r.boot)
	case 7:
		d.activeCoreFaults++
		d.slowed[c.process] = true
		d.endFaultAfter(forUs, func() { d.activeCoreFaults--; d.coreFaultUs = k.NowUs(); delete(d.slowed, c.process) })
	default:
		relay := d.routers[r.number/2]
		for _, pair := range [][2]string{{c.addr, r.addr}, {relay.addr, r.addr}} {
			l := d.network.Link(pair[0], pair[1])
			d.injectRouterFault(r, forUs, func() { l.Cuts++ }, func() { l.Cuts-- })
		}
		d.injectRouterFault(relay, forUs, func() {}, func() {})
	}
}

// stopOrFreeze stops or freezes a controller for a time.
func (d *distribution) stopOrFreeze(c *source, forUs int64) {
	if !c.process.Up() || c.process.frozen {
		return
	}
	d.coreFaultUs, c.downUs = d.kernel.NowUs(), d.kernel.NowUs()
	if d.kernel.Chance(500) {
		d.kernel.Log("%s freezes for %d us", c.addr, forUs)
		c.process.Freeze()
		d.endFaultAfter(forUs, func() { d.coreFaultUs = d.kernel.NowUs(); c.process.Thaw() })
		return
	}
	d.kernel.Log("%s is killed for %d us", c.addr, forUs)
	c.process.Stop()
	d.endFaultAfter(forUs, func() { d.coreFaultUs = d.kernel.NowUs(); c.boot() })
}

func (d *distribution) cutCore(a, b *source, forUs int64, oneWay bool) {
	if a == b {
		return
	}
	d.kernel.Log("%s and %s are cut apart for %d us, one way %v", a.addr, b.addr, forUs, oneWay)
	links := []*Link{d.network.Link(a.addr, b.addr)}
	if !oneWay {
		links = append(links, d.network.Link(b.addr, a.addr))
	}
	d.coreFaultUs = d.kernel.NowUs()
	for _, l := range links {
		l.Cuts++
		d.endFaultAfter(forUs, func() { d.coreFaultUs = d.kernel.NowUs(); l.Cuts-- })
	}
}

// injectRouterFault injects a fault of a router or its links. The router is not in contact until it ends.
func (d *distribution) injectRouterFault(r *sink, forUs int64, begin, end func()) {
	if !r.process.Up() || r.process.frozen {
		return
	}
	d.kernel.Log("%s is in trouble for %d us", r.addr, forUs)
	r.activeFaults++
	r.lastFaultUs = d.kernel.NowUs()
	begin()
	d.endFaultAfter(forUs, func() {
		r.activeFaults--
		r.lastFaultUs = d.kernel.NowUs()
		end()
	})
}

// endFaultAfter ends a fault after a time, at the latest at distributionUs.
func (d *distribution) endFaultAfter(forUs int64, end func()) {
	d.kernel.After(min(forUs, distributionUs-d.kernel.NowUs()), end)
}

// heal marks the end of all faults; endFaultAfter ends each one at this time or before.
func (d *distribution) heal() {
	d.kernel.Log("everything heals")
	d.healed = true
}
