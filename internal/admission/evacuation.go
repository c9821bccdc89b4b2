// Evacuated zones: their runners get no requests. When a zone is taken back its runners may
// have lost their warmth a moment before.

package admission

import (
	"maps"
	"slices"
)

// evacuationState is which zones are evacuated.
type evacuationState struct {
	zones map[string]bool
	// returnWarmupUs is for how long the runners of a zone that is taken back count as cold,
	// in microseconds, unless their heartbeats say that it is longer.
	returnWarmupUs int64
}

// SetReturnCold sets for how long runners of a zone that is taken back count as cold.
func (a *Admitter) SetReturnCold(forUs int64) { a.evacuations.returnWarmupUs = forUs }

// SetEvacuated sets which zones are evacuated.
func (a *Admitter) SetEvacuated(zones map[string]bool, nowUs int64) {
	for zone := range a.evacuations.zones {
		if !zones[zone] {
			a.restartWarmups(zone, a.evacuations.returnWarmupUs, nowUs)
		}
	}
	a.evacuations.zones = maps.Clone(zones)
}

// Evacuated reports whether the runners of a zone are to get no requests.
func (a *Admitter) Evacuated(zone string) bool { return a.evacuations.zones[zone] }

// EvacuatedZones lists the evacuated zones.
func (a *Admitter) EvacuatedZones() []string {
	return slices.Sorted(maps.Keys(a.evacuations.zones))
}
