package registry

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/statesync"
)

func TestSyncMatchesStreamToRegistry(t *testing.T) {
	r, stream := New(), statesync.NewEntries()
	stream.Begin(1, 0)
	r.ApplyHeartbeat(recordAt("x", "1:1", 1), 1)
	r.ApplyHeartbeat(recordAt("y", "2:1", 1), 1)
	must.NoError(t, r.Publish(stream, "x", "unknown"))
	must.NoError(t, r.Sync(stream))
	receiver := New()
	changed, malformed := receiver.MergeChange(stream.Commit(1), 1)
	must.Eq(t, []string{"x", "y"}, changed)
	must.Zero(t, malformed)

	r.Leave("x", 2)
	must.NoError(t, r.Sync(stream))
	must.False(t, stream.Dirty(), must.Sprint("Sync does not update records in the stream"))
	must.NoError(t, r.Publish(stream, "x"))
	changed, _ = receiver.MergeChange(stream.Commit(2), 2)
	must.Eq(t, []string{"x"}, changed)
	must.MapLen(t, 1, receiver.Snapshot().ByID)

	r.Sweep(2+removedRetentionUs+1, testLimits, true)
	must.NoError(t, r.Sync(stream))
	changed, malformed = receiver.MergeChange(stream.Commit(3), 3)
	must.SliceEmpty(t, changed, must.Sprint("entries expire at each registry independently"))
	must.Zero(t, malformed)
	must.Len(t, 2, receiver.All())
}

func TestMergeChangeCountsMalformedRecords(t *testing.T) {
	stream, r := statesync.NewEntries(), New()
	stream.Begin(1, 0)
	must.NoError(t, putRecord(stream, recordAt("x", "1:1", 1)))
	stream.Put("torn", "\x81")
	changed, malformed := r.MergeChange(stream.Commit(1), 1)
	must.Eq(t, []string{"x"}, changed)
	must.Eq(t, 1, malformed)
}
