// Loads: what this node and those below it have in flight at the runners goes up the
// tree as deltas; the sum over all nodes comes down. The parent acknowledges which of
// the reports the sum holds, so that a node can subtract its own exactly.

package router

import (
	"context"
	"maps"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
	"beechtide.org/beechtide/internal/transport"
)

const (
	// minReportPause is the least time between two reports.
	minReportPause = 2 * time.Millisecond
	// reportDelay is how long a change waits for others that is not urgent; the time grows with the
	// number of routers, as each report goes up the tree.
	reportDelay    = 50 * time.Millisecond
	reportPart     = 640 * time.Microsecond // a router
	maxReportDelay = 200 * time.Millisecond
	// reportInterval is how often loads are looked at without a change: the flow of
	// prompts decays by itself, and nodes come and go.
	reportInterval = 500 * time.Millisecond

	// maxUnacknowledged bounds the reports that are remembered until the parent
	// acknowledges one.
	maxUnacknowledged = 32

	// ownSender is the name of the node's own loads in the sum of its subtree.
	ownSender = "itself"
)

// sentReport is the node's own loads as a report had them.
type sentReport struct {
	seq int64
	own map[string]messages.RunnerLoad
}

// loads are the loads of this node, of its subtree and of all nodes. It is safe for
// concurrent use.
type loads struct {
	mu             sync.Mutex // guards all below
	own            *statesync.Loads
	subtree        *statesync.LoadSum // this node's and those below it
	total          *statesync.Loads
	pending        []messages.CachedPrefixes // prefixes that will be cached, for the next report
	absent         []string                  // runners that were not at their address
	seq            int64
	sendAll        bool // the next report has all loads, not the changes
	unacknowledged []sentReport
	acknowledged   map[string]messages.RunnerLoad // of this node's own, what the total holds

	changed    map[string]bool // runners of which the load of the other nodes has changed
	allChanged bool            // that of any runner may have
}

func (l *loads) init(epoch int64) {
	l.own, l.total = statesync.NewLoads(), statesync.NewLoads()
	l.own.Begin(epoch, 0)
	l.subtree = statesync.NewLoadSum(epoch)
	l.sendAll, l.allChanged, l.changed = true, true, map[string]bool{}
}

// cursor is the state of the total that this node holds.
func (l *loads) cursor() messages.Cursor {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, version := l.total.Cursor()
	return messages.Cursor{Epoch: epoch, Version: version}
}

// deltaSince returns the change of the total that a receiver needs; false where it is up
// to date.
func (l *loads) deltaSince(h messages.Cursor) (messages.LoadChange, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, lacks := l.total.DeltaSince(h.Epoch, h.Version)
	return statesync.EncodeLoads(c), lacks
}

// apply applies a change of the total.
func (l *loads) apply(c messages.LoadChange) statesync.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.total.Apply(statesync.DecodeLoads(c))
	if r == statesync.Applied {
		l.allChanged = l.allChanged || c.Snapshot
		for i := range c.Loads {
			l.changed[c.Loads[i].ID] = true
		}
	}
	return r
}

// acknowledge notes that the total holds the report with the given number.
func (l *loads) acknowledge(seq int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.unacknowledged) > 0 && l.unacknowledged[0].seq <= seq {
		l.markChanged(l.acknowledged)
		l.acknowledged = l.unacknowledged[0].own
		l.markChanged(l.acknowledged)
		l.unacknowledged = l.unacknowledged[1:]
	}
}

func (l *loads) markChanged(at map[string]messages.RunnerLoad) {
	for id := range at {
		l.changed[id] = true
	}
}

// peerLoad is what the other nodes have at a runner.
func (l *loads) peerLoad(id string) messages.RunnerLoad {
	load, _ := l.total.Get(id)
	own := l.acknowledged[id]
	load.Blocks -= own.Blocks
	load.Prefill -= own.Prefill
	load.Count -= own.Count
	load.Flow -= own.Flow
	load.Tried -= own.Tried
	load.Failed -= own.Failed
	return load
}

// updateAdmission brings the admission control up to date with the loads of the others.
func (l *loads) updateAdmission(a *admission.Admitter, nowUs int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allChanged {
		a.SetPeerLoads(l.peerLoad, nowUs)
	} else {
		for id := range l.changed {
			a.SetPeerLoad(id, l.peerLoad(id))
		}
		a.PeerLoadsUpdated(nowUs)
	}
	l.allChanged = false
	clear(l.changed)
}

// markAllChanged makes the next updateAdmission one of all runners.
func (l *loads) markAllChanged() {
	l.mu.Lock()
	l.allChanged = true
	l.mu.Unlock()
}

