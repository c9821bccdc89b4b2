package metrics

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"beechtide.org/beechtide/internal/dissemination"
	"beechtide.org/beechtide/internal/histogram"
	"beechtide.org/beechtide/internal/invariant"
	"beechtide.org/beechtide/internal/transport"
)

// Node returns the collectors that every node has: those of its transport, subscribers and
// subscriptions, and of violations of invariants.
func Node(t *transport.Transport, p *dissemination.Publisher, counts *dissemination.SubscriptionCounts) []prometheus.Collector {
	return slices.Concat(Transport(t), Publisher(p), Subscriptions(counts), []prometheus.Collector{Invariants()})
}

// Transport returns the collectors of a node's transport: messages and bytes by kind, the
// duration of writes, and failed writes.
func Transport(t *transport.Transport) []prometheus.Collector {
	byKind := func(sent, received func(transport.KindTraffic) int64) func(Emit) {
		return func(emit Emit) {
			for _, kind := range t.Traffic() {
				emit(float64(sent(kind)), kind.Kind, "sent")
				emit(float64(received(kind)), kind.Kind, "received")
			}
		}
	}
	labels := []string{"kind", "direction"}
	bulk, control := t.WriteDurations()
	return []prometheus.Collector{
		Counter("beechtide_node_messages_total", "Messages between nodes.", labels, byKind(
			func(k transport.KindTraffic) int64 { return k.SentMessages },
			func(k transport.KindTraffic) int64 { return k.ReceivedMessages },
		)),
		Counter("beechtide_node_bytes_total", "Bytes between nodes.", labels, byKind(
			func(k transport.KindTraffic) int64 { return k.SentBytes },
			func(k transport.KindTraffic) int64 { return k.ReceivedBytes },
		)),
		DurationsBy(
			"beechtide_node_write_seconds", "Time from when a frame was to be written to when the socket had taken it.", "class",
			map[string]*histogram.Durations{"bulk": bulk, "control": control},
		),
		Counter("beechtide_node_failed_writes_total", "Writes that ended their connection.", nil, func(emit Emit) {
			emit(float64(t.FailedWrites()))
		}),
	}
}

// Publisher returns the collectors of a node's subscribers.
func Publisher(p *dissemination.Publisher) []prometheus.Collector {
	return []prometheus.Collector{
		Gauge("beechtide_subscribers", "Nodes that are subscribed here.", nil, func(emit Emit) {
			emit(float64(p.Counts().Subscribers))
		}),
		Gauge("beechtide_subscriber_backlog_bytes", "Bytes that wait for subscribers, of all and of the one with the most.", []string{"of"}, func(emit Emit) {
			counts := p.Counts()
			emit(float64(counts.QueuedBytes), "all")
			emit(float64(counts.LongestQueue), "longest")
		}),
		Counter("beechtide_subscriber_backlogs_dropped_total", "Backlogs that grew past their bound and were dropped.", nil, func(emit Emit) {
			emit(float64(p.Counts().DroppedQueues))
		}),
		Counter("beechtide_catch_ups_total", "Answers to receivers that named what they have, with a snapshot or with deltas only.", []string{"content"}, func(emit Emit) {
			counts := p.Counts()
			emit(float64(counts.Snapshots), "snapshot")
			emit(float64(counts.Deltas), "delta")
		}),
		Counter("beechtide_catch_up_bytes_total", "Bytes of these answers.", []string{"content"}, func(emit Emit) {
			counts := p.Counts()
			emit(float64(counts.SnapshotBytes), "snapshot")
			emit(float64(counts.DeltaBytes), "delta")
		}),
	}
}

// Subscriptions returns the collectors of a node's subscriptions to its parents.
func Subscriptions(counts *dissemination.SubscriptionCounts) []prometheus.Collector {
	return []prometheus.Collector{
		Counter("beechtide_subscriptions_begun_total", "Subscriptions to parents that were made.", nil, func(emit Emit) {
			emit(float64(counts.Begun()))
		}),
		Counter("beechtide_subscriptions_ended_total", "Subscriptions to parents that ended, by reason.", []string{"reason"}, func(emit Emit) {
			for reason, ended := range counts.Ended() {
				emit(float64(ended), reason)
			}
		}),
	}
}

// Invariants returns the collector of violations of invariants in the process.
func Invariants() prometheus.Collector {
	return Counter("beechtide_invariant_violations_total", "Violations of invariants of the program.", []string{"name"}, func(emit Emit) {
		for _, count := range invariant.Counts() {
			emit(float64(count.Violations), count.Name)
		}
	})
}
