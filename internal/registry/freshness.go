package registry

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// A controller that is cut off from another one misses the heartbeats that
// arrive there. Before it concludes anything from a runner's silence it asks the
// controllers that it reaches for later heartbeats (SilentRunners,
// LaterHeartbeats, ApplyLaterHeartbeats). What they answer may itself come from a
// third one, so freshness passes along any chain of controllers.
//
// An age is measured by the clock of the node that answers and counted back from
// the moment of the question: the heartbeat is never taken for later than it was.
// So ages of a runner that has ended only grow, however often they are passed on,
// and it is lost as soon as without the exchange.

// maxSilentRunners bounds one question. Where more runners are silent, those
// asked about least recently come first.
const maxSilentRunners = 1024

// SilentRunners lists the usable runners that have been silent here for long
// enough to ask about, and those that are stale, with the newest heartbeat known
// of each.
func (r *Registry) SilentRunners(nowUs int64, after Silence) []messages.LastHeartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []*entry
	for _, e := range r.entries {
		if e.usable() && (e.record.Stale || nowUs-e.lastHeartbeatUs > after.AskUs) {
			silent = append(silent, e)
		}
	}
	slices.SortFunc(silent, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.lastAskedUs, b.lastAskedUs), cmp.Compare(a.record.ID, b.record.ID))
	})
	silent = silent[:min(len(silent), maxSilentRunners)]
	question := make([]messages.LastHeartbeat, 0, len(silent))
	for _, e := range silent {
		e.lastAskedUs = nowUs
		question = append(question, e.lastHeartbeat(nowUs))
	}
	return question
}

// LaterHeartbeats answers another controller's question: of the runners that it
// names, those of which a later heartbeat is known here.
func (r *Registry) LaterHeartbeats(question []messages.LastHeartbeat, nowUs int64) []messages.LastHeartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	var later []messages.LastHeartbeat
	for _, asked := range question {
		e := r.entries[asked.ID]
		if e != nil && e.usable() && e.lastSeq > asked.Seq {
			later = append(later, e.lastHeartbeat(nowUs))
		}
	}
	return later
}

// ApplyLaterHeartbeats takes the answer to a question that was sent at sentUs. A
// later heartbeat ends staleness as one that came directly does; the runner's record is
// replicated separately. It returns the ids of runners whose staleness
// ended.
func (r *Registry) ApplyLaterHeartbeats(answer []messages.LastHeartbeat, sentUs, nowUs int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	observedUs := r.observed.advance(nowUs)
	var changed []string
	for _, heartbeat := range answer {
		e := r.entries[heartbeat.ID]
		if e == nil || !e.usable() || heartbeat.Seq <= e.lastSeq {
			continue
		}
		sentAtUs := sentUs - max(heartbeat.AgeUs, 0)
		e.lastSeq = heartbeat.Seq
		e.lastHeartbeatUs = max(e.lastHeartbeatUs, sentAtUs)
		// Observed time runs no faster than the clock, so this is not too late either.
		e.lastObservedUs = max(e.lastObservedUs, observedUs-(nowUs-sentAtUs))
		r.newestObservedUs = max(r.newestObservedUs, e.lastObservedUs)
		if e.record.Stale {
			e.record.Stale = false
			changed = append(changed, heartbeat.ID)
		}
	}
	if len(changed) > 0 {
		r.invalidateSnapshot()
	}
	return changed
}

func (e *entry) lastHeartbeat(nowUs int64) messages.LastHeartbeat {
	return messages.LastHeartbeat{ID: e.record.ID, Seq: e.lastSeq, AgeUs: nowUs - e.lastHeartbeatUs}
}
