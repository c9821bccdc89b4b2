package admission

import (
	"testing"

	"github.com/shoenig/test/must"
)

// zonesOf lists the zones of the candidates.
func zonesOf(a *Admitter, nowUs int64) (zones []string) {
	for _, c := range a.Candidates(newRequest(16, 1), nowUs) {
		zones = append(zones, a.pool("s").runners[c.ID].record.Zone)
	}
	return zones
}

func TestRunnersOfUnreachableZonesAreNoCandidates(t *testing.T) {
	a := New(Defaults, "a", 1)
	a.SetService("s", runnersInZones("a", "b"), memory, 0)
	a.SetUnreachable(map[string]int64{"b": second}, second)
	must.Eq(t, []string{"a"}, zonesOf(a, 2*second))
	a.SetUnreachable(nil, 3*second)
	must.Eq(t, []string{"a", "b"}, zonesOf(a, 3*second))
}

// Where a service has no runners elsewhere, those of an unreachable zone are tried.
func TestOnlyRunnersOfAServiceAreTriedThoughUnreachable(t *testing.T) {
	a := New(Defaults, "a", 1)
	a.SetService("s", runnersInZones("b", "c"), memory, 0)
	a.SetUnreachable(map[string]int64{"b": second, "c": second}, second)
	must.Eq(t, []string{"b", "c"}, zonesOf(a, 2*second))
	a.SetUnreachable(map[string]int64{"b": second}, 3*second)
	must.Eq(t, []string{"c"}, zonesOf(a, 3*second))
}

func TestRunnersOfAZoneThatIsBackAreForgivenAndReturnSlowly(t *testing.T) {
	a := New(Defaults, "a", 1)
	a.SetService("s", runnersInZones("a", "b"), memory, 0)
	for range 8 {
		a.end("r0", true, second)
		a.end("r1", false, second)
	}
	must.Eq(t, []string{"a"}, zonesOf(a, second))
	a.SetUnreachable(map[string]int64{"b": second}, second)
	a.SetUnreachable(nil, 2*second)
	must.Eq(t, []string{"a", "b"}, zonesOf(a, 2*second))
	must.Eq(t, rampCostUs, a.returnCostUs("b", 2*second))
	must.Eq(t, rampCostUs/2, a.returnCostUs("b", 2*second+rampUs/2))
	must.Eq(t, 0, a.returnCostUs("b", 2*second+rampUs))
	must.Eq(t, 0, a.returnCostUs("a", 2*second))
}

func TestNothingIsFetchedFromAnUnreachableZone(t *testing.T) {
	a := New(Defaults, "a", 1)
	a.SetService("s", runnersInZones("a", "b"), memory, 2)
	request := newRequest(600, 1)
	for i, key := range a.keysOf(request)(1) {
		a.Index.Put("r1", key, int32(request.Parts[i].Tokens))
	}
	source := func() string {
		for _, c := range a.Candidates(request, second) {
			if c.ID == "r0" {
				return c.From
			}
		}
		return "no candidate"
	}
	must.Eq(t, "r1:1", source())
	a.SetUnreachable(map[string]int64{"b": second}, second)
	must.Eq(t, "", source())
}
