// A session is a chain of requests of one tenant and model whose prompts share all parts
// but the last. When a zone is relinquished, its sessions leave it gradually over a
// duration set by the operator. Each session moves to a new zone, which all nodes compute
// identically, and stays there. No node stores state per session.

package admission

import (
	"beechtide.org/beechtide/internal/statesync"
)

// relinquishment is the time at which a zone began to give up its sessions, and the
// duration over which they leave, both in microseconds.
type relinquishment struct {
	sinceUs, durationUs int64
}

// SetRelinquished sets the zones that give up their sessions, with the duration in
// microseconds over which the sessions leave. A session does not return while its zone is
// in the set.
func (a *Admitter) SetRelinquished(zones map[string]int64, nowUs int64) {
	next := map[string]relinquishment{}
	for zone, durationUs := range zones {
		entry, known := a.relinquished[zone]
		if !known {
			entry.sinceUs = nowUs
		}
		entry.durationUs = durationUs
		next[zone] = entry
	}
	a.relinquished = next
}

// sessionHash returns the identity of a request's session: a hash of the tenant, the model
// and the last shared part.
func sessionHash(request Request) uint64 {
	hash := statesync.HashText(request.Tenant, request.Model)
	if n := len(request.Parts); n > 0 {
		hash = statesync.Mix(hash ^ statesync.HashText(request.Parts[max(n-2, 0)].ID, ""))
	}
	return hash
}

// SessionLeaves reports whether a request's session has left a zone or must leave it now.
func (a *Admitter) SessionLeaves(request Request, zone string, nowUs int64) bool {
	entry, ok := a.relinquished[zone]
	if !ok {
		return false
	}
	if entry.durationUs <= 0 {
		return true
	}
	// The hash of a session determines when it leaves, so that all nodes agree.
	return float64(sessionHash(request)>>11)/(1<<53) < float64(nowUs-entry.sinceUs)/float64(entry.durationUs)
}

// targetZone returns the zone that a session moves to, by rendezvous hashing: it is the same
// at all nodes, and relinquishing another zone does not change it. It is empty if no zone is
// available.
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

// TryAdmit admits a request if there is capacity for it now. Otherwise it returns nil and
// does not queue the request.
func (a *Admitter) TryAdmit(request Request, nowUs int64) *Admission {
	p := a.pool(request.Service)
	if p.memoryTokens > 0 && request.TokensIn+request.TokensOut > p.memoryTokens || !a.noneQueuedAhead(p, request.Rank) {
		return nil
	}
	return a.admit(request, p, a.tenant(request.Tenant, nowUs), nowUs)
}
