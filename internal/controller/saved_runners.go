// A copy of the registry on disk, so that after a loss of power all runners are known
// at once, and not just the first few that send heartbeats again, which would get all
// requests. It is a hint only: heartbeats correct it, a runner that is gone becomes
// stale, and one whose address belongs to another by now answers 421.

package controller

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
)

const runnersFile = "runners"

func (c *Controller) restoreRunners() {
	b, ok := c.disk.ReadFile(runnersFile)
	if !ok {
		return
	}
	var n messages.News
	if _, err := n.UnmarshalMsg(b); err != nil {
		return
	}
	for _, r := range n.Runners {
		r.Stale, r.Lost = false, false
		c.registry.Merge(r, c.clock())
	}
}

// saveRunners writes the list when it has changed, at most every two seconds.
func (c *Controller) saveRunners(ctx context.Context) {
	var sum uint64
	loop.Every(ctx, 2*time.Second, func() {
		snap := c.registry.Snapshot()
		if snap.Checksum == sum {
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
		if err := c.disk.WriteFile(runnersFile, b); err != nil {
			c.log.Info("runners not kept", "err", err)
			return
		}
		sum = snap.Checksum
	})
}
