package routeconfig

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// entriesOf returns the entries of a configuration with one route.
func entriesOf(t *testing.T, version int64, service string) map[string]string {
	t.Helper()
	raw := fmt.Appendf(nil, `{"version":%d,"services":[{"name":"a"},{"name":"b"}],"routes":[{"name":"r","host":"h","prefix":"/r/","kind":"idempotent","cutoffMs":1000,"service":%q}]}`, version, service)
	config, err := Parse(raw)
	must.NoError(t, err)
	entries, err := Entries(config)
	must.NoError(t, err)
	return entries
}

func snapshotOf(t *testing.T, source *Replica) messages.EntryChange {
	t.Helper()
	change, behind := source.DeltaSince(messages.Cursor{})
	must.True(t, behind)
	return change
}

func TestReplicaIgnoresOlderVersions(t *testing.T) {
	source := NewSource()
	_, newer := source.Commit(1, entriesOf(t, 3, "a"))
	must.True(t, newer)
	first := snapshotOf(t, source)
	second, newer := source.Commit(2, entriesOf(t, 5, "b"))
	must.True(t, newer)
	_, newer = source.Commit(2, entriesOf(t, 6, "a"))
	must.False(t, newer)

	r := NewReplica()
	for _, c := range []struct {
		change messages.EntryChange
		result statesync.Result
		config int64
	}{
		{first, statesync.Applied, 3},
		{second, statesync.Applied, 5},
		{first, statesync.AlreadyApplied, 5},
		{second, statesync.AlreadyApplied, 5},
		{messages.EntryChange{Epoch: Epoch + 1, Snapshot: true, To: 1}, statesync.AlreadyApplied, 5},
	} {
		result, _, err := r.Apply(c.change)
		must.NoError(t, err)
		must.Eq(t, c.result, result)
		must.Eq(t, c.config, r.Table().Version)
	}
	_, behind := r.DeltaSince(messages.Cursor{Epoch: Epoch, Version: 2})
	must.False(t, behind)
	_, behind = r.DeltaSince(messages.Cursor{Epoch: Epoch, Version: 7})
	must.False(t, behind, must.Sprint("a receiver of a later version gets nothing"))
}

// After a digest mismatch the cursor of a replica is zero until a change with a matching
// digest or a snapshot of the same version is applied.
func TestReplicaRecoversFromDigestMismatch(t *testing.T) {
	source := NewSource()
	source.Commit(1, entriesOf(t, 3, "a"))
	first := snapshotOf(t, source)
	second, _ := source.Commit(2, entriesOf(t, 5, "b"))
	corrupted := second
	corrupted.Digest++
	for name, repair := range map[string]messages.EntryChange{"change": second, "snapshot of the same version": first} {
		r := NewReplica()
		for _, change := range []messages.EntryChange{first, corrupted} {
			_, _, err := r.Apply(change)
			must.NoError(t, err)
		}
		must.Eq(t, messages.Cursor{}, r.Cursor(), must.Sprint(name))
		must.Eq(t, int64(3), r.Table().Version)
		result, _, err := r.Apply(repair)
		must.NoError(t, err)
		must.Eq(t, statesync.Applied, result, must.Sprint(name))
		must.Eq(t, messages.Cursor{Epoch: Epoch, Version: repair.To}, r.Cursor(), must.Sprint(name))
	}
}
