// Counts of what a transport has carried, by kind of message.

package transport

import (
	"sync/atomic"
	"time"

	"beechtide.org/beechtide/internal/histogram"
)

// KindTraffic is what was carried under one kind of message. Bytes sent are those of
// whole frames and datagrams, bytes received those of their bodies.
type KindTraffic struct {
	Kind             string
	SentMessages     int64
	SentBytes        int64
	ReceivedMessages int64
	ReceivedBytes    int64
}

// direction counts messages one way, by kind.
type direction struct{ messages, bytes [kindCount]atomic.Int64 }

func (d *direction) count(kind, bytes int) {
	if kind <= 0 || kind >= kindCount {
		return
	}
	d.messages[kind].Add(1)
	d.bytes[kind].Add(int64(bytes))
}

// traffic is what a transport has carried.
type traffic struct {
	sent, received direction
	// From when a frame was to be written to when the socket had taken it.
	bulkWrites, controlWrites histogram.Durations
	failedWrites              atomic.Int64
}

// written records a write to a connection.
func (t *traffic) written(kind, bytes int, took time.Duration) {
	t.sent.count(kind, bytes)
	if isBulk(kind) {
		t.bulkWrites.Observe(took)
		return
	}
	t.controlWrites.Observe(took)
}

// isBulk tells kinds that carry state, and may be large, from those that keep the
// system together and are small.
func isBulk(kind int) bool { return kind == KindFeed || kind == KindSince }

// Traffic returns what was carried so far, by kind.
func (t *Transport) Traffic() []KindTraffic {
	out := make([]KindTraffic, 0, kindCount-1)
	for kind := 1; kind < kindCount; kind++ {
		sent, received := &t.traffic.sent, &t.traffic.received
		out = append(out, KindTraffic{
			Kind:         kindName(kind),
			SentMessages: sent.messages[kind].Load(), SentBytes: sent.bytes[kind].Load(),
			ReceivedMessages: received.messages[kind].Load(), ReceivedBytes: received.bytes[kind].Load(),
		})
	}
	return out
}

// WriteDurations is how long writes to connections have taken, with the wait for writes
// before them: those of state, which may be large, and all others.
func (t *Transport) WriteDurations() (bulk, control *histogram.Durations) {
	return &t.traffic.bulkWrites, &t.traffic.controlWrites
}

// FailedWrites is how many writes have ended their connection.
func (t *Transport) FailedWrites() int64 { return t.traffic.failedWrites.Load() }
