package admission

import (
	"testing"

	"github.com/shoenig/test/must"
)

// candidateZones returns the zones of the candidates for a request.
func candidateZones(a *Admitter, nowUs int64) (zones []string) {
	for _, c := range a.Candidates(newRequest(16, 1), nowUs) {
		zones = append(zones, a.pool("s").runners[c.ID].record.Zone)
	}
	return zones
}

func TestRunnersInUnreachableZonesAreNotCandidates(t *testing.T) {
	a := New(Defaults, "a", 1)
	a.SetService("s", runnersInZones("a", "b"), testMemoryTokens, 0)
	a.SetUnreachable(map[string]int64{"b": testSecondUs}, testSecondUs)
	must.Eq(t, []string{"a"}, candidateZones(a, 2*testSecondUs))
	a.SetUnreachable(nil, 3*testSecondUs)
	must.Eq(t, []string{"a", "b"}, candidateZones(a, 3*testSecondUs))
}

// If all runners of a service are in unreachable zones, they remain candidates.
func TestUnreachableRunnersAreUsedWhenServiceHasNoOthers(t *testing.T) {
	a := New(Defaults, "a", 1)
	a.SetService("s", runnersInZones("b", "c"), testMemoryTokens, 0)
	a.SetUnreachable(map[string]int64{"b": testSecondUs, "c": testSecondUs}, testSecondUs)
	must.Eq(t, []string{"b", "c"}, candidateZones(a, 2*testSecondUs))
	a.SetUnreachable(map[string]int64{"b": testSecondUs}, 3*testSecondUs)
	must.Eq(t, []string{"c"}, candidateZones(a, 3*testSecondUs))
}

func TestRunnersOfRecoveredZoneLoseFailuresAndReturnWithSlowStart(t *testing.T) {
	a := New(Defaults, "a", 1)
	a.SetService("s", runnersInZones("a", "b"), testMemoryTokens, 0)
	for range 8 {
		a.endRequest("r0", true, testSecondUs)
		a.endRequest("r1", false, testSecondUs)
	}
	must.Eq(t, []string{"a"}, candidateZones(a, testSecondUs))
	a.SetUnreachable(map[string]int64{"b": testSecondUs}, testSecondUs)
	a.SetUnreachable(nil, 2*testSecondUs)
	must.Eq(t, []string{"a", "b"}, candidateZones(a, 2*testSecondUs))
	must.Eq(t, maxSlowStartCostUs, a.returnCostUs("b", 2*testSecondUs))
	must.Eq(t, maxSlowStartCostUs/2, a.returnCostUs("b", 2*testSecondUs+slowStartUs/2))
	must.Eq(t, 0, a.returnCostUs("b", 2*testSecondUs+slowStartUs))
	must.Eq(t, 0, a.returnCostUs("a", 2*testSecondUs))
}

func TestBlocksAreNotFetchedFromUnreachableZone(t *testing.T) {
	a := New(Defaults, "a", 1)
	a.SetService("s", runnersInZones("a", "b"), testMemoryTokens, 2)
	request := newRequest(600, 1)
	for i, key := range a.keysOf(request)(1) {
		a.Index.RecordPrefilled("r1", key, int32(request.Parts[i].Tokens))
	}
	source := func() string {
		for _, c := range a.Candidates(request, testSecondUs) {
			if c.ID == "r0" {
				return c.TransferFrom
			}
		}
		return "no candidate"
	}
	must.Eq(t, "r1:1", source())
	a.SetUnreachable(map[string]int64{"b": testSecondUs}, testSecondUs)
	must.Eq(t, "", source())
}
