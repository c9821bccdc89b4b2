package admission

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// submitWithEndedInstance submits one request every 10 ms for 7 s, each of which takes
// 200 ms. The instance of one runner has ended, and its address responds with 421. It
// returns the number of requests that received this response.
func submitWithEndedInstance(t *testing.T, admitter *Admitter, endedID string) (responses421 int) {
	t.Helper()
	const stepUs, durationUs = 10_000, 200_000
	type running struct {
		adm   *Admission
		endUs int64
	}
	var list []running
	for nowUs := int64(stepUs); nowUs < 7_000_000; nowUs += stepUs {
		for len(list) > 0 && list[0].endUs <= nowUs {
			admitter.Release(list[0].adm, true, nowUs)
			list = list[1:]
		}
		adm := admitter.Submit(newRequest(100, 10), nowUs).Admission
		if adm == nil {
			continue
		}
		if adm.Runner.ID != endedID {
			list = append(list, running{adm, nowUs + durationUs})
			continue
		}
		responses421++
		admitter.Release(adm, true, nowUs)
		admitter.RecordWrongInstance(adm, true, nowUs)
		due, _ := admitter.DueProbes(nowUs)
		for _, n := range due {
			admitter.RecordProbe(n, PresenceMismatch, nowUs)
		}
	}
	return responses421
}

func TestRunnerIsExcludedAfterFirst421(t *testing.T) {
	admitter := newAdmitter("x", "y", "z", "w", "v", "u")
	admitter.Index.RecordPrefilled("x", 7, 100)
	must.Eq(t, 1, submitWithEndedInstance(t, admitter, "x"))
	must.Eq(t, 0, admitter.Index.CachedPrefixes("x").Len(), must.Sprint("cached prefixes of the absent runner must be cleared"))
}

// receive421 records a 421 from a runner, and reports whether the runner has been excluded
// from the candidates.
func receive421(t *testing.T, admitter *Admitter, id string, versionNamed bool, nowUs int64) bool {
	t.Helper()
	r := admitter.pool("s").runners[id]
	adm := &Admission{Runner: r.record, service: "s", tenant: "t"}
	return admitter.RecordWrongInstance(adm, versionNamed, nowUs)
}

// candidateSet returns the set of runners that are candidates for a request.
func candidateSet(admitter *Admitter, nowUs int64) map[string]bool {
	out := map[string]bool{}
	for _, c := range admitter.Candidates(newRequest(100, 10), nowUs) {
		out[c.ID] = true
	}
	return out
}

func TestAbsentRunnerReturnsOnlyWithNewerRegistration(t *testing.T) {
	admitter := newAdmitter("x", "y")
	must.True(t, receive421(t, admitter, "x", false, 1))
	must.Eq(t, map[string]bool{"y": true}, candidateSet(admitter, 60_000_000))
	admitter.SetService("s", []messages.RunnerRecord{testRecord("x"), testRecord("y")}, testMemoryTokens, 2)
	must.Eq(t, map[string]bool{"y": true}, candidateSet(admitter, 60_000_000), must.Sprint("the same sequence must not end the absence"))
	x := testRecord("x")
	x.Seq, x.Stale = 1, true
	admitter.SetService("s", []messages.RunnerRecord{x, testRecord("y")}, testMemoryTokens, 2)
	must.Eq(t, map[string]bool{"y": true}, candidateSet(admitter, 60_000_000), must.Sprint("a record that only marks the runner as stale must not end the absence"))
	x.Stale = false
	admitter.SetService("s", []messages.RunnerRecord{x, testRecord("y")}, testMemoryTokens, 2)
	must.Eq(t, map[string]bool{"y": true}, candidateSet(admitter, 60_000_000))
	x.Seq = 2
	admitter.SetService("s", []messages.RunnerRecord{x, testRecord("y")}, testMemoryTokens, 2)
	must.Eq(t, map[string]bool{"x": true, "y": true}, candidateSet(admitter, 60_000_000))
}

func TestOnlyConfirmedAbsenceIsReported(t *testing.T) {
	admitter := newAdmitter("x", "y", "z")
	must.True(t, receive421(t, admitter, "x", true, 1))
	must.SliceEmpty(t, admitter.TakeConfirmedAbsent())
	admitter.RecordProbe(testRecord("x"), PresenceMismatch, 2)
	must.True(t, receive421(t, admitter, "y", false, 3))
	must.Eq(t, []string{"x", "y"}, admitter.TakeConfirmedAbsent())
	must.SliceEmpty(t, admitter.TakeConfirmedAbsent())
}

func Test421FromBeforeNewerRegistrationIsIgnored(t *testing.T) {
	admitter := newAdmitter("x", "y")
	adm := &Admission{Runner: testRecord("x"), service: "s", tenant: "t"}
	x := testRecord("x")
	x.Seq = 1
	admitter.SetService("s", []messages.RunnerRecord{x, testRecord("y")}, testMemoryTokens, 2)
	must.False(t, admitter.RecordWrongInstance(adm, false, 1))
	must.True(t, candidateSet(admitter, 1)["x"])
}

func TestProbeRestoresRunnerThatIsPresent(t *testing.T) {
	admitter := newAdmitter("x", "y")
	must.True(t, receive421(t, admitter, "x", true, 1))
	due, anyAbsent := admitter.DueProbes(1)
	must.True(t, anyAbsent)
	must.Len(t, 1, due)
	admitter.RecordProbe(due[0], PresenceConfirmed, 2)
	must.True(t, candidateSet(admitter, 1_000_000)["x"])
	must.False(t, receive421(t, admitter, "x", true, 1_000_000), must.Sprint("a probe has just found the runner, so the 421 concerns the weights"))
}

func TestProbesOfAbsentRunnerBackOff(t *testing.T) {
	admitter := newAdmitter("x", "y")
	must.True(t, receive421(t, admitter, "x", false, 0))
	probes := 0
	for nowUs := int64(0); nowUs < 60_000_000; nowUs += 50_000 {
		due, _ := admitter.DueProbes(nowUs)
		for _, n := range due {
			probes++
			admitter.RecordProbe(n, PresenceUnknown, nowUs)
		}
	}
	must.Between(t, 8, probes, 12)
	must.False(t, candidateSet(admitter, 60_000_000)["x"])
}

func TestUnprobedRunnerIsRetriedWithBackoff(t *testing.T) {
	admitter := newAdmitter("x", "y")
	tried := 0
	for nowUs := int64(1); nowUs < 60_000_000; nowUs += 50_000 {
		if candidateSet(admitter, nowUs)["x"] {
			tried++
			must.True(t, receive421(t, admitter, "x", false, nowUs))
		}
		due, _ := admitter.DueProbes(nowUs)
		for _, n := range due {
			admitter.RecordProbe(n, PresenceUnprobed, nowUs)
		}
	}
	must.Between(t, 4, tried, 12)
}

func TestManyUnconfirmed421sDoNotEmptyService(t *testing.T) {
	var ids []string
	for i := range 6 {
		ids = append(ids, fmt.Sprintf("r%d", i))
	}
	admitter := newAdmitter(ids...)
	for nowUs := int64(1); nowUs < 10_000_000; nowUs += 100_000 {
		for _, id := range ids {
			receive421(t, admitter, id, true, nowUs)
		}
		must.GreaterEq(t, 3, len(candidateSet(admitter, nowUs)))
	}
	due, _ := admitter.DueProbes(10_000_000)
	for _, n := range due {
		admitter.RecordProbe(n, PresenceConfirmed, 10_000_000)
	}
	must.Eq(t, 6, len(candidateSet(admitter, 10_200_000)))
}
