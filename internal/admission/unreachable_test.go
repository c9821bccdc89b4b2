package admission

import (
	"testing"

	"github.com/shoenig/test/must"
)

// candidateZones lists the zones of the candidates.
func candidateZones(a *Admitter, nowUs int64) (zones []string) {
	for _, c := range a.Candidates(newRequest(16, 1), nowUs) {
		zones = append(zones, a.pool("s").runners[c.ID].record.Zone)
	}
	return zones
}

func TestRunnersInUnreachableZonesAreNotCandidates(t *testing.T) {
	a := New(Defaults, "a", 1)
	a.SetService("s", runnersInZones("a", "b"), memory, 0)
	a.SetUnreachable(map[string]int64{"b": second}, second)
	must.Eq(t, []string{"a"}, candidateZones(a, 2*second))
	a.SetUnreachable(nil, 3*second)
	must.Eq(t, []string{"a", "b"}, candidateZones(a, 3*second))
}

// Where a service has no runners elsewhere, those of an unreachable zone are tried.
func TestUnreachableRunnersAreUsedWhenServiceHasNoOthers(t *testing.T) {
	a := New(Defaults, "a", 1)
	a.SetService("s", runnersInZones("b", "c"), memory, 0)
	a.SetUnreachable(map[string]int64{"b": second, "c": second}, second)
	must.Eq(t, []string{"b", "c"}, candidateZones(a, 2*second))
	a.SetUnreachable(map[string]int64{"b": second}, 3*second)
	must.Eq(t, []string{"c"}, candidateZones(a, 3*second))
}

func TestRunnersOfRecoveredZoneLoseFailuresAndReturnWithSlowStart(t *testing.T) {
	a := New(Defaults, "a", 1)
	a.SetService("s", runnersInZones("a", "b"), memory, 0)
	for range 8 {
		a.endRequest("r0", true, second)
		a.endRequest("r1", false, second)
	}
	must.Eq(t, []string{"a"}, candidateZones(a, second))
	a.SetUnreachable(map[string]int64{"b": second}, second)
	a.SetUnreachable(nil, 2*second)
	must.Eq(t, []string{"a", "b"}, candidateZones(a, 2*second))
	must.Eq(t, maxSlowStartCostUs, a.returnCostUs("b", 2*second))
	must.Eq(t, maxSlowStartCostUs/2, a.returnCostUs("b", 2*second+slowStartUs/2))
	must.Eq(t, 0, a.returnCostUs("b", 2*second+slowStartUs))
	must.Eq(t, 0, a.returnCostUs("a", 2*second))
}

func TestBlocksAreNotFetchedFromUnreachableZone(t *testing.T) {
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
