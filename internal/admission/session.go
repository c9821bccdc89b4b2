// A session is the chain of requests of one tenant and model that share their
// prompt parts up to the last. A site that relinquishes its sessions is left by
// them one after the other, over a time that the operator gives; each goes to a
// home that all nodes work out alike, and stays there. There is no entry a
// session anywhere.
package admission

import (
	"beechtide.org/beechtide/internal/statesync"
)

type relinquished struct {
	sinceUs, overUs int64
}

// SetRelinquished tells which sites give up their sessions, and over how long
// each. What has been left stays left for as long as the site is named.
func (d *Doorman) SetRelinquished(sites map[string]int64, nowUs int64) {
	next := map[string]relinquished{}
	for site, overUs := range sites {
		x, known := d.left[site]
		if !known {
			x.sinceUs = nowUs
		}
		x.overUs = overUs
		next[site] = x
	}
	d.left = next
}

// Session names the session that a request belongs to.
func Session(a Ask) uint64 {
	h := statesync.HashText(a.Tenant, a.Model)
	if n := len(a.Parts); n > 0 {
		h = statesync.Mix(h ^ statesync.HashText(a.Parts[max(n-2, 0)].ID, ""))
	}
	return h
}

// Leaves tells whether a request's session has left a site, or is to leave it
// now.
func (d *Doorman) Leaves(a Ask, site string, nowUs int64) bool {
	x, ok := d.left[site]
	if !ok {
		return false
	}
	if x.overUs <= 0 {
		return true
	}
	// its turn comes by its hash, at the same time at every node
	return float64(Session(a)>>11)/(1<<53) < float64(nowUs-x.sinceUs)/float64(x.overUs)
}

// home is the site that a session goes to: the same for all nodes, and the same
// again whatever becomes of the other sites.
func (d *Doorman) home(a Ask, p *pool) string {
	session, best, top := Session(a), "", uint64(0)
	for _, id := range p.order {
		n := &p.runners[id].note
		if _, left := d.left[n.Site]; left || n.Draining || n.Stale {
			continue
		}
		if v := statesync.Mix(session ^ statesync.HashText(n.Site, "")); best == "" || v > top {
			best, top = n.Site, v
		}
	}
	return best
}

// TryNow admits a request if there is a place for it at this moment, and does
// not let it wait.
func (d *Doorman) TryNow(a Ask, nowUs int64) *Admission {
	p := d.pool(a.Service)
	if p.tokens > 0 && a.TokensIn+a.TokensOut > p.tokens || !d.nothingAhead(p, a.Rank) {
		return nil
	}
	return d.admit(a, p, d.tenant(a.Tenant, nowUs), nowUs)
}
