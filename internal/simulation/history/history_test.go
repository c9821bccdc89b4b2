package history

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// recordCall records a call that ends before the next one begins.
func (h *History) recordCall(call Call, answer Response) {
	h.End(h.Begin(0, call), answer)
}

var (
	red   = Call{Kind: Replace, Digest: "red", Version: 1}
	blue  = Call{Kind: Replace, Digest: "blue", Version: 1}
	green = Call{Kind: Replace, Digest: "green", Version: 2, Base: 1}
	wrong = Call{Kind: Replace, Digest: "wrong", Version: 2, Base: 1, Faulty: true}
	name  = func(n int64) Call { return Call{Kind: SetWeights, Model: "m", Version: n} }
)

func TestCheckAcceptsLinearizableHistoriesOnly(t *testing.T) {
	yes := Response{Verdict: Accepted}
	no := Response{Verdict: Superseded}
	for _, c := range []struct {
		name string
		play func(*History)
		want error
	}{
		{"a repeat is acknowledged", func(h *History) { h.recordCall(red, yes); h.recordCall(green, yes); h.recordCall(red, yes) }, nil},
		{"one of two is refused", func(h *History) { h.recordCall(red, yes); h.recordCall(blue, no) }, nil},
		{"two under one number", func(h *History) { h.recordCall(red, yes); h.recordCall(blue, yes) }, ErrNotLinearizable},
		{"a repeat is refused", func(h *History) { h.recordCall(red, yes); h.recordCall(green, yes); h.recordCall(red, no) }, ErrRefusedAccepted},
		{"an unclear one comes into force late", func(h *History) {
			h.recordCall(red, Response{})
			h.recordCall(Call{Kind: Read}, yes)
			h.recordCall(Call{Kind: Read}, Response{Verdict: Accepted, Digest: "red", Version: 1})
		}, nil},
		{"refused for good, then in force", func(h *History) { h.recordCall(green, no); h.recordCall(red, yes); h.recordCall(green, yes) }, ErrRefusedAccepted},
		{"refused for good, then read", func(h *History) {
			h.recordCall(green, Response{})
			h.recordCall(green, no)
			h.recordCall(red, yes)
			h.recordCall(Call{Kind: Read}, Response{Verdict: Accepted, Digest: "green", Version: 2})
		}, ErrRefusedAccepted},
		{"an old read", func(h *History) {
			h.recordCall(red, yes)
			h.recordCall(green, yes)
			h.recordCall(Call{Kind: Read}, Response{Verdict: Accepted, Digest: "red", Version: 1})
		}, ErrNotLinearizable},
		{"an invalid one is refused", func(h *History) { h.recordCall(red, yes); h.recordCall(wrong, Response{Verdict: Invalid}) }, nil},
		{"a valid one is called invalid", func(h *History) { h.recordCall(red, yes); h.recordCall(green, Response{Verdict: Invalid}) }, ErrNotLinearizable},
		{"weights rise", func(h *History) {
			h.recordCall(name(3), yes)
			h.recordCall(name(2), yes)
			h.recordCall(Call{Kind: ReadWeights, Model: "m"}, Response{Verdict: Accepted, Version: 3})
		}, nil},
		{"weights fall", func(h *History) {
			h.recordCall(name(3), yes)
			h.recordCall(name(2), yes)
			h.recordCall(Call{Kind: ReadWeights, Model: "m"}, Response{Verdict: Accepted, Version: 2})
		}, ErrNotLinearizable},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h History
			c.play(&h)
			must.ErrorIs(t, h.Check(time.Minute), c.want, must.Sprint(h.String()))
		})
	}
}
