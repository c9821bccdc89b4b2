// A session is the chain of requests of one tenant and model that share the blocks of
// their prompts up to the last. The sessions of a zone that is relinquished leave it
// one after the other, over a time that the operator gives; each goes to a new home
// zone that all nodes compute alike, and stays there. No node keeps an entry for a
// session.

package admission

import (
	"beechtide.org/beechtide/internal/statesync"
)

type relinquishment struct {
	sinceUs, durationUs int64
}

// SetRelinquished sets the zones that give up their sessions, and over how many
// microseconds. A session does not return while its zone is named.
func (a *Admitter) SetRelinquished(zones map[string]int64, nowUs int64) {
	next := map[string]relinquishment{}
	for zone, overUs := range zones {
		entry, known := a.relinquished[zone]
		if !known {
			entry.sinceUs = nowUs
		}
		entry.durationUs = overUs
		next[zone] = entry
	}
	a.relinquished = next
}

// sessionHash names the session that a request belongs to.
func sessionHash(request Request) uint64 {
	hash := statesync.HashText(request.Tenant, request.Model)
	if n := len(request.Parts); n > 0 {
		hash = statesync.Mix(hash ^ statesync.HashText(request.Parts[max(n-2, 0)].ID, ""))
	}
	return hash
}

// Leaves reports whether a request's session has left a zone, or is to leave it now.
func (a *Admitter) Leaves(request Request, zone string, nowUs int64) bool {
	entry, ok := a.relinquished[zone]
	if !ok {
		return false
	}
	if entry.durationUs <= 0 {
		return true
	}
	// the hash of a session sets when it leaves, at the same time at every node
	return float64(sessionHash(request)>>11)/(1<<53) < float64(nowUs-entry.sinceUs)/float64(entry.durationUs)
}

// targetZone returns the zone that a session moves to, by rendezvous hashing: the same at all
// nodes, and not affected by changes of other zones.
func (a *Admitter) targetZone(request Request, p *pool) string {
	session, zone, topScore := sessionHash(request), "", uint64(0)
	for _, id := range p.order {
		n := &p.runners[id].record
		if _, left := a.relinquished[n.Zone]; left || n.Draining || n.Stale {
			continue
		}
		if score := statesync.Mix(session ^ statesync.HashText(n.Zone, "")); zone == "" || score > topScore {
			zone, topScore = n.Zone, score
		}
	}
	return zone
}

// TryNow admits a request if there is capacity for it now; otherwise it returns nil and
// does not queue it.
func (a *Admitter) TryNow(request Request, nowUs int64) *Admission {
	p := a.pool(request.Service)
	if p.memoryTokens > 0 && request.TokensIn+request.TokensOut > p.memoryTokens || !a.noneQueuedAhead(p, request.Rank) {
		return nil
	}
	return a.admit(request, p, a.tenant(request.Tenant, nowUs), nowUs)
}
