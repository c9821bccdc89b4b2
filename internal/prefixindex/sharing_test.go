package prefixindex

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestSharedKeysRetainKeysInUse(t *testing.T) {
	var keys SharedKeys
	must.False(t, keys.Has(1))
	keys.AddAnnounced([]messages.CachedPrefixes{{ID: "r", Parts: []messages.CachedPart{{Key: 1, Tokens: 10}, {Key: 2, Tokens: 10}}}})
	next := uint64(100)
	for range 3 {
		for range maxSharedKeys {
			next++
			keys.add(next)
		}
		must.True(t, keys.Has(1), must.Sprint("the key is looked up in each generation"))
	}
	must.False(t, keys.Has(2), must.Sprint("the key was not looked up"))
	must.LessEq(t, maxSharedKeys, len(keys.newer))
	must.LessEq(t, maxSharedKeys, len(keys.older))
}

func TestSharedKeysAreRestoredFromRecord(t *testing.T) {
	var shared SharedKeys
	must.False(t, shared.Changed())
	shared.AddAnnounced([]messages.CachedPrefixes{{Parts: []messages.CachedPart{{Key: 1}, {Key: 1 << 63}}}})
	must.True(t, shared.Changed())
	record := shared.Record()
	must.False(t, shared.Changed())

	var restored SharedKeys
	must.NoError(t, restored.Restore(record))
	must.True(t, restored.Has(1))
	must.True(t, restored.Has(1<<63))
	must.False(t, restored.Has(2))
	must.False(t, restored.Changed())
}

func TestSharedKeysRecordIsBounded(t *testing.T) {
	var shared SharedKeys
	for key := range uint64(5 * maxSharedKeys) {
		shared.add(key)
	}
	record := shared.Record()
	must.LessEq(t, 1+keyBytes*2*maxSharedKeys, len(record))
	var restored SharedKeys
	must.NoError(t, restored.Restore(record))
	must.True(t, restored.Has(5*maxSharedKeys-1))
}

func TestRestoreRejectsInvalidSharedKeysRecord(t *testing.T) {
	for _, record := range [][]byte{nil, {2}, {1, 0, 0, 0}} {
		var shared SharedKeys
		must.ErrorIs(t, shared.Restore(record), ErrInvalidSharedRecord)
	}
}
