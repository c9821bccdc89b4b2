// Singleton roles: the lease of each register, and the tasks that its holder works on.
// Package lease decides; acquiring and confirming are rounds of the register. The tasks
// are the roll-outs of the models that belong to the register, and the calls to the
// platform.

package controller

import (
	"context"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
)

// Periods and waits of the singleton roles.
const (
	rolePeriod   = 100 * time.Millisecond
	confirmLease = 600 * time.Millisecond
	acquireLease = time.Second
)

// Times of a lease, in microseconds.
const (
	actUs = int64(400_000)
	// spareUs is for a call that was sent and has not arrived; it exceeds orderWait.
	spareUs = int64(800_000)
)

// job is what there is to do in a task now.
type job struct {
	needed bool // the holder of the lease has work
	// fenceFloor is the highest fencing token that was used for this work under
	// another lease.
	fenceFloor int64
	// run works under a grant of the lease. It does not wait for calls.
	run func(ctx context.Context, grant lease.Grant)
}

// task is work that only the holder of a register's lease may do.
type task interface {
	// prepare returns the job in a register with this body; ok is false where the task
	// has nothing to do with the register.
	prepare(part int, body messages.LeaseBody) (j job, ok bool)
}

// roleManager holds the role of each register. It is safe for concurrent use.
type roleManager struct {
	controller *Controller
	tasks      []task

	mu    sync.Mutex // guards what follows
	roles map[int]*lease.Role
	busy  map[int]bool  // a round for the lease is under way
	used  map[int]int64 // the newest fence this process has acted under
}

func newRoleManager(d *Controller) *roleManager {
	times := lease.Times{LeaseUs: int64(d.set.Bounds.LeaseMs) * 1000, ActUs: actUs, SpareUs: spareUs}
	m := &roleManager{controller: d, roles: map[int]*lease.Role{}, busy: map[int]bool{}, used: map[int]int64{}}
	for part := 1; part < consensus.Parts; part++ {
		m.roles[part] = lease.NewRole(times)
	}
	return m
}

