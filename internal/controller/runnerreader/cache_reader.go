package runnerreader

// The cached prefixes of a runner come as events since a version; the full list is
// fetched only after a gap, since it delays the runner. Only parts that prompts may share
// (prefixindex.SharedKeys) are published: most of what a runner caches is the last part of some
// prompt, which no other request finds.

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
)

const cacheEventsPause = 300 * time.Millisecond

// Fields of a cache event and of an entry of the list. Both are arrays of mixed types.
const (
	eventSalt, eventPart, eventTokens, eventModel, eventFields = 2, 3, 4, 5, 6
	listSalt, listPart, listTokens, listModel, listFields      = 0, 1, 2, 3, 4
)

// mostUnpublished is after how many events without a shared part the version is published
// all the same: a reader that follows begins there, and a runner remembers some 1,500 events.
const mostUnpublished = 400

// cacheReader reads the cached prefixes of one runner.
type cacheReader struct {
	epoch, next int64            // how far the events have been read
	unshared    map[uint64]int32 // tokens of the parts that no prompt is known to share yet, by key
}

// since returns the version from which on events are still to be read.
func (r *cacheReader) since(known *prefixindex.CachedPrefixes) int64 {
	if r.epoch == known.Epoch {
		return max(r.next, known.Version)
	}
	return known.Version
}

// put records how many tokens of a part are cached; none drops it.
func (r *cacheReader) put(cached *prefixindex.CachedPrefixes, shared *prefixindex.SharedKeys, key uint64, tokens int32) {
	delete(r.unshared, key)
	switch {
	case tokens <= 0:
		cached.Drop(key)
	case shared.Has(key):
		cached.Put(key, tokens)
	default:
		r.unshared[key] = tokens
	}
}

// publishShared publishes the parts that have been announced since they were read.
func (r *cacheReader) publishShared(cached *prefixindex.CachedPrefixes, shared *prefixindex.SharedKeys) {
	for key, tokens := range r.unshared {
		if shared.Has(key) {
			r.put(cached, shared, key, tokens)
		}
	}
}

// readCacheEvents follows a runner's events until ctx ends, from the version that is
// known here, whichever controller read it.
func (r *Readers) readCacheEvents(ctx context.Context, n messages.RunnerRecord) {
	reader := cacheReader{unshared: map[uint64]int32{}}
	for ctx.Err() == nil {
		r.readCacheEventsOnce(ctx, n, &reader)
		loop.Pause(ctx, cacheEventsPause)
	}
}

// readCacheEventsOnce fetches the events that have not been read and publishes what they change.
func (r *Readers) readCacheEventsOnce(ctx context.Context, n messages.RunnerRecord, reader *cacheReader) {
	r.mu.Lock()
	known := r.cached.CachedPrefixes(n.ID)
	since, epoch := reader.since(known), known.Epoch
	r.mu.Unlock()
	events, err := r.config.API.CacheEvents(ctx, n, since)
	if err != nil {
		return // the next call follows soon
	}
	r.recordResponse(n.ID)
	first := epoch == 0
	switch {
	case events.Lost || !first && events.Epoch != epoch:
		r.readCacheList(ctx, n, reader)
	case events.NextPage > since || first:
		r.change(n.ID, func(cached *prefixindex.CachedPrefixes) (messages.CachedChange, bool) {
			return reader.applyEvents(n.ID, cached, events, since, &r.sharedKeys)
		})
	}
}

// applyEvents applies the events since a version to what is known of a runner's cache. It returns the
// change, a snapshot if nothing was known before, and whether there is anything to publish.
func (r *cacheReader) applyEvents(id string, cached *prefixindex.CachedPrefixes, events api.PrefixEvents, since int64, shared *prefixindex.SharedKeys) (messages.CachedChange, bool) {
	first := cached.Epoch == 0
	if first {
		cached.Begin(events.Epoch, since)
	}
	for _, e := range events.Events {
		if len(e) < eventFields {
			continue
		}
		key := prefixindex.Key(text(e[eventSalt]), text(e[eventModel]), text(e[eventPart]))
		r.put(cached, shared, key, int32(number(e[eventTokens])))
	}
	r.epoch, r.next = events.Epoch, events.NextPage
	r.publishShared(cached, shared)
	if !first && !cached.Dirty() && events.NextPage-cached.Version < mostUnpublished {
		return messages.CachedChange{}, false
	}
	change := cached.Commit(events.NextPage)
	if first {
		change, _ = cached.DeltaSince(0, 0)
	}
	return prefixindex.Encode(id, change), true
}

// readCacheList fetches the full list after a gap; other nodes get it as a snapshot.
func (r *Readers) readCacheList(ctx context.Context, n messages.RunnerRecord, reader *cacheReader) {
	list, err := r.config.API.CacheList(ctx, n)
	if err != nil {
		return // the next call follows soon
	}
	r.change(n.ID, func(cached *prefixindex.CachedPrefixes) (messages.CachedChange, bool) {
		return reader.replace(n.ID, cached, list, &r.sharedKeys), true
	})
}

// replace makes a list, as far as its parts are shared, the state of a runner's cache and returns a
// snapshot.
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
		key := prefixindex.Key(text(entry[listSalt]), text(entry[listModel]), text(entry[listPart]))
		r.put(cached, shared, key, int32(number(entry[listTokens])))
	}
	r.epoch, r.next = list.Epoch, list.NextPage
	cached.Commit(list.NextPage)
	snapshot, _ := cached.DeltaSince(0, 0)
	return prefixindex.Encode(id, snapshot)
}

// text returns a field as a string, empty if it is none.
func text(field any) string {
	if s, ok := field.(string); ok {
		return s
	}
	return ""
}

// number returns a field as a number, 0 if it is none.
func number(field any) float64 {
	if f, ok := field.(float64); ok {
		return f
	}
	return 0
}
