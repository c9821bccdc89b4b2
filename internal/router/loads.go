// Loads: the requests that this node and those below it have in flight at the runners are reported
// up the tree as deltas; the sum over all nodes is sent down. The parent acknowledges which of
// the reports the sum includes, so that a node can subtract its own load exactly.

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
	// minReportPause is the minimum time between two reports.
	minReportPause = 2 * time.Millisecond
	// reportDelay is the minimum time for which changes that are not urgent are batched. The time
	// grows with the number of routers, as each report is sent up the tree.
	reportDelay          = 50 * time.Millisecond
	reportDelayPerRouter = 640 * time.Microsecond // per router
	maxReportDelay       = 200 * time.Millisecond
	// reportInterval is the interval at which loads are checked without a change: the flow of
	// prompts decays over time, and nodes join and leave.
	reportInterval = 500 * time.Millisecond

	// maxUnacknowledged bounds the reports that are stored until the parent
	// acknowledges one.
	maxUnacknowledged = 32

	// ownSender identifies the node's own loads in the sum of its subtree.
	ownSender = "itself"
)

// sentReport holds the node's own loads as sent in a report.
type sentReport struct {
	seq int64
	own map[string]messages.RunnerLoad
}

// loads holds the loads of this node, of its subtree and of all nodes. It is safe for
// concurrent use.
type loads struct {
	mu             sync.Mutex // guards the fields below
	own            *statesync.Loads
	subtree        *statesync.LoadSum // of this node and those below it
	total          *statesync.Loads
	pending        []messages.CachedPrefixes // prefixes that will be cached, for the next report
	absent         []string                  // runners that were not at their address, for the next report
	seq            int64
	sendAll        bool // the next report contains all loads instead of the changes
	unacknowledged []sentReport
	acknowledged   map[string]messages.RunnerLoad // this node's own loads as included in total

	changed    map[string]bool // runners whose load from other nodes has changed
	allChanged bool            // the load from other nodes may have changed at any runner
}

func (l *loads) init(epoch int64) {
	l.own, l.total = statesync.NewLoads(), statesync.NewLoads()
	l.own.Begin(epoch, 0)
	l.subtree = statesync.NewLoadSum(epoch)
	l.sendAll, l.allChanged, l.changed = true, true, map[string]bool{}
}

// cursor returns the position of this node's replica of the total.
func (l *loads) cursor() messages.Cursor {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, version := l.total.Cursor()
	return messages.Cursor{Epoch: epoch, Version: version}
}

// deltaSince returns the change of the total that a receiver needs; false if it is up to date.
func (l *loads) deltaSince(cursor messages.Cursor) (messages.LoadChange, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change, lacks := l.total.DeltaSince(cursor.Epoch, cursor.Version)
	return statesync.EncodeLoads(change), lacks
}

// apply applies a change of the total.
func (l *loads) apply(change messages.LoadChange) statesync.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := l.total.Apply(statesync.DecodeLoads(change))
	if result == statesync.Applied {
		l.allChanged = l.allChanged || change.Snapshot
		for i := range change.Loads {
			l.changed[change.Loads[i].ID] = true
		}
	}
	return result
}

// acknowledge records that the total includes the report with the given number.
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

func (l *loads) markChanged(byRunner map[string]messages.RunnerLoad) {
	for id := range byRunner {
		l.changed[id] = true
	}
}

// peerLoad returns the load of the other nodes at a runner.
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

// updateAdmission updates the admission control with the changed loads of the other nodes.
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

// markAllChanged makes the next updateAdmission cover all runners.
func (l *loads) markAllChanged() {
	l.mu.Lock()
	l.allChanged = true
	l.mu.Unlock()
}

// nextReport builds the next report to the parent; false if there is nothing to report.
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

// resendLoads makes the next report contain all loads, for a parent that lacks earlier reports.
func (r *Router) resendLoads() {
	r.loads.mu.Lock()
	r.loads.sendAll, r.loads.unacknowledged, r.loads.acknowledged, r.loads.allChanged = true, nil, nil, true
	r.loads.mu.Unlock()
	signal(r.loadsChanged)
}

// applyReport applies the report of a node below; false requests all of its loads.
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

// removeSender removes the loads of a node below that has unsubscribed.
func (r *Router) removeSender(from string) {
	r.loads.mu.Lock()
	r.loads.subtree.Remove(from)
	r.loads.mu.Unlock()
}

// startupUs is the time after its start during which a router may not have learned of the others.
const startupUs = 3_000_000

// fleetSize estimates how many routers share the runners. A router that has just started and has
// seen no other one assumes that there is another: as the only one it would compare all runners,
// and hundreds that start at once would send all of their first requests to the same runners.
func fleetSize(alive int, uptimeUs int64) int {
	if uptimeUs < startupUs {
		return max(alive, 2)
	}
	return max(alive, 1)
}

// sendReport sends one report to the parent if there is something to report.
func (r *Router) sendReport() {
	r.nodes.Store(int64(fleetSize(len(r.monitor.Alive(messages.Router)), r.clock()-r.startUs)))
	r.admissionMu.Lock()
	r.admission.SetNodes(int(r.nodes.Load()))
	own, pending, absent := r.admission.OwnLoads(r.clock()), r.admission.TakeExpectedPrefixes(), r.admission.TakeConfirmedAbsent()
	r.admissionMu.Unlock()
	if report, due := r.loads.nextReport(own, pending, absent); due && !r.subscriber.Send(transport.KindLoadReport, &report) {
		r.resendLoads()
	}
}

// reportBatchDelay returns the time for which changes are batched in a fleet of the current size.
func (r *Router) reportBatchDelay() time.Duration {
	return min(max(time.Duration(r.nodes.Load())*reportDelayPerRouter, reportDelay), maxReportDelay)
}

// reportLoads sends reports to the parent: at once after a request with prefixes that others may
// share has been sent to a runner, and after reportBatchDelay for any other change.
func (r *Router) reportLoads(ctx context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		r.sendReport()
		select {
		case <-r.prefixesPending:
		case <-t.C:
		case <-r.loadsChanged:
			select {
			case <-r.prefixesPending:
			case <-time.After(r.reportBatchDelay()):
			case <-ctx.Done():
				return
			}
		case <-ctx.Done():
			return
		}
		loop.Pause(ctx, minReportPause)
	}
}
