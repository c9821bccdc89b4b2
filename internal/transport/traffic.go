// This file counts the messages and bytes that a transport has sent and received.

package transport

import (
	"sync/atomic"
	"time"

	"beechtide.org/beechtide/internal/histogram"
)

// KindTraffic holds the traffic counts of one kind of message. SentBytes counts complete
// frames and datagrams as sent; ReceivedBytes counts the bodies of frames, after
// decompression, and complete datagrams.
type KindTraffic struct {
	Kind             string
	SentMessages     int64
	SentBytes        int64
	ReceivedMessages int64
	ReceivedBytes    int64
}

// direction counts the messages and bytes in one direction, by kind.
type direction struct{ messages, bytes [kindCount]atomic.Int64 }

func (d *direction) count(kind, bytes int) {
	if kind <= 0 || kind >= kindCount {
		return
	}
	d.messages[kind].Add(1)
	d.bytes[kind].Add(int64(bytes))
}

// traffic holds the counts and write durations of a transport.
type traffic struct {
	sent, received direction
	// From the request to write a frame until the socket accepted all its bytes.
	bulkWrites, controlWrites histogram.Durations
	failedWrites              atomic.Int64
}

// recordWrite records a completed write to a connection.
func (t *traffic) recordWrite(kind, bytes int, took time.Duration) {
	t.sent.count(kind, bytes)
	if isBulk(kind) {
		t.bulkWrites.Observe(took)
		return
	}
	t.controlWrites.Observe(took)
}

// isBulk reports whether a kind carries replicated state and may be large. All other kinds
// are control traffic and small.
func isBulk(kind int) bool { return kind == KindFeed || kind == KindSince }

// Traffic returns the traffic counts so far, by kind.
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

// WriteDurations returns the durations of writes to connections, including the wait for
// earlier writes: of state, which may be large, and of all other messages.
func (t *Transport) WriteDurations() (bulk, control *histogram.Durations) {
	return &t.traffic.bulkWrites, &t.traffic.controlWrites
}

// FailedWrites returns the number of failed writes; each one closed its connection.
func (t *Transport) FailedWrites() int64 { return t.traffic.failedWrites.Load() }
