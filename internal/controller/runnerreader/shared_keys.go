package runnerreader

// The keys of shared parts are copied to the disk, so that a controller that starts knows which of
// the parts that runners have cached are to be published. Without it routers know of none of them
// until somebody has sent each prompt once more, to a runner that reads it again.

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
func (r *Readers) restoreSharedKeys() {
	if r.config.Notes == nil {
		return
	}
	record, ok := r.config.Notes.ReadFile(sharedKeysFile)
	if !ok {
		return
	}
	if err := r.sharedKeys.Restore(record); err != nil {
		r.config.Log.Info("keys of shared parts dropped", "err", err)
	}
}

// Run saves the keys when there are new ones, until ctx ends.
func (r *Readers) Run(ctx context.Context) {
	if r.config.Notes == nil {
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
		err := r.config.Notes.WriteFile(sharedKeysFile, record)
		unsaved = err != nil
		if err != nil {
			r.config.Log.Info("keys of shared parts not saved", "err", err)
		}
	})
}
