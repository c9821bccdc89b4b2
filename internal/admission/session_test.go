package admission

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
)

func runnersInZones(zones ...string) []messages.RunnerRecord {
	var out []messages.RunnerRecord
	for i, s := range zones {
		n := testRecord(fmt.Sprint("r", i))
		n.Zone, n.Capacity = s, 1000
		out = append(out, n)
	}
	return out
}

func sessionRequest(i int) Request {
	a := newRequest(116, 1)
	a.Parts = []prefixindex.Part{{ID: "top", Tokens: 50}, {ID: fmt.Sprint("session", i), Tokens: 50}, {ID: "own", Tokens: 16}}
	return a
}

func admittedZone(t *testing.T, admitter *Admitter, i int, nowUs int64) string {
	t.Helper()
	a := sessionRequest(i)
	a.Tenant = fmt.Sprint("t", i) // so that no tenant reaches its rate limit
	r := admitter.Submit(a, nowUs)
	must.NotNil(t, r.Admit, must.Sprint(r.Reject))
	admitter.FirstToken(r.Admit, nowUs)
	admitter.Done(r.Admit, true, nowUs)
	return r.Admit.Runner.Zone
}

const sessionCount = 400

func zonedAdmitter() *Admitter {
	admitter := New(Defaults, "a", 1)
	admitter.SetService("s", runnersInZones("a", "b", "c", "a", "b", "c"), memory, 0.01)
	return admitter
}

// Sessions leave one after the other over the given time, and do not return while the
// zone is relinquished.
func TestSessionsLeaveZoneGradually(t *testing.T) {
	admitter := zonedAdmitter()
	admitter.SetRelinquished(map[string]int64{"a": 10_000_000}, 1_000_000)
	left := map[int]bool{}
	for _, at := range []int64{1_000_000, 3_500_000, 6_000_000, 8_500_000, 11_000_000} {
		for i := range sessionCount {
			leaves := admitter.Leaves(sessionRequest(i), "a", at)
			must.False(t, left[i] && !leaves, must.Sprint("back again: ", i))
			left[i] = left[i] || leaves
			must.False(t, admitter.Leaves(sessionRequest(i), "b", at))
		}
		n := 0
		for _, l := range left {
			if l {
				n++
			}
		}
		want := int(float64(sessionCount) * float64(at-1_000_000) / 10_000_000)
		must.Between(t, want-40, n, want+40, must.Sprint("at ", at))
		admitter.SetRelinquished(map[string]int64{"a": 10_000_000}, at) // the next version of the configuration repeats it
	}
	for i := range 40 {
		must.NotEq(t, "a", admittedZone(t, admitter, i, 12_000_000))
	}
	admitter.SetRelinquished(nil, 13_000_000)
	must.False(t, admitter.Leaves(sessionRequest(1), "a", 14_000_000), must.Sprint("the zone is no longer relinquished"))
}

// All nodes send a session to the same home, and a second relinquished zone moves only
// its own sessions.
func TestSecondZoneMovesOnlyItsOwnSessions(t *testing.T) {
	one, two := zonedAdmitter(), zonedAdmitter()
	two.Zone = "c"
	for _, admitter := range []*Admitter{one, two} {
		admitter.SetRelinquished(map[string]int64{"a": 0}, 1)
	}
	first := map[int]string{}
	seen := map[string]int{}
	for i := range sessionCount {
		first[i] = one.targetZone(sessionRequest(i), one.pool("s"))
		must.Eq(t, first[i], two.targetZone(sessionRequest(i), two.pool("s")))
		seen[first[i]]++
	}
	must.MapLen(t, 2, seen)
	must.Greater(t, sessionCount/3, seen["b"])
	must.Greater(t, sessionCount/3, seen["c"])
	one.SetService("s", runnersInZones("a", "b", "c", "d", "b", "c"), memory, 0.01)
	one.SetRelinquished(map[string]int64{"a": 0, "b": 0}, 2)
	for i := range sessionCount {
		home := one.targetZone(sessionRequest(i), one.pool("s"))
		must.NotEq(t, "b", home)
		if first[i] == "c" {
			must.True(t, home == "c" || home == "d", must.Sprint("a new zone may draw some"))
		}
	}
	one.SetService("s", runnersInZones("a", "b", "c", "c", "b", "c"), memory, 0.01)
	for i := range sessionCount {
		must.Eq(t, "c", admittedZone(t, one, i, int64(1_000_000+i)))
	}
}

func TestRelinquishRespectsDrainingWeightsAndCertification(t *testing.T) {
	admitter := zonedAdmitter()
	admitter.SetRelinquished(map[string]int64{"a": 0}, 1)
	records := runnersInZones("a", "b", "c", "a", "b", "c")
	records[1].Draining, records[4].Draining = true, true
	admitter.SetService("s", records, memory, 0.01)
	must.Eq(t, "c", admittedZone(t, admitter, 1, 10), must.Sprint("zone b drains"))

	records = runnersInZones("a", "b", "c", "a", "b", "c")
	records[2].Cordoned, records[5].Cordoned = true, true
	admitter.SetService("s", records, memory, 0.01)
	must.Eq(t, "b", admittedZone(t, admitter, 1, 20), must.Sprint("zone c gets new weights"))

	// what is cached under the old weights is not transferred to the new ones
	records = runnersInZones("a", "b")
	records[1].Models = []messages.Target{{Model: "m", Version: 2}}
	admitter.SetService("s", records, memory, 0.01)
	a := sessionRequest(7)
	for i, k := range prefixindex.Keys(admitter.Salt(a.Tenant, false, "", 1), "m", a.Parts) {
		admitter.Index.Put("r0", k, int32(a.Parts[i].Tokens))
	}
	adm := admitter.Submit(a, 30).Admit
	must.Eq(t, "r1", adm.Runner.ID)
	must.Eq(t, "", adm.Source)
	admitter.Done(adm, true, 31)

	admitter.SetService("s", runnersInZones("a", "b", "c"), memory, 0.01)
	admitter.SetCertified("s", map[string]map[string]bool{"allergen": {"r0": true, "r2": true}})
	a.Regime = "allergen"
	must.Eq(t, "r2", admitter.Submit(a, 40).Admit.Runner.ID)
	admitter.SetCertified("s", map[string]map[string]bool{"allergen": {"r0": true}})
	must.True(t, admitter.Submit(a, 50).Hold, must.Sprint("the regime goes before the move, and the zone is left"))

	admitter.pool("s").queue = queue{}
	admitter.SetService("s", runnersInZones("a", "a"), memory, 0.01)
	must.Eq(t, "a", admittedZone(t, admitter, 3, 60), must.Sprint("nowhere else to go"))
}

func TestTryNowDoesNotQueue(t *testing.T) {
	admitter := zonedAdmitter()
	a := sessionRequest(1)
	must.NotNil(t, admitter.TryNow(a, 1))
	a.Avoid = []string{"r0", "r1", "r2", "r3", "r4", "r5"}
	must.Nil(t, admitter.TryNow(a, 2))
	must.Eq(t, 0, admitter.pool("s").queue.count)
	a.TokensIn = 10 * memory
	must.Nil(t, admitter.TryNow(a, 3))
}
