// The cached prefixes of a runner come as events since a version; the full list is
// fetched only after a gap, since it delays the runner.

package controller

import (
	"context"
	"encoding/json"
	"strconv"
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

// readCacheEvents follows a runner's events until ctx ends, from the version that is
// known here, whichever controller read it.
func (d *Controller) readCacheEvents(ctx context.Context, n messages.RunnerRecord) {
	for ctx.Err() == nil {
		d.readCacheEventsOnce(ctx, n)
		loop.Pause(ctx, cacheEventsPause)
	}
}

// readCacheEventsOnce fetches the events since the known version and publishes them.
func (d *Controller) readCacheEventsOnce(ctx context.Context, n messages.RunnerRecord) {
	d.cachedMu.Lock()
	known := d.cached.CachedPrefixes(n.ID)
	since, epoch := known.Version, known.Epoch
	d.cachedMu.Unlock()
	events, ok := d.fetchCacheEvents(ctx, n, since)
	if !ok {
		return
	}
	d.heard(n.ID)
	first := epoch == 0
	switch {
	case events.Lost || !first && events.Epoch != epoch:
		d.readCacheList(ctx, n)
	case events.NextPage > since || first:
		d.changeCached(n.ID, func(c *prefixindex.CachedPrefixes) messages.CachedChange {
			return applyCacheEvents(n.ID, c, events, since, first)
		})
	}
}

// fetchCacheEvents fetches the events of a runner since a version.
func (d *Controller) fetchCacheEvents(ctx context.Context, n messages.RunnerRecord, since int64) (events api.PrefixEvents, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	path := "/api/kv-events?since=" + strconv.FormatInt(since, 10)
	status, body, err := d.connPool.Ask(ctx, n.Addr, "GET", path, withTarget(n, map[string]string{"Wait-Ms": "1000"}), nil)
	return events, err == nil && status == 200 && json.Unmarshal(body, &events) == nil
}

// applyCacheEvents applies the events since a version to what is known of a runner's cache and returns the
// change; a snapshot, if nothing was known before.
func applyCacheEvents(id string, cached *prefixindex.CachedPrefixes, events api.PrefixEvents, since int64, first bool) messages.CachedChange {
	if first {
		cached.Begin(events.Epoch, since)
	}
	for _, e := range events.Events {
		if len(e) < eventFields {
			continue
		}
		key := prefixindex.Key(text(e[eventSalt]), text(e[eventModel]), text(e[eventPart]))
		putOrDrop(cached, key, int32(number(e[eventTokens])))
	}
	change := cached.Commit(events.NextPage)
	if first {
		change, _ = cached.DeltaSince(0, 0)
	}
	return prefixindex.Encode(id, change)
}

// putOrDrop records how many tokens of a part are cached; none drops it.
func putOrDrop(cached *prefixindex.CachedPrefixes, key uint64, tokens int32) {
	if tokens <= 0 {
		cached.Drop(key)
		return
	}
	cached.Put(key, tokens)
}

// readCacheList fetches the full list after a gap; other nodes get it as a snapshot.
func (d *Controller) readCacheList(ctx context.Context, n messages.RunnerRecord) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	status, body, err := d.connPool.Ask(ctx, n.Addr, "GET", "/api/kv-list", withTarget(n, map[string]string{}), nil)
	var list api.PrefixList
	if err != nil || status != 200 || json.Unmarshal(body, &list) != nil {
		return
	}
	d.changeCached(n.ID, func(c *prefixindex.CachedPrefixes) messages.CachedChange {
		return replaceCached(n.ID, c, list)
	})
}

// replaceCached makes a list the state of a runner's cache and returns a snapshot.
func replaceCached(id string, cached *prefixindex.CachedPrefixes, list api.PrefixList) messages.CachedChange {
	if cached.Epoch != list.Epoch {
		cached.Begin(list.Epoch, 0)
	}
	all := map[uint64]int32{}
	for _, entry := range list.Held {
		if len(entry) < listFields {
			continue
		}
		if tokens := int32(number(entry[listTokens])); tokens > 0 {
			all[prefixindex.Key(text(entry[listSalt]), text(entry[listModel]), text(entry[listPart]))] = tokens
		}
	}
	cached.Replace(all)
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
