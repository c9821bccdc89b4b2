// Zones that this node cannot reach: their runners get nothing as long as a service has others,
// nothing is fetched from them, and when the way is back they return by a slow start.

package admission

import "math"

// unreachableZones is what this node knows of the ways to zones.
type unreachableZones struct {
	unreachableSinceUs map[string]int64 // unreachable ones, and since when
	reachableAgainUs   map[string]int64 // when others were reachable again
}

// SetUnreachable sets which zones are unreachable, and since when. What was concluded from
// failures of runners there says nothing of the runners.
func (a *Admitter) SetUnreachable(zones map[string]int64, nowUs int64) {
	for zone := range a.unreachable.unreachableSinceUs {
		if _, stillUnreachable := zones[zone]; stillUnreachable {
			continue
		}
		if a.unreachable.reachableAgainUs == nil {
			a.unreachable.reachableAgainUs = map[string]int64{}
		}
		a.unreachable.reachableAgainUs[zone] = nowUs
		a.clearZoneFailures(zone)
	}
	a.unreachable.unreachableSinceUs = zones
}

// clearZoneFailures forgets failures of the runners of a zone.
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
	_, ok := a.unreachable.unreachableSinceUs[zone]
	return ok
}

// OutOfReach reports whether the runner of an admission is in an unreachable zone.
func (a *Admitter) OutOfReach(adm *Admission) bool { return a.zoneUnreachable(adm.Runner.Zone) }

// LeavesUnreachable reports whether an admission's runner is in a zone out of reach, and others of
// the service are not.
func (a *Admitter) LeavesUnreachable(adm *Admission) bool {
	return a.OutOfReach(adm) && a.hasReachableRunners(a.pool(adm.service))
}

// hasReachableRunners reports whether a service has runners in zones that can be reached, so that
// those in others need not be tried.
func (a *Admitter) hasReachableRunners(p *pool) bool {
	if len(a.unreachable.unreachableSinceUs) == 0 {
		return false
	}
	for _, id := range p.order {
		r := p.runners[id]
		if !r.record.Draining && !a.zoneUnreachable(r.record.Zone) && !a.Evacuated(r.record.Zone) {
			return true
		}
	}
	return false
}

// returnCostUs is the cost in the matching of a runner whose zone has just become reachable
// again, so that not all nodes send there at once.
func (a *Admitter) returnCostUs(zone string, nowUs int64) float64 {
	reachableAgainUs, ok := a.unreachable.reachableAgainUs[zone]
	if !ok {
		return 0
	}
	return maxSlowStartCostUs * math.Max(0, 1-float64(nowUs-reachableAgainUs)/slowStartUs)
}
