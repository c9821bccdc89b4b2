package prefixindex

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestSharedKeysKeepWhatIsInUse(t *testing.T) {
	var keys SharedKeys
	must.False(t, keys.Has(1))
	keys.Announce([]messages.CachedPrefixes{{ID: "r", Parts: []messages.CachedPart{{Key: 1, Tokens: 10}, {Key: 2, Tokens: 10}}}})
	next := uint64(100)
	for range 3 {
		for range maxSharedKeys {
			next++
			keys.add(next)
		}
		must.True(t, keys.Has(1), must.Sprint("it is asked for in each generation"))
	}
	must.False(t, keys.Has(2), must.Sprint("it was not"))
	must.LessEq(t, maxSharedKeys, len(keys.newer))
	must.LessEq(t, maxSharedKeys, len(keys.older))
}
