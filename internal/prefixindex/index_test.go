package prefixindex

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestCachedCountsContiguousPrefix(t *testing.T) {
	parts := ParseParts("a:100, b:50,c:10")
	must.Len(t, 3, parts)
	keys := Keys("w1", "m", parts)
	x := NewIndex()
	x.RecordPrefilled("r", keys[1], 50)
	x.RecordPrefilled("r", keys[2], 10)
	must.Eq(t, 0, x.CachedTokens("r", keys, parts))
	x.RecordPrefilled("r", keys[0], 100)
	must.Eq(t, 160, x.CachedTokens("r", keys, parts))
	x.RecordPrefilled("r", keys[1], 16)
	must.Eq(t, 116, x.CachedTokens("r", keys, parts))
	x.RecordPrefilled("r", keys[1], 0)
	must.Eq(t, 100, x.CachedTokens("r", keys, parts))
	x.Reset("r")
	must.Eq(t, 0, x.CachedTokens("r", keys, parts))
}

func TestKeysDifferBySaltAndModel(t *testing.T) {
	parts := ParseParts("a:100")
	x := NewIndex()
	x.RecordPrefilled("r", Key("w1", "m", "a"), 100)
	must.Eq(t, 100, x.CachedTokens("r", Keys("w1", "m", parts), parts))
	must.Eq(t, 0, x.CachedTokens("r", Keys("w2", "m", parts), parts))
	must.Eq(t, 0, x.CachedTokens("r", Keys("w1/t", "m", parts), parts))
	must.Eq(t, 0, x.CachedTokens("r", Keys("w1", "n", parts), parts))
}

func TestExpectedPartsAreRemovedWhenDeletedOrCancelled(t *testing.T) {
	parts := ParseParts("a:100")
	keys := Keys("s", "m", parts)
	x := NewIndex()
	x.ExpectCached("r", keys[0], 100)
	must.Eq(t, 0, x.CachedTokens("r", keys, parts))
	must.Eq(t, 100, x.ExpectedTokens("r", keys, parts))
	x.RecordPrefilled("r", keys[0], 0)
	must.Eq(t, 0, x.ExpectedTokens("r", keys, parts))
	x.ExpectCached("r", keys[0], 100)
	x.CancelExpected("r", keys[0])
	must.Eq(t, 0, x.ExpectedTokens("r", keys, parts))
}

func TestParsePartsStopsAtMalformedItem(t *testing.T) {
	must.Len(t, 0, ParseParts(""))
	must.Len(t, 1, ParseParts("a:1,b"))
	must.Len(t, 0, ParseParts("a:x"))
	must.Len(t, 0, ParseParts("a:-5"))
}
