package admission

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestEachReasonWithholdsRunnerAndHasName(t *testing.T) {
	const nowUs = 10_000_000
	cases := map[Withheld]func(a *Admitter, r *runner){
		NotWithheld:         func(*Admitter, *runner) {},
		WithheldAbsent:      func(_ *Admitter, r *runner) { r.absence.excluded = true },
		WithheldDraining:    func(_ *Admitter, r *runner) { r.record.Draining = true },
		WithheldCordoned:    func(_ *Admitter, r *runner) { r.record.Cordoned = true },
		WithheldUnreachable: func(a *Admitter, _ *runner) { a.SetUnreachable(map[string]int64{"b": 1}, nowUs) },
		WithheldEvacuated:   func(a *Admitter, _ *runner) { a.SetEvacuated(map[string]bool{"b": true}, nowUs) },
		WithheldWarmingUp: func(a *Admitter, r *runner) {
			a.pool("s").warmupRatePerS = 1
			r.warmup.untilUs = nowUs + 1
		},
		WithheldDoubtful: func(_ *Admitter, r *runner) { r.record.Stale = true },
		WithheldMemory:   func(_ *Admitter, r *runner) { r.memoryBusy = true },
		WithheldPrefill:  func(_ *Admitter, r *runner) { r.prefillBusy = true },
		WithheldSlots:    func(_ *Admitter, r *runner) { r.ownLoad.count = r.capacity },
	}
	must.MapLen(t, int(withheldReasons), cases, must.Sprint("every reason must have a case"))
	for want, set := range cases {
		a := New(Defaults, "a", 1)
		a.SetService("s", []messages.RunnerRecord{{ID: "near", Zone: "a", Capacity: 4}, {ID: "far", Zone: "b", Capacity: 4}}, 10_000, 0)
		set(a, a.pool("s").runners["far"])
		counts := a.CountWithheld(nowUs)
		must.Eq(t, 1, counts[want]-boolToInt(want == NotWithheld), must.Sprint(want, counts))
		must.NotEq(t, "", want.String())
		request := Request{Service: "s", TokensIn: 100, SetpointUs: 1, TimeLeftUs: 1_000_000}
		for range 20 {
			for _, c := range a.Candidates(request, nowUs) {
				must.True(t, c.ID == "near" || want == NotWithheld || want == WithheldMemory || want == WithheldPrefill, must.Sprint(want))
			}
		}
	}
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
