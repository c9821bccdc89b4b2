// Counts of subscriptions and of what was sent to subscribers, for the metrics.

package dissemination

import (
	"sync/atomic"

	"beechtide.org/beechtide/internal/messages"
)

// EndReason is why a subscription ended.
type EndReason int

// Reasons for the end of a subscription.
const (
	EndClosed  EndReason = iota // the connection has ended
	EndSilent                   // the parent sent nothing for too long
	EndCutOff                   // the parent said that the core is out of its reach
	EndMoved                    // another parent is wanted
	EndStopped                  // this node stops, or does not want the subscription any more
	endReasonCount
)

var endReasonNames = [endReasonCount]string{"closed", "silent", "cut_off", "moved", "stopped"}

// SubscriptionCounts counts the subscriptions of a node to its parents. It is safe for
// concurrent use, and the zero value is ready for use; a nil one counts nothing.
type SubscriptionCounts struct {
	begun atomic.Int64
	ended [endReasonCount]atomic.Int64
}

// begin records that a subscription was made.
func (c *SubscriptionCounts) begin() {
	if c != nil {
		c.begun.Add(1)
	}
}

// end records why a subscription ended and passes on what subscribe returns.
func (c *SubscriptionCounts) end(reason EndReason, stays bool) bool {
	if c != nil {
		c.ended[reason].Add(1)
	}
	return stays
}

// Begun is how many subscriptions were made.
func (c *SubscriptionCounts) Begun() int64 { return c.begun.Load() }

// Ended is how many ended, by the name of the reason.
func (c *SubscriptionCounts) Ended() map[string]int64 {
	out := map[string]int64{}
	for reason := range c.ended {
		out[endReasonNames[reason]] = c.ended[reason].Load()
	}
	return out
}

// answers counts what was sent to receivers that named what they have.
type answers struct {
	snapshots, snapshotBytes atomic.Int64
	deltas, deltaBytes       atomic.Int64
}

func (a *answers) count(f *messages.Feed, bytes int) {
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

// PublisherCounts is the state of a publisher at one moment, and what it has sent to
// receivers that named what they have.
type PublisherCounts struct {
	Subscribers  int
	QueuedBytes  int // of all subscribers
	LongestQueue int // in bytes, of one subscriber
	Dropped      int64

	Snapshots, SnapshotBytes int64 // answers with all of the configuration or of the runners
	Deltas, DeltaBytes       int64 // other answers
}

// Counts returns the state of the publisher.
func (p *Publisher) Counts() PublisherCounts {
	c := PublisherCounts{
		Dropped:   p.Dropped.Load(),
		Snapshots: p.answers.snapshots.Load(), SnapshotBytes: p.answers.snapshotBytes.Load(),
		Deltas: p.answers.deltas.Load(), DeltaBytes: p.answers.deltaBytes.Load(),
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
