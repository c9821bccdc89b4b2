package runnerreader

import (
	"context"
	"runtime"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/runnerapi"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/statesync"
)

func cacheEvent(part string, tokens float64) []any {
	return []any{"", "", "w1", part, tokens, "m"}
}

func partKey(part string) uint64 { return prefixindex.Key("w1", "m", part) }

func announce(shared *prefixindex.SharedKeys, part string) {
	shared.AddAnnounced([]messages.CachedPrefixes{{Parts: []messages.CachedPart{{Key: partKey(part), Tokens: 1}}}})
}

// fakeFollower is another node that applies the published changes of the runner's cache.
type fakeFollower struct {
	t     *testing.T
	index *prefixindex.Index
}

func (f fakeFollower) apply(change messages.CachedChange, published bool) {
	f.t.Helper()
	if published {
		must.Eq(f.t, statesync.Applied, f.index.Apply(change))
	}
}

func (f fakeFollower) has(part string) bool {
	tokens, _ := f.index.CachedPrefixes("r").Get(partKey(part))
	return tokens > 0
}

func TestOnlySharedPartsArePublished(t *testing.T) {
	var shared prefixindex.SharedKeys
	reader, cached := cacheReader{unshared: map[uint64]int32{}}, prefixindex.NewIndex().CachedPrefixes("r")
	other := fakeFollower{t, prefixindex.NewIndex()}
	announce(&shared, "head")
	other.apply(reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 2, Events: [][]any{cacheEvent("head", 100), cacheEvent("own", 50)}}, 0, &shared))
	must.True(t, other.has("head"))
	must.False(t, other.has("own"))

	change, published := reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 3, Events: [][]any{cacheEvent("own too", 50)}}, 2, &shared)
	must.False(t, published, must.Sprint("change without a shared part: ", change))
	must.Eq(t, 3, reader.since(cached), must.Sprint("unpublished events count as read"))

	announce(&shared, "own")
	other.apply(reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 4, Events: [][]any{cacheEvent("head", 0)}}, 3, &shared))
	must.True(t, other.has("own"), must.Sprint("part was announced as shared after it was read"))
	must.False(t, other.has("head"), must.Sprint("part is no longer cached"))
}

func TestListPublishesOnlySharedParts(t *testing.T) {
	var shared prefixindex.SharedKeys
	reader, cached := cacheReader{unshared: map[uint64]int32{}}, prefixindex.NewIndex().CachedPrefixes("r")
	other := fakeFollower{t, prefixindex.NewIndex()}
	list := api.PrefixList{Epoch: 7, NextPage: 9, Held: [][]any{{"w1", "head", 100.0, "m"}, {"w1", "own", 50.0, "m"}}}
	other.apply(reader.replace("r", cached, list, &shared), true)
	must.False(t, other.has("head"))
	announce(&shared, "head")
	other.apply(reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 10, Events: [][]any{cacheEvent("x", 10)}}, 9, &shared))
	must.True(t, other.has("head"))
	must.False(t, other.has("own"))
}

func TestVersionIsPublishedAfterMaxUnpublishedEvents(t *testing.T) {
	var shared prefixindex.SharedKeys
	reader, cached := cacheReader{unshared: map[uint64]int32{}}, prefixindex.NewIndex().CachedPrefixes("r")
	other := fakeFollower{t, prefixindex.NewIndex()}
	other.apply(reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 1}, 0, &shared))
	change, published := reader.applyEvents("r", cached, api.PrefixEvents{Epoch: 7, NextPage: 1 + maxUnpublishedEvents}, 1, &shared)
	must.True(t, published)
	other.apply(change, published)
	must.Eq(t, int64(1+maxUnpublishedEvents), other.index.CachedPrefixes("r").Version)
}

// newTestReaders returns Readers that save the keys of shared parts to files.
func newTestReaders(t *testing.T, files FileStore) *Readers {
	t.Helper()
	r, err := New(Config{
		Addr:          "a:1",
		Clock:         func() int64 { return 1 },
		Log:           logr.Discard(),
		API:           runnerapi.New(nil),
		Controllers:   func() []messages.Peer { return nil },
		Members:       func() []string { return nil },
		PublishCached: func(messages.CachedChange) {},
		PublishReport: func(messages.RunnerReport) {},
		Files:         files,
	})
	must.NoError(t, err)
	return r
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{Addr: "a:1"})
	must.ErrorIs(t, err, ErrConfig)
}

func TestSharedKeysAreRestoredFromDisk(t *testing.T) {
	disk, err := consensus.NewDiskStore(t.TempDir())
	must.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	earlier := newTestReaders(t, disk)
	earlier.AddAnnounced([]messages.CachedPrefixes{{Parts: []messages.CachedPart{{Key: 7}}}})
	saved := make(chan struct{})
	go func() {
		earlier.Run(ctx)
		close(saved)
	}()
	for _, ok := disk.ReadFile(sharedKeysFile); !ok; _, ok = disk.ReadFile(sharedKeysFile) {
		runtime.Gosched()
	}
	stop()
	<-saved

	later := newTestReaders(t, disk)
	must.True(t, later.sharedKeys.Has(7))
	must.False(t, later.sharedKeys.Has(8))

	must.NoError(t, disk.WriteFile(sharedKeysFile, []byte("no record")))
	damaged := newTestReaders(t, disk)
	must.False(t, damaged.sharedKeys.Has(7))
}

func TestApplySkipsRunnersReadLocally(t *testing.T) {
	r := newTestReaders(t, nil)
	r.running["read here"] = func() {}
	applied := r.Apply([]messages.CachedChange{{ID: "read here", Epoch: 1, To: 1, Snapshot: true}, {ID: "read there", Epoch: 1, To: 1, Snapshot: true}})
	must.Len(t, 1, applied)
	must.Eq(t, "read there", applied[0].Change.ID)
	must.Eq(t, statesync.Applied, applied[0].Result)
}

// Guards against a controller that runs out of memory while a runner reports cached parts without end.
func TestRunnerWithEndlessPartsIsRememberedInPart(t *testing.T) {
	reader := cacheReader{unshared: map[uint64]int32{}}
	var shared prefixindex.SharedKeys
	cached := prefixindex.NewIndex().CachedPrefixes("i-1")
	for key := range uint64(2 * maxUnsharedParts) {
		reader.updatePart(cached, &shared, key, 1)
	}
	must.Eq(t, maxUnsharedParts, len(reader.unshared))
}
