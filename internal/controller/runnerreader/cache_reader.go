package runnerreader

// The cached prefixes of a runner are read as events since a version. The full list is fetched only
// after a gap, as it delays the runner. Only parts that prompts may share (prefixindex.SharedKeys)
// are published: most cached parts are the last part of some prompt, which no other request can
// reuse.

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
)

const cacheEventsPause = 300 * time.Millisecond

// Indexes of the fields of a cache event and of a list entry. Both are arrays of mixed types.
const (
	eventSalt, eventPart, eventTokens, eventModel, eventFields = 2, 3, 4, 5, 6
	listSalt, listPart, listTokens, listModel, listFields      = 0, 1, 2, 3, 4
)

// maxUnpublishedEvents is after how many events without a shared part the version is published
// nevertheless: a later reader starts from the published version, and a runner stores only some
// 1,500 events.
const maxUnpublishedEvents = 400

// maxUnsharedParts is how many cached parts of a runner are remembered that are not known to be shared.
// A runner of the design size has room for a quarter of them.
const maxUnsharedParts = 1 << 17

// cacheReader reads the cached prefixes of one runner.
type cacheReader struct {
	epoch, next int64            // runner's epoch, and the version from which to read on
	unshared    map[uint64]int32 // tokens of the cached parts that are not known to be shared yet, by key
}

// since returns the version from which the events have to be read.
func (r *cacheReader) since(known *prefixindex.CachedPrefixes) int64 {
	if r.epoch == known.Epoch {
		return max(r.next, known.Version)
	}
	return known.Version
}

// updatePart records how many tokens of a part are cached; with 0 the part is deleted.
func (r *cacheReader) updatePart(cached *prefixindex.CachedPrefixes, shared *prefixindex.SharedKeys, key uint64, tokens int32) {
	delete(r.unshared, key)
	switch {
	case tokens <= 0:
		cached.Drop(key)
	case shared.Has(key):
		cached.Put(key, tokens)
	case len(r.unshared) < maxUnsharedParts:
		r.unshared[key] = tokens
	}
}

// publishShared adds to the published parts those that were announced as shared after they were
// read.
func (r *cacheReader) publishShared(cached *prefixindex.CachedPrefixes, shared *prefixindex.SharedKeys) {
	for key, tokens := range r.unshared {
		if shared.Has(key) {
			r.updatePart(cached, shared, key, tokens)
		}
	}
}

// readCacheEvents reads a runner's events until ctx ends, from the newest version that this
// controller has, whether it was read here or by another controller.
func (r *Readers) readCacheEvents(ctx context.Context, runner messages.RunnerRecord) {
	reader := cacheReader{unshared: map[uint64]int32{}}
	for ctx.Err() == nil {
		r.readCacheEventsOnce(ctx, runner, &reader)
		loop.Pause(ctx, cacheEventsPause)
	}
}

// readCacheEventsOnce fetches the events that have not been read and publishes their changes.
func (r *Readers) readCacheEventsOnce(ctx context.Context, runner messages.RunnerRecord, reader *cacheReader) {
	r.mu.Lock()
	known := r.cached.CachedPrefixes(runner.ID)
	since, epoch := reader.since(known), known.Epoch
	r.mu.Unlock()
	events, err := r.config.API.CacheEvents(ctx, runner, since)
	if err != nil {
		return // retried after cacheEventsPause
	}
	r.recordResponse(runner.ID)
	first := epoch == 0
	switch {
	case events.Lost || !first && events.Epoch != epoch:
		r.readCacheList(ctx, runner, reader)
	case events.NextPage > since || first:
		r.updateCached(runner.ID, func(cached *prefixindex.CachedPrefixes) (messages.CachedChange, bool) {
			return reader.applyEvents(runner.ID, cached, events, since, &r.sharedKeys)
		})
	}
}

// applyEvents applies the events since a version to the state of a runner's cache. It returns the
// change, which is a snapshot if there was no state before, and whether it has to be published.
func (r *cacheReader) applyEvents(id string, cached *prefixindex.CachedPrefixes, events api.PrefixEvents, since int64, shared *prefixindex.SharedKeys) (messages.CachedChange, bool) {
	first := cached.Epoch == 0
	if first {
		cached.Begin(events.Epoch, since)
	}
	for _, e := range events.Events {
		if len(e) < eventFields {
			continue
		}
		key := prefixindex.Key(stringField(e[eventSalt]), stringField(e[eventModel]), stringField(e[eventPart]))
		r.updatePart(cached, shared, key, int32(numberField(e[eventTokens])))
	}
	r.epoch, r.next = events.Epoch, events.NextPage
	r.publishShared(cached, shared)
	if !first && !cached.Dirty() && events.NextPage-cached.Version < maxUnpublishedEvents {
		return messages.CachedChange{}, false
	}
	change := cached.Commit(events.NextPage)
	if first {
		change, _ = cached.DeltaSince(0, 0)
	}
	return prefixindex.Encode(id, change), true
}

// readCacheList fetches the full list after a gap and publishes it as a snapshot.
func (r *Readers) readCacheList(ctx context.Context, runner messages.RunnerRecord, reader *cacheReader) {
	list, err := r.config.API.CacheList(ctx, runner)
	if err != nil {
		return // retried after cacheEventsPause
	}
	r.updateCached(runner.ID, func(cached *prefixindex.CachedPrefixes) (messages.CachedChange, bool) {
		return reader.replace(runner.ID, cached, list, &r.sharedKeys), true
	})
}

// replace replaces the state of a runner's cache by the shared parts of a list and returns a snapshot.
func (r *cacheReader) replace(id string, cached *prefixindex.CachedPrefixes, list api.PrefixList, shared *prefixindex.SharedKeys) messages.CachedChange {
	if cached.Epoch != list.Epoch {
		cached.Begin(list.Epoch, 0)
	}
	cached.Replace(nil)
	clear(r.unshared)
	for _, entry := range list.Held {
		if len(entry) < listFields {
			continue
		}
		key := prefixindex.Key(stringField(entry[listSalt]), stringField(entry[listModel]), stringField(entry[listPart]))
		r.updatePart(cached, shared, key, int32(numberField(entry[listTokens])))
	}
	r.epoch, r.next = list.Epoch, list.NextPage
	cached.Commit(list.NextPage)
	snapshot, _ := cached.DeltaSince(0, 0)
	return prefixindex.Encode(id, snapshot)
}

// stringField returns a field as a string, empty if it is not a string.
func stringField(field any) string {
	if s, ok := field.(string); ok {
		return s
	}
	return ""
}

// numberField returns a field as a number, 0 if it is not a number.
func numberField(field any) float64 {
	if f, ok := field.(float64); ok {
		return f
	}
	return 0
}
