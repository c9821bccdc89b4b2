// A copy of the keys of shared parts on disk (prefixindex.SharedKeys), so that a controller
// that starts knows which of the parts that runners have cached are to be sent on. Without it
// routers hear of none of them until somebody has sent each prompt once more, to a runner
// that reads it again.

package controller

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/loop"
)

const (
	sharedKeysFile = "shared-keys"
	// sharedKeysPeriod is how often the keys are written if there are new ones.
	sharedKeysPeriod = 2 * time.Second
)

// restoreSharedKeys reads the keys. A file that is missing or damaged is none.
func (c *Controller) restoreSharedKeys() {
	record, ok := c.disk.Note(sharedKeysFile)
	if !ok {
		return
	}
	if err := c.sharedKeys.Restore(record); err != nil {
		c.log.Info("keys of shared parts dropped", "err", err)
	}
}

// saveSharedKeys writes the keys when there are new ones, until ctx ends.
func (c *Controller) saveSharedKeys(ctx context.Context) {
	unsaved := false // the last write failed
	loop.Every(ctx, sharedKeysPeriod, func() {
		c.cachedMu.Lock()
		if !unsaved && !c.sharedKeys.Changed() {
			c.cachedMu.Unlock()
			return
		}
		record := c.sharedKeys.Record()
		c.cachedMu.Unlock()
		err := c.disk.Keep(sharedKeysFile, record)
		unsaved = err != nil
		if err != nil {
			c.log.Info("keys of shared parts not saved", "err", err)
		}
	})
}
