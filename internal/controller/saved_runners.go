// A copy of the registry on disk. After a power loss all runners are known at once; otherwise the
// first few runners that send heartbeats again would receive all requests. The copy is a hint
// only: heartbeats correct it, a runner that is gone becomes stale, and an address that meanwhile
// belongs to another runner answers with 421.

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

// saveRunners writes the runner records to disk when they have changed, at most every two seconds.
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
			c.log.Info("saving the runners to disk failed", "err", err)
			return
		}
		sum = snap.Checksum
	})
}
