package controller

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/statesync"
)

func cacheEvent(part string, tokens float64) []any {
	return []any{"", "", "w1", part, tokens, "m"}
}

func partKey(part string) uint64 { return prefixindex.Key("w1", "m", part) }

func announce(shared *prefixindex.SharedKeys, part string) {
	shared.Announce([]messages.CachedPrefixes{{Parts: []messages.CachedPart{{Key: partKey(part), Tokens: 1}}}})
}

// cacheFollower is what another node knows of the runner's cache.
type cacheFollower struct {
	t     *testing.T
	index *prefixindex.Index
}

func (f cacheFollower) take(change messages.CachedChange, published bool) {
	f.t.Helper()
	if published {
		must.Eq(f.t, statesync.Applied, f.index.Apply(change))
	}
}

func (f cacheFollower) has(part string) bool {
	tokens, _ := f.index.CachedPrefixes("r").Get(partKey(part))
	return tokens > 0
}

func TestOnlySharedPartsArePublished(t *testing.T) {
	var shared prefixindex.SharedKeys
	reader, cached := cacheReader{unshared: map[uint64]int32{}}, prefixindex.NewIndex().CachedPrefixes("r")
	other := cacheFollower{t, prefixindex.NewIndex()}
	announce(&shared, "head")
	other.take(reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 2, Events: [][]any{cacheEvent("head", 100), cacheEvent("own", 50)}}, 0, &shared))
	must.True(t, other.has("head"))
	must.False(t, other.has("own"))

	change, published := reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 3, Events: [][]any{cacheEvent("own too", 50)}}, 2, &shared)
	must.False(t, published, must.Sprint("nothing for the others: ", change))
	must.Eq(t, 3, reader.since(cached), must.Sprint("it has been read all the same"))

	announce(&shared, "own")
	other.take(reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 4, Events: [][]any{cacheEvent("head", 0)}}, 3, &shared))
	must.True(t, other.has("own"), must.Sprint("it turned out to be shared after it was read"))
	must.False(t, other.has("head"), must.Sprint("it is cached no longer"))
}

func TestListIsPublishedAsFarAsItsPartsAreShared(t *testing.T) {
	var shared prefixindex.SharedKeys
	reader, cached := cacheReader{unshared: map[uint64]int32{}}, prefixindex.NewIndex().CachedPrefixes("r")
	other := cacheFollower{t, prefixindex.NewIndex()}
	list := api.PrefixList{Epoch: 7, NextPage: 9, Held: [][]any{{"w1", "head", 100.0, "m"}, {"w1", "own", 50.0, "m"}}}
	other.take(reader.replace("r", cached, list, &shared), true)
	must.False(t, other.has("head"))
	announce(&shared, "head")
	other.take(reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 10, Events: [][]any{cacheEvent("x", 10)}}, 9, &shared))
	must.True(t, other.has("head"))
	must.False(t, other.has("own"))
}

func TestVersionIsPublishedAfterManyEventsWithoutASharedPart(t *testing.T) {
	var shared prefixindex.SharedKeys
	reader, cached := cacheReader{unshared: map[uint64]int32{}}, prefixindex.NewIndex().CachedPrefixes("r")
	other := cacheFollower{t, prefixindex.NewIndex()}
	other.take(reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 1}, 0, &shared))
	change, published := reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 1 + mostUnpublished}, 1, &shared)
	must.True(t, published)
	other.take(change, published)
	must.Eq(t, int64(1+mostUnpublished), other.index.CachedPrefixes("r").Version)
}

func TestControllerThatStartsKnowsTheSharedParts(t *testing.T) {
	disk, err := consensus.NewDiskStore(t.TempDir())
	must.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	earlier := &Controller{disk: disk, log: logr.Discard()}
	earlier.announceShared([]messages.CachedPrefixes{{Parts: []messages.CachedPart{{Key: 7}}}})
	saved := make(chan struct{})
	go func() {
		earlier.saveSharedKeys(ctx)
		close(saved)
	}()
	until(t, func() bool { _, ok := disk.Note(sharedKeysFile); return ok })
	stop()
	<-saved

	later := &Controller{disk: disk, log: logr.Discard()}
	later.restoreSharedKeys()
	must.True(t, later.sharedKeys.Has(7))
	must.False(t, later.sharedKeys.Has(8))

	must.NoError(t, disk.Keep(sharedKeysFile, []byte("no record")))
	damaged := &Controller{disk: disk, log: logr.Discard()}
	damaged.restoreSharedKeys()
	must.False(t, damaged.sharedKeys.Has(7))
}
