package runnerreader

// The keys of shared parts are saved to disk, so that a controller that has restarted can publish the
// shared parts that runners have cached. Without the saved keys, routers would not have any of these
// parts until each prompt was sent once more and prefilled again.

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/loop"
)

const (
	sharedKeysFile = "shared-keys"
	// sharedKeysPeriod is the interval at which the keys are written if there are new ones.
	sharedKeysPeriod = 2 * time.Second
)

// restoreSharedKeys reads the saved keys. A missing or damaged file is ignored.
func (r *Readers) restoreSharedKeys() {
	if r.config.Files == nil {
		return
	}
	record, ok := r.config.Files.ReadFile(sharedKeysFile)
	if !ok {
		return
	}
	if err := r.sharedKeys.Restore(record); err != nil {
		r.config.Log.Info("saved keys of shared parts not restored", "err", err)
	}
}

// Run saves the keys when there are new ones, until ctx ends.
func (r *Readers) Run(ctx context.Context) {
	if r.config.Files == nil {
		return
	}
	unsaved := false // the last write failed
	loop.Every(ctx, sharedKeysPeriod, func() {
		r.mu.Lock()
		if !unsaved && !r.sharedKeys.Changed() {
			r.mu.Unlock()
			return
		}
		record := r.sharedKeys.Record()
		r.mu.Unlock()
		err := r.config.Files.WriteFile(sharedKeysFile, record)
		unsaved = err != nil
		if err != nil {
			r.config.Log.Info("keys of shared parts not saved", "err", err)
		}
	})
}
