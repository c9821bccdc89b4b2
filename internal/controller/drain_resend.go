// Drains that a restarted controller has on its disk and another one may lack: the acknowledgement
// of a drain rests on a majority, and no runner reports its leaving a second time.

package controller

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/controller/drainstore"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
)

const (
	// drainResendPeriod is the period at which controllers that have joined are notified.
	drainResendPeriod = 200 * time.Millisecond
	// drainResendTimeout bounds the notification of one controller about one runner.
	drainResendTimeout = 400 * time.Millisecond
)

// drainResender notifies the other controllers of the core of drains that this process has read
// from its disk.
type drainResender struct {
	self    string
	records []messages.RunnerRecord
	alive   func() []messages.Peer
	notify  func(messages.RunnerRecord) notifyPeer

	informed map[string]bool // addresses of the controllers that have acknowledged all records
}

func newDrainResender(c *Controller) *drainResender {
	return &drainResender{
		self:    c.transport.Addr(),
		records: c.ackedDrains.store.Records(),
		alive:   func() []messages.Peer { return c.monitor.Alive(messages.Controller) },
		notify:  c.notifyOfDrain,
	}
}

// run notifies each controller once, until the records' retention ends.
func (d *drainResender) run(ctx context.Context) {
	if len(d.records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drainstore.Retention)
	defer cancel()
	d.informed = map[string]bool{d.self: true}
	loop.Every(ctx, drainResendPeriod, func() { d.informJoined(ctx) })
}

// informJoined notifies the controllers that have not acknowledged all records yet.
func (d *drainResender) informJoined(ctx context.Context) {
	for _, p := range membership.CountedControllers(d.alive()) {
		if !d.informed[p.Addr] {
			d.informed[p.Addr] = d.inform(ctx, p.Addr)
		}
	}
}

// inform notifies one controller, and reports whether it has acknowledged all records.
func (d *drainResender) inform(ctx context.Context, addr string) bool {
	for _, record := range d.records {
		callCtx, cancel := context.WithTimeout(ctx, drainResendTimeout)
		_, err := d.notify(record)(callCtx, addr)
		cancel()
		if err != nil {
			return false
		}
	}
	return true
}
