package rollout

import (
	"slices"

	"beechtide.org/beechtide/internal/lease"
)

// Model is a model with its named weights versions and its runners.
type Model struct {
	Name          string
	NamedVersions []NamedVersion
	Runners       []Runner
}

// newest returns the newest named version; 0 if there is none.
func (m Model) newest() int64 {
	version := int64(0)
	for _, n := range m.NamedVersions {
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

// ModelActions are the actions for one model.
type ModelActions struct {
	Model string
	Actions
}

// Step is the result of Shard.Step: the actions of the lease holder.
type Step struct {
	Fence  int64 // fencing token of the orders
	Models []ModelActions
}

// HasOrders reports whether a step has any orders.
func (s Step) HasOrders() bool {
	for _, m := range s.Models {
		if len(m.Orders) > 0 {
			return true
		}
	}
	return false
}

// Unfinished reports whether there is work for the lease holder: a model has a runner
// with an older or unknown version, or one that is still cordoned or draining.
func Unfinished(models []Model) bool {
	return slices.ContainsFunc(models, Model.unfinished)
}

// Shard plans the rollouts of the models of one register while this controller holds the
// register's lease.
type Shard struct {
	boundUs int64
	plans   map[string]*Plan
	fence   int64 // fencing token under which the plans were made
}

// NewShard returns a shard that sends all orders within boundUs after a version was named.
func NewShard(boundUs int64) *Shard {
	return &Shard{boundUs: boundUs, plans: map[string]*Plan{}}
}

// Step returns the actions for the models under a grant of the lease. Plans made under
// another fencing token are discarded. Without a grant or unfinished work it returns an
// empty step.
func (s *Shard) Step(nowUs int64, grant lease.Grant, models []Model) Step {
	if grant.Fence == 0 || !Unfinished(models) {
		return Step{}
	}
	if grant.Fence < s.fence {
		fenceNeverDecreases.Violated("before", s.fence, "next", grant.Fence)
	}
	if s.fence != grant.Fence {
		s.fence, s.plans = grant.Fence, map[string]*Plan{}
	}
	mayPrepare := grant.MayAct || grant.ReadyInUs <= DrainUs+SettleUs
	step := Step{Fence: grant.Fence}
	for _, m := range models {
		actions := s.plan(m.Name).Step(Input{NowUs: nowUs, NamedVersions: m.NamedVersions, Runners: m.Runners, MayPrepare: mayPrepare, MayOrder: grant.MayAct})
		step.Models = append(step.Models, ModelActions{m.Name, actions})
	}
	return step
}

// plan returns the plan of a model and creates it if there is none.
func (s *Shard) plan(model string) *Plan {
	p := s.plans[model]
	if p == nil {
		p = NewPlan(s.boundUs)
		s.plans[model] = p
	}
	return p
}

// RecordAnswer records the outcome of an order.
func (s *Shard) RecordAnswer(model string, o Order, answer Answer, nowUs int64) {
	if p := s.plans[model]; p != nil {
		p.RecordAnswer(o, answer, nowUs)
	}
}

// RecordReport records a runner's report that was requested at requestedUs.
func (s *Shard) RecordReport(model, id string, r Report, requestedUs, nowUs int64) {
	if p := s.plans[model]; p != nil {
		p.RecordReport(id, r, requestedUs, nowUs)
	}
}

// RecordMissingReport records that a runner did not answer the request for its report.
func (s *Shard) RecordMissingReport(model, id string) {
	if p := s.plans[model]; p != nil {
		p.RecordMissingReport(id)
	}
}
