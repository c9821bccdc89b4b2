package history

import (
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
)

// Errors returned by Check.
var (
	ErrNotLinearizable = errors.New("history: no order of the calls explains the answers")
	ErrRefusedAccepted = errors.New("history: a configuration that was refused for good is in force or acknowledged")
	ErrUndecided       = errors.New("history: not decided in time")
)

// Check checks the history for linearizability and for orders that were both rejected and
// accepted. limit bounds the search; 0 is no limit.
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

// operations converts the calls to porcupine's operations. It omits reads without a clear
// result, which constrain nothing, and repeated unclear calls of the same change: any
// later effect of a repeat is also a possible effect of the first call.
func (h *History) operations() []porcupine.Operation {
	var out []porcupine.Operation
	unclear := map[Call]bool{}
	for _, e := range h.entries {
		if e.response.Verdict == Unclear {
			if e.call.reads() || unclear[e.call] {
				continue
			}
			unclear[e.call] = true
		}
		out = append(out, porcupine.Operation{ClientId: e.client, Input: e.call, Call: e.began, Output: e.response, Return: e.ended})
	}
	return out
}

// order identifies a change by an operator. Repeated calls are the same order.
type order struct {
	digest string
	base   int64
}

// checkRefusals checks that no order is both refused and accepted. A refusal before the
// acceptance would be linearizable, but the final refusal reported to the operator would
// turn out wrong.
func (h *History) checkRefusals() error {
	orders := h.orders()
	accepted := h.acceptedOrders(orders)
	for o := range orders {
		if orders[o].refused && accepted[o] {
			return errors.Wrapf(ErrRefusedAccepted, "%s on %d", o.digest, o.base)
		}
	}
	return nil
}

// verdicts holds which final verdicts the calls of one order received.
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
		switch e.response.Verdict {
		case Accepted:
			v.accepted = true
		case Superseded, Invalid:
			v.refused = true
		}
		out[o] = v
	}
	return out
}

// acceptedOrders returns the orders that were acknowledged, or whose configuration was
// read. A read returns only the digest, so it counts only if the digest was sent with a
// single base.
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
		if e.call.Kind != Read || e.response.Verdict != Accepted {
			continue
		}
		if sent := byDigest[e.response.Digest]; len(sent) == 1 {
			out[sent[0]] = true
		}
	}
	return out
}

// register is the state of one register: the configuration or the weights version of one
// model. It is comparable, so that the search detects equal states fast.
type register struct {
	version  int64
	digest   string
	accepted string // digests that were ever in force, each between "|"
	ended    bool   // after the closing operation; only unclear calls may follow
}

func (r register) has(digest string) bool { return strings.Contains(r.accepted, "|"+digest+"|") }

// Model returns the sequential specification. A configuration is accepted if its base is
// the current version and its own version is higher. A repeat of a configuration that was
// ever accepted is acknowledged. The version of weights never decreases.
func Model() porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init:      func() any { return register{} },
		Step: func(state, input, output any) (bool, any) {
			return step(state.(register), input.(Call), output.(Response))
		},
		DescribeOperation: func(input, output any) string { return input.(Call).String() + " -> " + output.(Response).String() },
	}
}

// endOfHistory is an operation that closes the history of each register. Unclear calls
// without an effect are ordered after it, where no read observes them, so the search need
// not try them at other positions.
const endOfHistory Kind = -1

// partition splits the operations by register, as each must be linearizable by itself, and
// appends endOfHistory to each part.
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
		end := porcupine.Operation{Input: Call{Kind: endOfHistory, Model: name}, Output: Response{}, Call: neverEnded - 1, Return: neverEnded - 1}
		out = append(out, append(by[name], end))
	}
	return out
}

func step(r register, c Call, a Response) (bool, any) {
	if r.ended {
		return a.Verdict == Unclear, r
	}
	switch c.Kind {
	case endOfHistory:
		r.ended = true
		return true, r
	case Read:
		return a.Version == r.version && a.Digest == r.digest, r
	case ReadWeights:
		return a.Version == r.version, r
	case SetWeights:
		increases := c.Version > r.version
		r.version = max(r.version, c.Version)
		return increases || a.Verdict != Unclear, r
	default:
		return replace(r, c, a.Verdict)
	}
}

func replace(r register, c Call, v Verdict) (bool, any) {
	accepted := r.has(c.Digest)
	accepts := !accepted && !c.Faulty && c.Base == r.version && c.Version > r.version
	switch v {
	case Unclear:
		return accepts, r.accept(c)
	case Accepted:
		if accepted {
			return true, r
		}
		return accepts, r.accept(c)
	case Superseded:
		return !accepted && c.Base != r.version, r
	default:
		return !accepted && (c.Faulty || c.Disputed || c.Base == r.version && c.Version <= r.version), r
	}
}

func (r register) accept(c Call) register {
	accepted := r.accepted
	if accepted == "" {
		accepted = "|"
	}
	r.version, r.digest, r.accepted = c.Version, c.Digest, accepted+c.Digest+"|"
	return r
}
