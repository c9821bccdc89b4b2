// Zones that this node cannot reach: their runners receive no requests as long as the service has
// reachable runners, and no blocks are fetched from them. When a zone is reachable again, its
// runners return with a slow start.

package admission

import "math"

// unreachableZones holds which zones are unreachable from this node, or were.
type unreachableZones struct {
	sinceUs          map[string]int64 // start of the unreachability, by unreachable zone
	reachableAgainUs map[string]int64 // time at which other zones became reachable again
}

// SetUnreachable sets the unreachable zones, with the time since when each is. When a zone becomes
// reachable again, the recorded failures of its runners are cleared, because the network may have
// caused them.
func (a *Admitter) SetUnreachable(zones map[string]int64, nowUs int64) {
	for zone := range a.unreachable.sinceUs {
		if _, stillUnreachable := zones[zone]; stillUnreachable {
			continue
		}
		if a.unreachable.reachableAgainUs == nil {
			a.unreachable.reachableAgainUs = map[string]int64{}
		}
		a.unreachable.reachableAgainUs[zone] = nowUs
		a.clearZoneFailures(zone)
	}
	a.unreachable.sinceUs = zones
}

// clearZoneFailures clears the outcomes, ejections and backoffs of the runners of a zone.
func (a *Admitter) clearZoneFailures(zone string) {
	for _, p := range a.pools {
		for _, r := range p.runners {
			if r.record.Zone == zone {
				r.health, r.backoffUs, r.avoidUntilUs = health{}, 0, 0
			}
		}
	}
}

// zoneUnreachable reports whether a zone is unreachable.
func (a *Admitter) zoneUnreachable(zone string) bool {
	_, ok := a.unreachable.sinceUs[zone]
	return ok
}

// InUnreachableZone reports whether the runner of an admission is in an unreachable zone.
func (a *Admitter) InUnreachableZone(adm *Admission) bool { return a.zoneUnreachable(adm.Runner.Zone) }

// MustLeaveUnreachableZone reports whether the runner of an admission is in an unreachable zone while the
// service has reachable runners.
func (a *Admitter) MustLeaveUnreachableZone(adm *Admission) bool {
	return a.InUnreachableZone(adm) && a.hasReachableRunners(a.pool(adm.service))
}

// hasReachableRunners reports whether zones are unreachable, and the service has runners outside
// them, so that those in unreachable zones need not be tried.
func (a *Admitter) hasReachableRunners(p *pool) bool {
	if len(a.unreachable.sinceUs) == 0 {
		return false
	}
	for _, id := range p.order {
		r := p.runners[id]
		if !r.record.Draining && !a.zoneUnreachable(r.record.Zone) && !a.ZoneEvacuated(r.record.Zone) {
			return true
		}
	}
	return false
}

// returnCostUs returns the placement cost of a runner whose zone has recently become reachable
// again. It decreases to 0 during the slow start, so that not all nodes send there at once.
func (a *Admitter) returnCostUs(zone string, nowUs int64) float64 {
	reachableAgainUs, ok := a.unreachable.reachableAgainUs[zone]
	if !ok {
		return 0
	}
	return maxSlowStartCostUs * math.Max(0, 1-float64(nowUs-reachableAgainUs)/slowStartUs)
}
