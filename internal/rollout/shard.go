package rollout

import (
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// Model is what is known of one model whose weights were named.
type Model struct {
	Name    string
	Namings []Naming
	Runners []Runner
}

// newest is the newest version that was named.
func (m Model) newest() int64 {
	version := int64(0)
	for _, n := range m.Namings {
		version = max(version, n.Version)
	}
	return version
}

// unfinished tells whether a runner is behind, of unknown version, or still kept
// from requests for an order that is done.
func (m Model) unfinished() bool {
	for _, r := range m.Runners {
		if r.Version < m.newest() || r.Cordoned || r.Draining {
			return true
		}
	}
	return false
}

// View is what a controller knows at a step.
type View struct {
	NowUs int64
	Self  string // this controller's member identity
	// Lease is the lease as it was last committed, as far as is known here.
	Lease messages.Lease
	// FenceFloor is the highest fence under which these models may have been
	// ordered by the holder of another register. Earlier versions of the program
	// kept a model's target in a register that depended on the configuration.
	FenceFloor int64
	Models     []Model
	HolderGone bool // the holder is dead or does not answer this controller
	InContact  bool // this controller holds the contact lease with a majority
	Rank       int  // how many candidates for a takeover try before this one
}

// ModelActions are what is to be done for a model.
type ModelActions struct {
	Model string
	Actions
}

// Step is what a controller has to do. Acquire and Confirm are rounds of the
// register, whose outcomes come back by Acquired and Confirmed.
type Step struct {
	Acquire bool  // put this controller in place of View.Lease
	Confirm bool  // read the register with a majority
	Fence   int64 // of the orders
	UntilUs int64 // orders may be sent before this moment
	Models  []ModelActions
}

// Orders tells whether a step has any.
func (s Step) Orders() bool {
	for _, m := range s.Models {
		if len(m.Orders) > 0 {
			return true
		}
	}
	return false
}

// Shard is one controller's part in the duty for the models of one register. It
// holds the lease, waits for it or watches its holder, and plans under it.
type Shard struct {
	self     string
	boundUs  int64
	lease    lease.Lease
	takeover lease.Takeover
	plans    map[string]*Plan
	fence    int64 // that the plans were made under
	initial  int64 // a fence that this process won and nobody held before
}

// NewShard is a shard whose orders go out boundUs after a naming.
func NewShard(times lease.Times, boundUs int64) *Shard {
	return &Shard{boundUs: boundUs, lease: lease.Lease{T: times}, plans: map[string]*Plan{}}
}

// RecordInitialHolder notes that this process has won a lease that nobody held
// before, together with the first naming of weights.
func (s *Shard) RecordInitialHolder(fence int64) { s.initial = fence }

// Step takes what is known now and says what is to be done.
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
	if s.lease.Fence() != v.Lease.Fence || v.Lease.Fence <= v.FenceFloor {
		// A lease of an earlier process of this holder, or one whose fence runners
		// would take for an old one. A new fence puts all that was said about
		// runners under it behind what will be said now.
		return Step{Acquire: v.InContact}
	}
	return s.work(v)
}

func (s *Shard) holderView(v View, needed bool) lease.HolderView {
	return lease.HolderView{Holder: v.Lease.Holder, Fence: v.Lease.Fence, Gone: v.HolderGone, InContact: v.InContact, Needed: needed, Rank: v.Rank}
}

// release gives up the lease where a newer one is another's.
func (s *Shard) release(now messages.Lease, nowUs int64) {
	if s.lease.Fence() > 0 && s.lease.Fence() < now.Fence {
		s.lease.Released()
		s.takeover.Lost(nowUs)
	}
}

// work plans under the lease, and asks for its confirmation where that ran out.
func (s *Shard) work(v View) Step {
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

func (s *Shard) plan(model string) *Plan {
	p := s.plans[model]
	if p == nil {
		p = NewPlan(s.boundUs)
		s.plans[model] = p
	}
	return p
}

// NextLease is what this controller puts in place of a lease.
func (s *Shard) NextLease(was messages.Lease, fenceFloor int64) messages.Lease {
	return messages.Lease{Holder: s.self, Fence: max(was.Fence, fenceFloor) + 1}
}

// Acquired notes that this controller's lease was committed in place of another.
// previousUsed says that this holder has acted under the one before.
func (s *Shard) Acquired(was, won messages.Lease, previousUsed bool, nowUs int64) {
	predecessor := lease.PredecessorOf(was.Holder, s.self, previousUsed)
	if won.Fence > was.Fence+1 {
		predecessor = lease.Another // the holder of another register, under the floor
	}
	s.lease.Acquired(won.Fence, predecessor, nowUs)
}

// Confirmed notes the lease that a majority's read gave, asked for at askedUs.
func (s *Shard) Confirmed(now messages.Lease, askedUs, nowUs int64) {
	if now.Holder != s.self {
		s.release(now, nowUs)
		return
	}
	s.lease.Confirmed(now.Fence, askedUs)
}

// Answered notes what became of an order.
func (s *Shard) Answered(model string, o Order, answer Answer, nowUs int64) {
	if p := s.plans[model]; p != nil {
		p.Answered(o, answer, nowUs)
	}
}

// Reported notes a runner's report that was asked for at askedUs.
func (s *Shard) Reported(model, id string, r Report, askedUs, nowUs int64) {
	if p := s.plans[model]; p != nil {
		p.Reported(id, r, askedUs, nowUs)
	}
}

// NotReported notes that a runner did not give its report.
func (s *Shard) NotReported(model, id string) {
	if p := s.plans[model]; p != nil {
		p.NotReported(id)
	}
}
