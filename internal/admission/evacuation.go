// Evacuated zones: their runners receive no requests. When the evacuation of a zone ends, its
// runners are treated as cold, because they may have become cold since their last heartbeat.

package admission

import (
	"maps"
	"slices"
)

// evacuationState holds the evacuated zones.
type evacuationState struct {
	zones map[string]bool
	// returnWarmupUs is how long the runners of a zone are treated as cold after the end of its
	// evacuation, in microseconds, unless their heartbeats report a longer time.
	returnWarmupUs int64
}

// SetReturnWarmup sets how long the runners of a zone are treated as cold after the end of its
// evacuation.
func (a *Admitter) SetReturnWarmup(forUs int64) { a.evacuations.returnWarmupUs = forUs }

// SetEvacuated sets the evacuated zones. The runners of zones that are no longer in the set are
// treated as cold for a while.
func (a *Admitter) SetEvacuated(zones map[string]bool, nowUs int64) {
	for zone := range a.evacuations.zones {
		if !zones[zone] {
			a.restartWarmups(zone, a.evacuations.returnWarmupUs, nowUs)
		}
	}
	a.evacuations.zones = maps.Clone(zones)
}

// ZoneEvacuated reports whether a zone is evacuated, so that its runners receive no requests.
func (a *Admitter) ZoneEvacuated(zone string) bool { return a.evacuations.zones[zone] }

// EvacuatedZones returns the evacuated zones, sorted.
func (a *Admitter) EvacuatedZones() []string {
	return slices.Sorted(maps.Keys(a.evacuations.zones))
}
