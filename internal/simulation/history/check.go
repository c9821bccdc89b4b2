package history

import (
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
)

// What Check may find.
var (
	ErrNotLinearizable = errors.New("history: no order of the calls explains the answers")
	ErrRefusedTaken    = errors.New("history: a configuration that was refused for good is in force or acknowledged")
	ErrUndecided       = errors.New("history: not decided in time")
)

// Check judges the history. The time bounds the search; 0 is none.
func (h *History) Check(limit time.Duration) error {
	if err := h.checkRefusals(); err != nil {
		return err
	}
	switch porcupine.CheckOperationsTimeout(Model(), h.operations(), limit) {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return ErrUndecided
	default:
		return ErrNotLinearizable
	}
}

// operations gives the calls as porcupine takes them. Reads without an answer
// say nothing, nor do further unclear calls of the same change: what one may do
// later, the first may do.
func (h *History) operations() []porcupine.Operation {
	var out []porcupine.Operation
	unclear := map[Call]bool{}
	for _, e := range h.entries {
		if e.answer.Verdict == Unclear {
			if e.call.reads() || unclear[e.call] {
				continue
			}
			unclear[e.call] = true
		}
		out = append(out, porcupine.Operation{ClientId: e.client, Input: e.call, Call: e.began, Output: e.answer, Return: e.ended})
	}
	return out
}

// order is one change by one operator: repeats of it are the same order.
type order struct {
	digest string
	base   int64
}

// checkRefusals checks that no order is both refused and accepted. A refusal before the
// acceptance would be linearizable, yet tells the operator something that does not stay
// true.
func (h *History) checkRefusals() error {
	orders := h.orders()
	accepted := h.acceptedOrders(orders)
	for o := range orders {
		if orders[o].refused && accepted[o] {
			return errors.Wrapf(ErrRefusedTaken, "%s on %d", o.digest, o.base)
		}
	}
	return nil
}

// verdicts says how the calls of one order ended.
type verdicts struct{ accepted, refused bool }

// orders collects the verdicts of all orders.
func (h *History) orders() map[order]verdicts {
	out := map[order]verdicts{}
	for _, e := range h.entries {
		if e.call.Kind != Replace {
			continue
		}
		o := order{e.call.Digest, e.call.Base}
		v := out[o]
		switch e.answer.Verdict {
		case Taken:
			v.accepted = true
		case Overtaken, Invalid:
			v.refused = true
		}
		out[o] = v
	}
	return out
}

// acceptedOrders returns the orders that were acknowledged, or whose configuration was
// read. A read tells the digest only, so it counts where one base was sent with it.
func (h *History) acceptedOrders(orders map[order]verdicts) map[order]bool {
	out := map[order]bool{}
	byDigest := map[string][]order{}
	for o, v := range orders {
		byDigest[o.digest] = append(byDigest[o.digest], o)
		if v.accepted {
			out[o] = true
		}
	}
	for _, e := range h.entries {
		if e.call.Kind != Read || e.answer.Verdict != Taken {
			continue
		}
		if sent := byDigest[e.answer.Digest]; len(sent) == 1 {
			out[sent[0]] = true
		}
	}
	return out
}

// register is the state of one register: the configuration's or that of one
// model's weights. It is comparable, so that the search finds equal states fast.
type register struct {
	version  int64
	digest   string
	accepted string // digests that were ever in force, each between bars
	over     bool   // everything that was seen has happened
}

func (r register) has(digest string) bool { return strings.Contains(r.accepted, "|"+digest+"|") }

// Model is the sequential specification: a configuration is taken where it
// builds on the current version and is above it, a repeat of what was ever
// taken is acknowledged, and weights only rise.
func Model() porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init:      func() any { return register{} },
		Step: func(state, input, output any) (bool, any) {
			return step(state.(register), input.(Call), output.(Answer))
		},
		DescribeOperation: func(input, output any) string { return input.(Call).String() + " -> " + output.(Answer).String() },
	}
}

// theEnd closes each register's history. An unclear call that has no effect goes
// after it, where nobody can see the difference; that spares the search all the
// other places.
const theEnd Kind = -1

// partition keeps the registers apart: each must be linearizable by itself.
func partition(history []porcupine.Operation) [][]porcupine.Operation {
	by := map[string][]porcupine.Operation{}
	var names []string
	for _, op := range history {
		name := op.Input.(Call).Model
		if by[name] == nil {
			names = append(names, name)
		}
		by[name] = append(by[name], op)
	}
	var out [][]porcupine.Operation
	for _, name := range names {
		end := porcupine.Operation{Input: Call{Kind: theEnd, Model: name}, Output: Answer{}, Call: open - 1, Return: open - 1}
		out = append(out, append(by[name], end))
	}
	return out
}

func step(r register, c Call, a Answer) (bool, any) {
	if r.over {
		return a.Verdict == Unclear, r
	}
	switch c.Kind {
	case theEnd:
		r.over = true
		return true, r
	case Read:
		return a.Version == r.version && a.Digest == r.digest, r
	case ReadWeights:
		return a.Version == r.version, r
	case NameWeights:
		rises := c.Version > r.version
		r.version = max(r.version, c.Version)
		return rises || a.Verdict != Unclear, r
	default:
		return replace(r, c, a.Verdict)
	}
}

func replace(r register, c Call, v Verdict) (bool, any) {
	known := r.has(c.Digest)
	takes := !known && !c.Faulty && c.Base == r.version && c.Version > r.version
	switch v {
	case Unclear:
		return takes, r.take(c)
	case Taken:
		if known {
			return true, r
		}
		return takes, r.take(c)
	case Overtaken:
		return !known && c.Base != r.version, r
	default:
		return !known && (c.Faulty || c.Disputed || c.Base == r.version && c.Version <= r.version), r
	}
}

func (r register) take(c Call) register {
	accepted := r.accepted
	if accepted == "" {
		accepted = "|"
	}
	r.version, r.digest, r.accepted = c.Version, c.Digest, accepted+c.Digest+"|"
	return r
}
