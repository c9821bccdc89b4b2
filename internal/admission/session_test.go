package admission

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
)

// runnersInZones returns the records of runners r0, r1 and so on, one in each given zone.
func runnersInZones(zones ...string) []messages.RunnerRecord {
	var out []messages.RunnerRecord
	for i, zone := range zones {
		record := testRecord(fmt.Sprint("r", i))
		record.Zone, record.Capacity = zone, 1000
		out = append(out, record)
	}
	return out
}

// sessionRequest returns a request of the i-th session.
func sessionRequest(i int) Request {
	request := newRequest(116, 1)
	request.Parts = []prefixindex.Part{{ID: "top", Tokens: 50}, {ID: fmt.Sprint("session", i), Tokens: 50}, {ID: "own", Tokens: 16}}
	return request
}

// admittedZone submits a request of the i-th session and returns the zone of its runner.
func admittedZone(t *testing.T, admitter *Admitter, i int, nowUs int64) string {
	t.Helper()
	request := sessionRequest(i)
	request.Tenant = fmt.Sprint("t", i) // one tenant per session, so that none reaches its rate limit
	decision := admitter.Submit(request, nowUs)
	must.NotNil(t, decision.Admission, must.Sprint(decision.Reason))
	admitter.RecordFirstToken(decision.Admission, nowUs)
	admitter.Release(decision.Admission, true, nowUs)
	return decision.Admission.Runner.Zone
}

const testSessions = 400

func newZonedAdmitter() *Admitter {
	admitter := New(Defaults, "a", 1)
	admitter.SetService("s", runnersInZones("a", "b", "c", "a", "b", "c"), testMemoryTokens, 0.01)
	return admitter
}

// Sessions leave a relinquished zone gradually over the given duration, and do not return
// while the zone is relinquished.
func TestSessionsLeaveZoneGradually(t *testing.T) {
	admitter := newZonedAdmitter()
	admitter.SetRelinquished(map[string]int64{"a": 10_000_000}, 1_000_000)
	left := map[int]bool{}
	for _, nowUs := range []int64{1_000_000, 3_500_000, 6_000_000, 8_500_000, 11_000_000} {
		for i := range testSessions {
			leaves := admitter.SessionLeaves(sessionRequest(i), "a", nowUs)
			must.False(t, left[i] && !leaves, must.Sprint("session returned: ", i))
			left[i] = left[i] || leaves
			must.False(t, admitter.SessionLeaves(sessionRequest(i), "b", nowUs))
		}
		n := 0
		for _, l := range left {
			if l {
				n++
			}
		}
		want := int(float64(testSessions) * float64(nowUs-1_000_000) / 10_000_000)
		must.Between(t, want-40, n, want+40, must.Sprint("at ", nowUs))
		admitter.SetRelinquished(map[string]int64{"a": 10_000_000}, nowUs) // the next configuration contains the zone again
	}
	for i := range 40 {
		must.NotEq(t, "a", admittedZone(t, admitter, i, 12_000_000))
	}
	admitter.SetRelinquished(nil, 13_000_000)
	must.False(t, admitter.SessionLeaves(sessionRequest(1), "a", 14_000_000), must.Sprint("the zone is no longer relinquished"))
}

