// Counts of subscriptions and of what was sent to subscribers, for the metrics.

package dissemination

import (
	"sync/atomic"

	"beechtide.org/beechtide/internal/messages"
)

// EndReason is the reason for which a subscription ended.
type EndReason int

// Reasons for the end of a subscription.
const (
	EndClosed  EndReason = iota // the connection has ended
	EndSilent                   // the parent sent nothing for longer than silenceTimeout
	EndCutOff                   // the parent reported that it cannot reach the core
	EndMoved                    // another parent is preferred now
	EndStopped                  // this node stops, or cancelled the subscription
	endReasonCount
)

var endReasonNames = [endReasonCount]string{"closed", "silent", "cut_off", "moved", "stopped"}

// SubscriptionCounts counts the subscriptions of a node to its parents. It is safe for
// concurrent use, and the zero value is ready for use; methods that record are no-ops on nil.
type SubscriptionCounts struct {
	begun atomic.Int64
	ended [endReasonCount]atomic.Int64
}

// begin records that a subscription was established.
func (c *SubscriptionCounts) begin() {
	if c != nil {
		c.begun.Add(1)
	}
}

// end records why a subscription ended and returns its second argument, the result of subscribe.
func (c *SubscriptionCounts) end(reason EndReason, result bool) bool {
	if c != nil {
		c.ended[reason].Add(1)
	}
	return result
}

// Begun returns the number of subscriptions established.
func (c *SubscriptionCounts) Begun() int64 { return c.begun.Load() }

// Ended returns the number of subscriptions that ended, by the name of the reason.
func (c *SubscriptionCounts) Ended() map[string]int64 {
	out := map[string]int64{}
	for reason := range c.ended {
		out[endReasonNames[reason]] = c.ended[reason].Load()
	}
	return out
}

// answerCounts counts the answers to receivers that sent their SyncState.
type answerCounts struct {
	snapshots, snapshotBytes atomic.Int64
	deltas, deltaBytes       atomic.Int64
}

func (a *answerCounts) count(f *messages.Feed, bytes int) {
	if hasSnapshot(f.Configuration) || hasSnapshot(f.Registry) {
		a.snapshots.Add(1)
		a.snapshotBytes.Add(int64(bytes))
		return
	}
	a.deltas.Add(1)
	a.deltaBytes.Add(int64(bytes))
}

func hasSnapshot(changes []messages.EntryChange) bool {
	for i := range changes {
		if changes[i].Snapshot {
			return true
		}
	}
	return false
}

// PublisherCounts is a snapshot of a publisher's queues and of its counters of answers to
// receivers that sent their SyncState.
type PublisherCounts struct {
	Subscribers   int
	QueuedBytes   int // of all subscribers
	LongestQueue  int // in bytes, of one subscriber
	DroppedQueues int64

	Snapshots, SnapshotBytes int64 // answers with the whole configuration or all runners
	Deltas, DeltaBytes       int64 // other answers
}

// Counts returns the current queue sizes and counters.
func (p *Publisher) Counts() PublisherCounts {
	c := PublisherCounts{
		DroppedQueues: p.DroppedQueues.Load(),
		Snapshots:     p.answerCounts.snapshots.Load(), SnapshotBytes: p.answerCounts.snapshotBytes.Load(),
		Deltas: p.answerCounts.deltas.Load(), DeltaBytes: p.answerCounts.deltaBytes.Load(),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Subscribers = len(p.queues)
	for _, s := range p.queues {
		s.mu.Lock()
		queued := len(s.queued)
		s.mu.Unlock()
		c.QueuedBytes += queued
		c.LongestQueue = max(c.LongestQueue, queued)
	}
	return c
}
