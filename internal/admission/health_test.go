package admission

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// newAdmitterWithTenRunners returns an admitter with the runners r0 to r9, and their
// identities.
func newAdmitterWithTenRunners() (*Admitter, []string) {
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprint("r", i))
	}
	return newAdmitter(ids...), ids
}

// endRequest records the outcome of a request at a runner.
func (a *Admitter) endRequest(id string, succeeded bool, nowUs int64) {
	a.RecordOutcome(&Admission{Runner: messages.RunnerRecord{ID: id}, service: "s"}, succeeded, nowUs)
}

// candidateIDs returns the set of runners that are candidates for a short request.
func candidateIDs(admitter *Admitter, nowUs int64) map[string]bool {
	out := map[string]bool{}
	for _, c := range admitter.Candidates(newRequest(16, 1), nowUs) {
		out[c.ID] = true
	}
	return out
}

// A runner that fails half of its requests, whatever its health check returns, is ejected,
// returns with a slow start, and is ejected for longer if it still fails.
func TestFailingRunnerIsEjectedAndReturnsWithSlowStart(t *testing.T) {
	admitter, ids := newAdmitterWithTenRunners()
	now := int64(1_000_000)
	for _, id := range ids {
		for i := range 4 {
			admitter.endRequest(id, id != "r3" || i%2 == 0, now)
		}
	}
	must.False(t, candidateIDs(admitter, now)["r3"])
	must.MapLen(t, 9, candidateIDs(admitter, now))
	ejectionEnd := now + ejectionUs
	must.True(t, candidateIDs(admitter, ejectionEnd)["r3"])
	for _, c := range admitter.Candidates(newRequest(16, 1), ejectionEnd+1) {
		must.Eq(t, c.ID == "r3", c.HealthPenaltyUs > 0)
	}
	now = ejectionEnd + outcomeWindowUs
	for _, id := range ids {
		for i := range 4 {
			admitter.endRequest(id, id != "r3" || i%2 == 0, now)
		}
	}
	must.False(t, candidateIDs(admitter, now+ejectionUs+1)["r3"], must.Sprint("the second ejection must be longer"))
	must.True(t, candidateIDs(admitter, now+2*ejectionUs)["r3"])
	must.Eq(t, 0.0, admitter.pool("s").runners["r3"].health.slowStartCostUs(now+2*ejectionUs+slowStartUs))
}

func TestEjectionsAreLimitedAndNoneWhenAllRunnersFail(t *testing.T) {
	admitter, ids := newAdmitterWithTenRunners()
	for i, id := range ids {
		for range 4 {
			admitter.endRequest(id, i > 3, 1_000_000)
		}
	}
	must.MapLen(t, 8, candidateIDs(admitter, 1_000_000), must.Sprint("at most a fifth of the runners may be ejected"))
	admitter, ids = newAdmitterWithTenRunners()
	for range 6 {
		for _, id := range ids {
			admitter.endRequest(id, false, 1_000_000)
		}
	}
	must.Greater(t, 7, len(candidateIDs(admitter, 1_000_000)))
}

func TestPeerOutcomesCountHalf(t *testing.T) {
	admitter, _ := newAdmitterWithTenRunners()
	reportFailures := func(failed int) {
		admitter.SetPeerLoads(func(id string) messages.RunnerLoad {
			l := messages.RunnerLoad{ID: id, Tried: 10}
			if id == "r1" {
				l.Failed = failed
			}
			return l
		}, 1_000_000)
	}
	reportFailures(2)
	must.MapLen(t, 10, candidateIDs(admitter, 1_000_001))
	reportFailures(6)
	must.False(t, candidateIDs(admitter, 1_000_001)["r1"])
	for range 20 {
		admitter.endRequest("r2", true, 1_000_000)
	}
	admitter.SetPeerLoads(func(id string) messages.RunnerLoad { return messages.RunnerLoad{ID: id, Tried: 10, Failed: 4} }, 1_000_000)
	must.True(t, candidateIDs(admitter, 1_000_001)["r2"], must.Sprint("the requests of this node to the runner succeeded"))
}

func TestEjectedRunnerIsUsedAsLastResort(t *testing.T) {
	admitter := newAdmitter("x", "y")
	for range 4 {
		admitter.endRequest("x", false, 1)
		admitter.endRequest("y", true, 1)
	}
	request := newRequest(16, 1)
	must.Len(t, 1, admitter.Candidates(request, 2))
	request.ExcludedRunners = []string{"y"}
	must.Len(t, 1, admitter.Candidates(request, 2))
}
