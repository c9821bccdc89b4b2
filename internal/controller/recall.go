// The list of runners is kept on disk so that after a loss of power all of them
// are known at once, and not just the first few that beat again, which would
// get everybody's requests. It is a help only: what it says is corrected by the
// beats, a runner that is gone turns stale, and one whose address is another's
// by now answers 421.

package controller

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
)

const runnersFile = "runners"

func (d *Controller) recallRunners() {
	b, ok := d.disk.Note(runnersFile)
	if !ok {
		return
	}
	var n messages.News
	if _, err := n.UnmarshalMsg(b); err != nil {
		return
	}
	for _, r := range n.Runners {
		r.Stale, r.Lost = false, false
		d.registry.Merge(r, d.clock())
	}
}

// keepRunners writes the list when it has changed, at most every two seconds.
func (d *Controller) keepRunners(ctx context.Context) {
	var sum uint64
	loop.Every(ctx, 2*time.Second, func() {
		snap := d.registry.Snapshot()
		if snap.Sum == sum {
			return
		}
		n := messages.News{}
		for _, r := range snap.ByID {
			n.Runners = append(n.Runners, r)
		}
		b, err := n.MarshalMsg(nil)
		if err != nil {
			return
		}
		if err := d.disk.Keep(runnersFile, b); err != nil {
			d.log.Info("runners not kept", "err", err)
			return
		}
		sum = snap.Sum
	})
}