// All nodes choose the same target zone for a session, and relinquishing a second zone
// moves only the sessions of that zone.
func TestSecondZoneMovesOnlyItsOwnSessions(t *testing.T) {
	first, second := newZonedAdmitter(), newZonedAdmitter()
	second.Zone = "c"
	for _, admitter := range []*Admitter{first, second} {
		admitter.SetRelinquished(map[string]int64{"a": 0}, 1)
	}
	targets := map[int]string{}
	sessionsByZone := map[string]int{}
	for i := range testSessions {
		targets[i] = first.targetZone(sessionRequest(i), first.pool("s"))
		must.Eq(t, targets[i], second.targetZone(sessionRequest(i), second.pool("s")))
		sessionsByZone[targets[i]]++
	}
	must.MapLen(t, 2, sessionsByZone)
	must.Greater(t, testSessions/3, sessionsByZone["b"])
	must.Greater(t, testSessions/3, sessionsByZone["c"])
	first.SetService("s", runnersInZones("a", "b", "c", "d", "b", "c"), testMemoryTokens, 0.01)
	first.SetRelinquished(map[string]int64{"a": 0, "b": 0}, 2)
	for i := range testSessions {
		targetZone := first.targetZone(sessionRequest(i), first.pool("s"))
		must.NotEq(t, "b", targetZone)
		if targets[i] == "c" {
			must.True(t, targetZone == "c" || targetZone == "d", must.Sprint("sessions may only stay or move to the new zone"))
		}
	}
	first.SetService("s", runnersInZones("a", "b", "c", "c", "b", "c"), testMemoryTokens, 0.01)
	for i := range testSessions {
		must.Eq(t, "c", admittedZone(t, first, i, int64(1_000_000+i)))
	}
}

func TestRelinquishRespectsDrainingWeightsAndCertification(t *testing.T) {
	admitter := newZonedAdmitter()
	admitter.SetRelinquished(map[string]int64{"a": 0}, 1)
	records := runnersInZones("a", "b", "c", "a", "b", "c")
	records[1].Draining, records[4].Draining = true, true
	admitter.SetService("s", records, testMemoryTokens, 0.01)
	must.Eq(t, "c", admittedZone(t, admitter, 1, 10), must.Sprint("zone b is draining"))

	records = runnersInZones("a", "b", "c", "a", "b", "c")
	records[2].Cordoned, records[5].Cordoned = true, true
	admitter.SetService("s", records, testMemoryTokens, 0.01)
	must.Eq(t, "b", admittedZone(t, admitter, 1, 20), must.Sprint("zone c is cordoned for new weights"))

	// Blocks cached under the old weights are not transferred to a runner with new ones.
	records = runnersInZones("a", "b")
	records[1].Models = []messages.Target{{Model: "m", Version: 2}}
	admitter.SetService("s", records, testMemoryTokens, 0.01)
	request := sessionRequest(7)
	for i, k := range prefixindex.Keys(admitter.CacheSalt(&Request{Tenant: request.Tenant}, 1), "m", request.Parts) {
		admitter.Index.RecordPrefilled("r0", k, int32(request.Parts[i].Tokens))
	}
	adm := admitter.Submit(request, 30).Admission
	must.Eq(t, "r1", adm.Runner.ID)
	must.Eq(t, "", adm.Source)
	admitter.Release(adm, true, 31)

	admitter.SetService("s", runnersInZones("a", "b", "c"), testMemoryTokens, 0.01)
	admitter.SetCertified("s", map[string]map[string]bool{"allergen": {"r0": true, "r2": true}})
	request.Regime = "allergen"
	must.Eq(t, "r2", admitter.Submit(request, 40).Admission.Runner.ID)
	admitter.SetCertified("s", map[string]map[string]bool{"allergen": {"r0": true}})
	must.True(t, admitter.Submit(request, 50).Queued, must.Sprint("the only certified runner is in the zone that the session has left"))

	admitter.pool("s").queue = queue{}
	admitter.SetService("s", runnersInZones("a", "a"), testMemoryTokens, 0.01)
	must.Eq(t, "a", admittedZone(t, admitter, 3, 60), must.Sprint("no other zone is available"))
}

func TestTryAdmitDoesNotQueue(t *testing.T) {
	admitter := newZonedAdmitter()
	request := sessionRequest(1)
	must.NotNil(t, admitter.TryAdmit(request, 1))
	request.ExcludedRunners = []string{"r0", "r1", "r2", "r3", "r4", "r5"}
	must.Nil(t, admitter.TryAdmit(request, 2))
	must.Eq(t, 0, admitter.pool("s").queue.count)
	request.TokensIn = 10 * testMemoryTokens
	must.Nil(t, admitter.TryAdmit(request, 3))
}
