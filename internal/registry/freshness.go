package registry

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// A controller that is partitioned from another one misses the heartbeats that arrive
// there. Before it marks a silent runner as stale it queries the controllers that it
// reaches for later heartbeats (SilentRunners, LaterHeartbeats, ApplyLaterHeartbeats).
// A response may contain heartbeats that the responder learned from a third controller,
// so freshness propagates along any chain of controllers.
//
// The responder measures an age on its own clock, and the querier subtracts it from the
// time at which the query was sent, so a heartbeat is never dated later than it was sent.
// The age of the last heartbeat of a runner that has ended therefore only grows, however
// often it is forwarded, and the exchange does not delay marking the runner as lost.

// maxSilentRunners bounds the runners in one query. If more runners are silent, those
// queried least recently come first.
const maxSilentRunners = 1024

// SilentRunners returns a query: the usable runners that are stale or have been silent
// here for longer than the query limit, each with its newest known heartbeat.
func (r *Registry) SilentRunners(nowUs int64, limits SilenceLimits) []messages.LastHeartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []*entry
	for _, e := range r.entries {
		if e.usable() && (e.record.Stale || nowUs-e.lastHeartbeatUs > limits.QueryUs) {
			silent = append(silent, e)
		}
	}
	slices.SortFunc(silent, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.lastQueriedUs, b.lastQueriedUs), cmp.Compare(a.record.ID, b.record.ID))
	})
	silent = silent[:min(len(silent), maxSilentRunners)]
	query := make([]messages.LastHeartbeat, 0, len(silent))
	for _, e := range silent {
		e.lastQueriedUs = nowUs
		query = append(query, e.lastHeartbeat(nowUs))
	}
	return query
}

// LaterHeartbeats returns the response to another controller's query: the runners of the
// query for which this registry has a later heartbeat.
func (r *Registry) LaterHeartbeats(query []messages.LastHeartbeat, nowUs int64) []messages.LastHeartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	var later []messages.LastHeartbeat
	for _, queried := range query {
		e := r.entries[queried.ID]
		if e != nil && e.usable() && e.lastSeq > queried.Seq {
			later = append(later, e.lastHeartbeat(nowUs))
		}
	}
	return later
}

// ApplyLaterHeartbeats applies the response to a query that was sent at sentUs. A later
// heartbeat ends staleness like one received directly; the runner's record is replicated
// separately. It returns the ids of the runners that are no longer stale.
func (r *Registry) ApplyLaterHeartbeats(response []messages.LastHeartbeat, sentUs, nowUs int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	observedUs := r.observed.advance(nowUs)
	var recovered []string
	for _, heartbeat := range response {
		e := r.entries[heartbeat.ID]
		if e == nil || !e.usable() || heartbeat.Seq <= e.lastSeq {
			continue
		}
		sentAtUs := sentUs - max(heartbeat.AgeUs, 0)
		e.lastSeq = heartbeat.Seq
		e.lastHeartbeatUs = max(e.lastHeartbeatUs, sentAtUs)
		// Observed time runs no faster than the clock, so this time is not too late either.
		e.lastObservedUs = max(e.lastObservedUs, observedUs-(nowUs-sentAtUs))
		r.newestObservedUs = max(r.newestObservedUs, e.lastObservedUs)
		if e.record.Stale {
			e.record.Stale = false
			recovered = append(recovered, heartbeat.ID)
		}
	}
	if len(recovered) > 0 {
		r.invalidateSnapshot()
	}
	return recovered
}

func (e *entry) lastHeartbeat(nowUs int64) messages.LastHeartbeat {
	return messages.LastHeartbeat{ID: e.record.ID, Seq: e.lastSeq, AgeUs: nowUs - e.lastHeartbeatUs}
}