// nextReport makes the report that is to go up; false where there is nothing to report.
func (l *loads) nextReport(own map[string]messages.RunnerLoad, pending []messages.CachedPrefixes, absent []string) (messages.LoadReport, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own.Replace(own)
	if l.own.Dirty() {
		l.own.Commit(l.own.Version + 1)
		l.subtree.SyncFrom(ownSender, l.own)
	}
	total := l.subtree.Total
	report := messages.LoadReport{PendingBlocks: append(l.pending, pending...), Absent: append(l.absent, absent...)}
	if !l.sendAll && !total.Dirty() && len(report.PendingBlocks)+len(report.Absent) == 0 {
		return report, false
	}
	l.pending, l.absent = nil, nil
	l.seq++
	report.Seq = l.seq
	change := total.Commit(total.Version + 1)
	if l.sendAll {
		change, _ = total.DeltaSince(0, 0)
	}
	report.Loads = append(report.Loads, statesync.EncodeLoads(change))
	l.sendAll = false
	if len(l.unacknowledged) >= maxUnacknowledged {
		l.unacknowledged = l.unacknowledged[1:]
	}
	l.unacknowledged = append(l.unacknowledged, sentReport{l.seq, maps.Clone(own)})
	return report, true
}

// resendLoads makes the next report one of all loads, for a parent that lacks earlier ones.
func (r *Router) resendLoads() {
	r.loads.mu.Lock()
	r.loads.sendAll, r.loads.unacknowledged, r.loads.acknowledged, r.loads.allChanged = true, nil, nil, true
	r.loads.mu.Unlock()
	signal(r.loadsChanged)
}

// applyReport takes the report of a node below; false asks it for all of its loads.
func (r *Router) applyReport(from string, report messages.LoadReport) bool {
	l := &r.loads
	l.mu.Lock()
	ok := true
	for _, change := range report.Loads {
		result := l.subtree.Apply(from, change)
		ok = ok && (result == statesync.Applied || result == statesync.AlreadyApplied)
	}
	l.pending, l.absent = append(l.pending, report.PendingBlocks...), append(l.absent, report.Absent...)
	l.mu.Unlock()
	if len(report.PendingBlocks) > 0 {
		r.admissionMu.Lock()
		r.admission.ExpectPrefixes(report.PendingBlocks)
		r.admissionMu.Unlock()
		signal(r.prefixesPending)
	}
	signal(r.loadsChanged)
	return ok
}

// removeSender drops the loads of a node below that has unsubscribed.
func (r *Router) removeSender(from string) {
	r.loads.mu.Lock()
	r.loads.subtree.Remove(from)
	r.loads.mu.Unlock()
}

// joiningUs is for how long after its start a router may not have heard of the others yet.
const joiningUs = 3_000_000

// fleetSize is how many routers share the runners, as far as this one knows. One that has just
// started and knows no other does not take itself for the only one: it would compare all runners,
// and hundreds that start at once would send all of their first requests to the same ones.
func fleetSize(alive int, uptimeUs int64) int {
	if uptimeUs < joiningUs {
		return max(alive, 2)
	}
	return max(alive, 1)
}

// report sends one report up the tree, if there is something to report.
func (r *Router) report() {
	r.nodes.Store(int64(fleetSize(len(r.monitor.Alive(messages.Router)), r.clock()-r.startUs)))
	r.admissionMu.Lock()
	r.admission.SetNodes(int(r.nodes.Load()))
	own, pending, absent := r.admission.OwnLoads(r.clock()), r.admission.TakeExpectedPrefixes(), r.admission.TakeConfirmedAbsent()
	r.admissionMu.Unlock()
	if report, some := r.loads.nextReport(own, pending, absent); some && !r.up.Send(transport.KindLoadReport, &report) {
		r.resendLoads()
	}
}

// reportPause is how long a change waits for others in a fleet of the present size.
func (r *Router) reportPause() time.Duration {
	return min(max(time.Duration(r.nodes.Load())*reportPart, reportDelay), maxReportDelay)
}

// reportLoads sends reports up the tree: at once when a runner has been sent shared
// parts to read, a little later after any other change.
func (r *Router) reportLoads(ctx context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		r.report()
		select {
		case <-r.prefixesPending:
		case <-t.C:
		case <-r.loadsChanged:
			select {
			case <-r.prefixesPending:
			case <-time.After(r.reportPause()):
			case <-ctx.Done():
				return
			}
		case <-ctx.Done():
			return
		}
		loop.Pause(ctx, minReportPause)
	}
}
