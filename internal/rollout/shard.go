package rollout

import (
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// Model is a model whose weights were named, with its runners.
type Model struct {
	Name    string
	Namings []Naming
	Runners []Runner
}

// newest returns the newest named version; 0 if there is none.
func (m Model) newest() int64 {
	version := int64(0)
	for _, n := range m.Namings {
		version = max(version, n.Version)
	}
	return version
}

// unfinished reports whether a runner has an older or unknown version, or is still
// cordoned or draining.
func (m Model) unfinished() bool {
	for _, r := range m.Runners {
		if r.Version < m.newest() || r.Cordoned || r.Draining {
			return true
		}
	}
	return false
}

// View is the input of a step: what the controller knows at NowUs.
type View struct {
	NowUs int64
	Self  string // this controller's member identity
	// Lease is the newest committed lease that is known here.
	Lease messages.Lease
	// FenceFloor is the highest fencing token under which the holder of another
	// register may have sent orders for these models. Earlier versions of the
	// program kept a model's target in a register that depended on the configuration.
	FenceFloor int64
	Models     []Model
	HolderGone bool // the holder is dead or does not answer this controller
	InContact  bool // this controller holds the contact lease with a majority
	Rank       int  // how many candidates for a takeover come before this one
}

// ModelActions are the actions for one model.
type ModelActions struct {
	Model string
	Actions
}

// Step is what a controller has to do. Acquire and Confirm are a change and a read of
// the register; the caller reports their outcomes with Acquired and Confirmed.
type Step struct {
	Acquire bool  // replace View.Lease with NextLease
	Confirm bool  // read the register with a majority
	Fence   int64 // fencing token of the orders
	UntilUs int64 // orders may be sent before this moment
	Models  []ModelActions
}

// Orders reports whether a step has any orders.
func (s Step) Orders() bool {
	for _, m := range s.Models {
		if len(m.Orders) > 0 {
			return true
		}
	}
	return false
}

// Shard is one controller's part in the singleton role for the models of one register.
// It holds the lease and plans under it, or watches the lease of another holder.
type Shard struct {
	self     string
	boundUs  int64
	lease    lease.Lease
	takeover lease.Takeover
	plans    map[string]*Plan
	fence    int64 // fencing token under which the plans were made
	initial  int64 // fencing token of a never held lease that this process won; 0: none
	refused  int64 // highest fencing token that a runner has refused; nothing is sent under it any more
}

// NewShard returns a shard that sends all orders within boundUs after a naming.
func NewShard(times lease.Times, boundUs int64) *Shard {
	return &Shard{boundUs: boundUs, lease: lease.Lease{T: times}, plans: map[string]*Plan{}}
}

// RecordInitialHolder records that this process has won a lease that was never held
// before, together with the first naming of weights.
func (s *Shard) RecordInitialHolder(fence int64) { s.initial = fence }

// Step returns what this controller has to do, given what it knows now.
func (s *Shard) Step(v View) Step {
	s.self = v.Self
	if len(v.Models) == 0 {
		return Step{}
	}
	needed := false
	for _, m := range v.Models {
		needed = needed || m.unfinished()
	}
	if v.Lease.Holder != s.self {
		s.release(v.Lease, v.NowUs)
		return Step{Acquire: s.takeover.Due(s.holderView(v, needed), v.NowUs)}
	}
	if !needed || s.lease.Fence() > v.Lease.Fence {
		return Step{} // nothing to do, or the lease just won is not known as committed yet
	}
	if s.initial == v.Lease.Fence && s.lease.Fence() < s.initial {
		s.lease.Acquired(s.initial, lease.Nobody, v.NowUs)
	}
	if s.lease.Fence() != v.Lease.Fence || v.Lease.Fence <= max(v.FenceFloor, s.refused) {
		// A lease of an earlier process of this holder, or one whose fencing token
		// runners reject as old. Under a new token, messages about runners
		// supersede all those sent under the old one.
		return Step{Acquire: v.InContact}
	}
	return s.work(v)
}

// holderView returns the input of the takeover.
func (s *Shard) holderView(v View, needed bool) lease.HolderView {
	return lease.HolderView{Holder: v.Lease.Holder, Fence: v.Lease.Fence, Gone: v.HolderGone, InContact: v.InContact, Needed: needed, Rank: v.Rank}
}

// release gives up the lease if another controller holds a newer one.
func (s *Shard) release(now messages.Lease, nowUs int64) {
	if s.lease.Fence() > 0 && s.lease.Fence() < now.Fence {
		s.lease.Released()
		s.takeover.Lost(nowUs)
	}
}

// work plans under the lease, and requests a confirmation if the last one has expired.
func (s *Shard) work(v View) Step {
	if s.lease.Fence() < s.fence {
		fenceGoesForward.Violated("before", s.fence, "next", s.lease.Fence())
	}
	if s.fence != s.lease.Fence() {
		s.fence, s.plans = s.lease.Fence(), map[string]*Plan{}
	}
	mayOrder := s.lease.MayAct(v.NowUs)
	mayPrepare := mayOrder || s.lease.ReadyInUs(v.NowUs) <= DrainUs+SettleUs
	step := Step{Confirm: !mayOrder, Fence: s.fence, UntilUs: s.lease.ActUntilUs()}
	for _, m := range v.Models {
		actions := s.plan(m.Name).Step(Input{NowUs: v.NowUs, Namings: m.Namings, Runners: m.Runners, MayPrepare: mayPrepare, MayOrder: mayOrder})
		step.Models = append(step.Models, ModelActions{m.Name, actions})
	}
	return step
}

// plan returns the plan of a model, a new one if there is none yet.
func (s *Shard) plan(model string) *Plan {
	p := s.plans[model]
	if p == nil {
		p = NewPlan(s.boundUs)
		s.plans[model] = p
	}
	return p
}

// NextLease returns the lease with which this controller replaces another. Its fencing
// token is above the replaced one and the floor.
func (s *Shard) NextLease(was messages.Lease, fenceFloor int64) messages.Lease {
	return messages.Lease{Holder: s.self, Fence: max(was.Fence, fenceFloor) + 1}
}

// Acquired records that this controller's lease was committed in place of another.
// previousUsed says whether this holder has acted under the replaced one.
func (s *Shard) Acquired(was, won messages.Lease, previousUsed bool, nowUs int64) {
	predecessor := lease.PredecessorOf(was.Holder, s.self, previousUsed)
	if won.Fence > was.Fence+1 {
		predecessor = lease.Another // the holder of another register, under the floor
	}
	s.lease.Acquired(won.Fence, predecessor, nowUs)
}

// Confirmed records the lease that a read by a majority returned; the read was requested
// at askedUs.
func (s *Shard) Confirmed(now messages.Lease, askedUs, nowUs int64) {
	if now.Holder != s.self {
		s.release(now, nowUs)
		return
	}
	s.lease.Confirmed(now.Fence, askedUs)
}

// Answered records the outcome of an order that was sent under a fencing token. A runner
// that refuses the token has an order of a later holder: this one acts again only under
// a token that it acquires anew.
func (s *Shard) Answered(model string, o Order, fence int64, answer Answer, nowUs int64) {
	if answer == FenceRefused {
		s.refused = max(s.refused, fence)
	}
	if p := s.plans[model]; p != nil {
		p.Answered(o, answer, nowUs)
	}
}

// Refused reports whether a runner has refused a fencing token, or a higher one.
func (s *Shard) Refused(fence int64) bool { return fence <= s.refused }

// Reported records a runner's report that was requested at askedUs.
func (s *Shard) Reported(model, id string, r Report, askedUs, nowUs int64) {
	if p := s.plans[model]; p != nil {
		p.Reported(id, r, askedUs, nowUs)
	}
}

// NotReported records that a runner did not answer the request for its report.
func (s *Shard) NotReported(model, id string) {
	if p := s.plans[model]; p != nil {
		p.NotReported(id)
	}
}
