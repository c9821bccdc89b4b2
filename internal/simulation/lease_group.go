// The lease of a singleton role among a group of controllers: the real lease.Role and
// lease.Contact, driven as controller.roleManager drives them. The register of the lease is a
// stand-in (the model "registers" runs the real registers).

package simulation

import (
	"slices"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// Periods and timeouts of a member.
const (
	roleEveryUs       = 100 * Millisecond
	memberPingEveryUs = 500 * Millisecond
	holderGoneUs      = 1_200 * Millisecond // a controller that has not answered for this time is considered gone
	registerTimeoutUs = Second
)

// leaseGroup is the group of controllers that may hold the lease.
type leaseGroup struct {
	kernel   *Kernel
	network  *Network
	members  []*leaseMember
	register leaseRegister
	times    lease.Times
}

// stepDelayUs draws the delay of one step of a process.
func (g *leaseGroup) stepDelayUs() int64 {
	if g.kernel.Chance(stepDelayPerMille) {
		return g.kernel.Between(0, maxStepDelayUs)
	}
	return g.kernel.Between(0, Millisecond)
}

func (g *leaseGroup) add(addr string, process *Process) *leaseMember {
	m := &leaseMember{
		group: g, index: len(g.members), addr: addr, process: process,
		onLearn: func(messages.LeaseBody) {}, onPing: func(*leaseMember) func() { return func() {} },
	}
	g.members = append(g.members, m)
	return m
}

// holder returns the member that the register names as the holder of the lease, or nil.
func (g *leaseGroup) holder() *leaseMember {
	for _, m := range g.members {
		if m.member() == g.register.body.Lease.Holder {
			return m
		}
	}
	return nil
}

// leaseMember is the lease side of one controller.
type leaseMember struct {
	group    *leaseGroup
	index    int
	addr     string
	process  *Process
	thawedUs int64
	onLearn  func(body messages.LeaseBody)           // called with each newer body of the register
	onPing   func(other *leaseMember) (there func()) // called before each ping; there runs at the receiver

	// The fields below are on disk.
	knownVersion int64
	knownBody    messages.LeaseBody // the register as last learned
	usedFence    int64

	// The fields below are reset with each life of the process.
	role           *lease.Role
	contact        lease.Contact
	lastAnsweredUs map[string]int64
	roundActive    bool
}

func (m *leaseMember) member() string { return m.addr + "/0" }
func (m *leaseMember) nowUs() int64   { return m.process.NowUs() }

// boot initializes the member for a new life. The caller has started the process.
func (m *leaseMember) boot() {
	m.role = lease.NewRole(m.group.times)
	m.contact = lease.Contact{Self: m.member()}
	m.lastAnsweredUs, m.roundActive = map[string]int64{}, false
	if m.knownVersion > 0 {
		m.onLearn(m.knownBody)
	}
	m.every(memberPingEveryUs, m.ping)
}

// every runs a callback periodically for the rest of the current life.
func (m *leaseMember) every(periodUs int64, run func()) {
	m.process.After(periodUs, func() {
		run()
		m.every(periodUs, run)
	})
}

// delayed returns a callback that runs a step after a random delay.
func (m *leaseMember) delayed(run func()) func() {
	return func() { m.process.After(m.group.stepDelayUs(), run) }
}

// ping sends the last learned value of the register to every other member and records its answer.
func (m *leaseMember) ping() {
	for _, other := range m.group.members {
		if other == m {
			continue
		}
		if _, ever := m.lastAnsweredUs[other.addr]; !ever {
			m.lastAnsweredUs[other.addr] = m.nowUs()
		}
		version, body, sentUs := m.knownVersion, m.knownBody, m.nowUs()
		there := m.onPing(other)
		m.callMember(other, func() {
			other.learn(version, body)
			there()
		}, func() {
			m.lastAnsweredUs[other.addr] = m.nowUs()
			m.contact.RecordAnswer(other.member(), sentUs)
		})
	}
}

// callMember runs there in another member, and answered here once the answer arrives.
func (m *leaseMember) callMember(other *leaseMember, there, answered func()) {
	network, back := m.group.network, m.process.InLife(answered)
	network.Send(m.addr, other.addr, func() {
		other.process.Deliver(func() {
			there()
			network.Send(other.addr, m.addr, back)
		})
	})
}

func (m *leaseMember) learn(version int64, body messages.LeaseBody) {
	if version > m.knownVersion {
		m.knownVersion, m.knownBody = version, body
		m.onLearn(body)
	}
}

// runRound contacts a majority twice. The register is read or changed after the first
// majority has answered; the outcome is known after the second.
func (m *leaseMember) runRound(edit func(body *messages.LeaseBody) bool, done func(ok bool, now messages.LeaseBody)) {
	ended := false
	end := func(ok bool, now messages.LeaseBody) {
		if !ended {
			ended = true
			done(ok, now)
		}
	}
	m.process.After(registerTimeoutUs, func() { end(false, messages.LeaseBody{}) })
	m.afterMajority(m.delayed(func() {
		m.group.register.change(edit)
		version, body := m.group.register.version, m.group.register.copy()
		m.afterMajority(m.delayed(func() {
			m.learn(version, body)
			m.broadcast(version, body)
			end(true, body)
		}))
	}))
}

// broadcast sends the committed value to the others. A member that misses it receives it with a later ping.
func (m *leaseMember) broadcast(version int64, body messages.LeaseBody) {
	for _, other := range m.group.members {
		if other != m {
			m.callMember(other, func() { other.learn(version, body) }, func() {})
		}
	}
}

// afterMajority runs a callback once a majority of the controllers, including this one, has answered.
func (m *leaseMember) afterMajority(run func()) {
	votes, needed := 1, len(m.group.members)/2+1
	for _, other := range m.group.members {
		if other == m {
			continue
		}
		m.callMember(other, func() {}, func() {
			if votes++; votes == needed {
				run()
			}
		})
	}
}

// stepRole runs one step of the role. again is called after a successful confirmation that it starts.
func (m *leaseMember) stepRole(needed bool, again func()) lease.Grant {
	view := m.view(needed)
	step := m.role.Step(view)
	if (step.Acquire || step.Confirm) && !m.roundActive {
		m.roundActive = true
		if step.Acquire {
			m.acquire(view)
		} else {
			m.confirm(again)
		}
	}
	return step.Grant
}

func (m *leaseMember) view(needed bool) lease.RoleView {
	var group, candidates []string
	for _, other := range m.group.members {
		group = append(group, other.member())
		if other.member() != m.knownBody.Lease.Holder && !m.isGone(other.member()) {
			candidates = append(candidates, other.addr)
		}
	}
	rank, _ := lease.Rank(candidates, m.addr, m.knownBody.Lease)
	return lease.RoleView{
		NowUs: m.nowUs(), Self: m.member(), Lease: m.knownBody.Lease, Needed: needed,
		HolderGone: m.isGone(m.knownBody.Lease.Holder), InContact: m.contact.Holds(group, m.nowUs()), Rank: rank,
	}
}

// isGone reports whether a controller has not answered for longer than holderGoneUs.
func (m *leaseMember) isGone(member string) bool {
	i := slices.IndexFunc(m.group.members, func(other *leaseMember) bool { return other != m && other.member() == member })
	if i < 0 {
		return false
	}
	lastUs, ever := m.lastAnsweredUs[m.group.members[i].addr]
	return ever && m.nowUs()-lastUs > holderGoneUs
}

func (m *leaseMember) acquire(view lease.RoleView) {
	previousLease := view.Lease
	nextLease := m.role.NextLease(previousLease, view.FenceFloor)
	edit := func(body *messages.LeaseBody) bool {
		if body.Lease != previousLease {
			return false
		}
		body.Lease = nextLease
		return true
	}
	m.runRound(edit, func(ok bool, now messages.LeaseBody) {
		m.roundActive = false
		if ok && now.Lease == nextLease {
			m.group.kernel.Log("%s acquires the lease under fence %d", m.addr, nextLease.Fence)
			m.role.Acquired(previousLease, nextLease, m.usedFence == previousLease.Fence, m.nowUs())
		}
	})
}

func (m *leaseMember) confirm(again func()) {
	sentUs := m.nowUs()
	unchanged := func(*messages.LeaseBody) bool { return false }
	m.runRound(unchanged, func(ok bool, now messages.LeaseBody) {
		m.roundActive = false
		if ok {
			m.role.Confirmed(now.Lease, sentUs, m.nowUs())
			again()
		}
	})
}

// recordFenceUsed records on disk, after a delay, that this member has acted under a fence.
func (m *leaseMember) recordFenceUsed(fence int64) {
	if m.usedFence != fence {
		m.process.After(m.group.stepDelayUs(), func() { m.usedFence = fence })
	}
}

// leaseRegister is a stand-in for the register of a lease: one shared value, which members
// access once a majority has answered them.
type leaseRegister struct {
	version       int64
	body          messages.LeaseBody
	holderChanges int64 // number of changes of the holder
}

// change replaces the value by the edited copy, unless edit returns false.
func (r *leaseRegister) change(edit func(body *messages.LeaseBody) bool) {
	body := r.copy()
	if !edit(&body) {
		return
	}
	if body.Lease.Holder != r.body.Lease.Holder {
		r.holderChanges++
	}
	r.version++
	r.body = body
}

func (r *leaseRegister) copy() messages.LeaseBody {
	body := r.body
	body.Targets = append([]messages.Target{}, r.body.Targets...)
	return body
}