// recordInitialHolder notes a lease that came with the first naming of weights.
func (m *roleManager) recordInitialHolder(part int, l messages.Lease) {
	if l.Holder != m.controller.registers.ID() || l.Fence != lease.InitialFence {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roles[part].RecordInitialHolder(l.Fence)
}

// refuse notes that a receiver of calls has refused a fence, which is then never used
// again.
func (m *roleManager) refuse(part int, fence int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roles[part].Refuse(fence)
}

// mayCall reports whether a call may leave now under a fence. It is asked as the call
// leaves: the lease may have expired since the work began.
func (m *roleManager) mayCall(part int, fence int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roles[part].MayCall(fence, m.controller.clock())
}

// step takes the next steps of each role.
func (m *roleManager) step(ctx context.Context) {
	for part := 1; part < consensus.Parts; part++ {
		m.stepRole(ctx, part)
	}
}

func (m *roleManager) stepRole(ctx context.Context, part int) {
	v, ok := m.controller.registers.Committed(part)
	body, err := leaseBody(v)
	if !ok || err != nil {
		return
	}
	jobs := m.jobs(part, body)
	if len(jobs) == 0 {
		return
	}
	view := m.view(v.Group, body.Lease, jobs)
	m.mu.Lock()
	step := m.roles[part].Step(view)
	round := (step.Acquire || step.Confirm) && !m.busy[part]
	m.busy[part] = m.busy[part] || round
	m.mu.Unlock()
	if round {
		go m.round(ctx, part, view, step)
	}
	if step.Grant.Fence == 0 {
		return
	}
	for _, j := range jobs {
		j.run(ctx, step.Grant)
	}
}

func (m *roleManager) jobs(part int, body messages.LeaseBody) []job {
	var jobs []job
	for _, t := range m.tasks {
		if j, ok := t.prepare(part, body); ok {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// view is what this controller sees of a register's lease and its holder.
func (m *roleManager) view(group []messages.Member, l messages.Lease, jobs []job) lease.RoleView {
	d := m.controller
	rank, candidate := m.rank(l)
	eligible := candidate || l.Holder == d.registers.ID()
	view := lease.RoleView{
		NowUs: d.clock(), Self: d.registers.ID(), Lease: l,
		HolderGone: m.gone(l.Holder), InContact: eligible && d.hasContact(group), Rank: rank,
	}
	for _, j := range jobs {
		view.Needed = view.Needed || j.needed
		view.FenceFloor = max(view.FenceFloor, j.fenceFloor)
	}
	return view
}

// round carries out a round of the register for the lease, and goes on at once.
func (m *roleManager) round(ctx context.Context, part int, view lease.RoleView, step lease.RoleStep) {
	if step.Acquire {
		m.acquire(ctx, part, view)
	} else {
		m.confirm(ctx, part)
	}
	m.mu.Lock()
	m.busy[part] = false
	m.mu.Unlock()
	if step.Confirm {
		m.stepRole(ctx, part)
	}
}

// confirm asks a majority whether the lease still stands.
func (m *roleManager) confirm(ctx context.Context, part int) {
	d := m.controller
	askedUs := d.clock()
	ctx, cancel := context.WithTimeout(ctx, confirmLease)
	defer cancel()
	v, err := d.registers.Read(ctx, part)
	if err != nil {
		return
	}
	body, err := leaseBody(v)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roles[part].Confirmed(body.Lease, askedUs, d.clock())
}

// acquire wins the lease by a ballot, if it is still as it was.
func (m *roleManager) acquire(ctx context.Context, part int, view lease.RoleView) {
	d, was := m.controller, view.Lease
	m.mu.Lock()
	next := m.roles[part].NextLease(was, view.FenceFloor)
	m.mu.Unlock()
	v, err := m.change(ctx, part, was, func(body *messages.LeaseBody) bool {
		body.Lease = next
		return true
	})
	if err != nil {
		d.log.Info("lease not acquired", "part", part, "fence", next.Fence, "err", err)
		return
	}
	if v.Lease != next {
		return
	}
	used := m.usedFence(part, was.Fence)
	m.mu.Lock()
	m.roles[part].Acquired(was, next, used, d.clock())
	m.mu.Unlock()
	d.log.Info("lease acquired", "part", part, "fence", next.Fence, "from", was.Holder)
}

// change changes the body of a register, if its lease is still as it was. edit reports
// whether there is something to change.
func (m *roleManager) change(ctx context.Context, part int, was messages.Lease, edit func(body *messages.LeaseBody) bool) (messages.LeaseBody, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireLease)
	defer cancel()
	v, err := m.controller.registers.Change(ctx, part, func(cur messages.Value) ([]messages.Member, []byte, error) {
		body, err := leaseBody(cur)
		if err != nil {
			return nil, nil, err
		}
		if body.Lease != was || !edit(&body) {
			return nil, nil, errNoChange
		}
		b, err := body.MarshalMsg(nil)
		return nil, b, err
	})
	if err != nil {
		return messages.LeaseBody{}, err
	}
	return leaseBody(v)
}

// unknownHolderUs is how long after the start of a process a holder that membership
// has not heard of may still turn up.
const unknownHolderUs = 3_000_000

// gone tells whether the holder of a lease is dead or does not answer this node.
func (m *roleManager) gone(holder string) bool {
	d, addr := m.controller, addrOf(holder)
	if holder == "" || d.stability.isCut(addr) {
		return holder != ""
	}
	for _, p := range d.monitor.Alive(messages.Controller) {
		if p.MemberID == holder {
			return false
		}
	}
	return d.monitor.DeadForUs(addr) > 0 || d.clock()-d.startUs >= unknownHolderUs
}

// rank is how many of the core's live controllers that this one reaches come before
// it in the succession of a lease, and whether it is itself among them. The order
// differs with each fence, so that the same controller is not always the first.
func (m *roleManager) rank(l messages.Lease) (rank int, candidate bool) {
	d := m.controller
	var addrs []string
	for _, p := range membership.Core(d.monitor.Alive(messages.Controller)) {
		if p.MemberID != l.Holder && (p.Addr == d.transport.Addr() || !d.stability.isCut(p.Addr)) {
			addrs = append(addrs, p.Addr)
		}
	}
	return lease.Rank(addrs, d.transport.Addr(), l)
}
