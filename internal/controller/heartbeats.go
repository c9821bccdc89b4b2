// Forwarding of heartbeats to the other controllers, batched because each datagram wakes up
// its receiver.

package controller

import (
	"sync"
	"time"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

const (
	// heartbeatBatchInterval is the interval at which batches are sent.
	heartbeatBatchInterval = 80 * time.Millisecond
	// maxBatchBytes bounds the payload of a datagram, so that it fits into a packet.
	maxBatchBytes = 1300
)

// heartbeatQueue queues the heartbeats to be forwarded. It is safe for concurrent use.
type heartbeatQueue struct {
	mu      sync.Mutex
	pending []messages.RunnerRecord
}

func (b *heartbeatQueue) add(n messages.RunnerRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, n)
}

func (b *heartbeatQueue) removeAll() []messages.RunnerRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := b.pending
	b.pending = nil
	return pending
}

// forwardHeartbeats sends the queued heartbeats to all other controllers.
func (c *Controller) forwardHeartbeats() {
	batches := packBatches(c.heartbeats.removeAll())
	if len(batches) == 0 {
		return
	}
	for _, p := range c.monitor.Alive(messages.Controller) {
		if p.Addr == c.transport.Addr() {
			continue
		}
		for i := range batches {
			c.transport.SendDatagram(p.Addr, transport.KindRunners, &batches[i])
		}
	}
}

// packBatches divides heartbeats into batches that each fit into a packet. A heartbeat that exceeds
// the limit gets its own batch.
func packBatches(records []messages.RunnerRecord) (batches []messages.RunnerBatch) {
	size := 0
	for i := range records {
		bytes := records[i].Msgsize()
		if len(batches) == 0 || size+bytes > maxBatchBytes {
			batches, size = append(batches, messages.RunnerBatch{}), 0
		}
		last := &batches[len(batches)-1]
		last.Runners = append(last.Runners, records[i])
		size += bytes
	}
	return batches
}

// receiveHeartbeats applies a batch of heartbeats forwarded by another controller.
func (c *Controller) receiveHeartbeats(_ string, body []byte) {
	var batch messages.RunnerBatch
	if _, err := batch.UnmarshalMsg(body); err != nil {
		return
	}
	var changed []string
	for _, n := range batch.Runners {
		if c.registry.ApplyHeartbeat(n, c.clock()) {
			changed = append(changed, n.ID)
		}
	}
	c.publishRunners(changed...)
}
