package consensus

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// The directory in testdata was written by the code of commit b77aa1a.
func TestStoreReadsRecordOfCommitB77aa1a(t *testing.T) {
	dir := t.TempDir()
	must.NoError(t, os.CopyFS(dir, os.DirFS("testdata/written-by-b77aa1a")))
	restored, err := Restore(openTestStore(t, dir), "", numberedIDs("other"))
	must.NoError(t, err)
	must.Eq(t, "10.0.0.1:7000/0", restored.ID)
	group := []messages.Member{{ID: "10.0.0.1:7000/0", Addr: "10.0.0.1:7000"}, {ID: "10.0.0.2:7000/0", Addr: "10.0.0.2:7000"}, {ID: "10.0.0.3:7000/5f2b", Addr: "10.0.0.3:7000"}}
	must.Eq(t, messages.Record{
		Committed:   messages.Value{Version: 41, Group: group, Body: []byte("the configuration"), Stamp: "s41"},
		Promised:    messages.Ballot{N: 7, Who: "w7"},
		AcceptedAt:  messages.Ballot{N: 6, Who: "w6"},
		Accepted:    messages.Value{Version: 42, Group: group, Body: []byte("the next"), Stamp: "s42"},
		HasAccepted: true,
	}, restored.Records[0])
}

// The directory in testdata was written by the code of commit 611e145. It has every kind of
// file that a controller stores on disk: the identity, one record per register, the highest
// fencing token used, and the runner list.
func TestStoreReadsEveryKindOfFileOfCommit611e145(t *testing.T) {
	dir := t.TempDir()
	must.NoError(t, os.CopyFS(dir, os.DirFS("testdata/written-by-611e145")))
	store := openTestStore(t, dir)
	restored, err := Restore(store, "", numberedIDs("other"))
	must.NoError(t, err)
	must.Eq(t, "10.0.0.1:7000/a1b2c3d4e5f6", restored.ID)
	must.SliceEmpty(t, restored.Damaged)

	group := []messages.Member{{ID: "10.0.0.1:7000/a1b2c3d4e5f6", Addr: "10.0.0.1:7000"}, {ID: "10.0.0.2:7000/0", Addr: "10.0.0.2:7000"}, {ID: "10.0.0.3:7000/0", Addr: "10.0.0.3:7000"}}
	committed := func(version int64) messages.Value {
		return messages.Value{Version: version, Group: group, Body: []byte("committed"), Stamp: "s-committed"}
	}
	accepted := func(version int64) messages.Value {
		return messages.Value{Version: version, Group: group[:1], Body: []byte("accepted"), Stamp: "s-accepted"}
	}
	ballot := func(n int64, proposer string) messages.Ballot { return messages.Ballot{N: n, Who: proposer} }
	for index, want := range []messages.Record{
		{Committed: committed(10)},
		{Committed: committed(11)},
		{Committed: committed(12), Promised: ballot(2, "promised")},
		{Committed: committed(13), Promised: ballot(3, "promised"), AcceptedAt: ballot(2, "accepted"), Accepted: accepted(14), HasAccepted: true},
		{Committed: committed(14), Promised: ballot(4, "promised"), AcceptedAt: ballot(3, "accepted"), Accepted: accepted(15), HasAccepted: true},
	} {
		must.Eq(t, want, restored.Records[index], must.Sprintf("register %d", index))
	}

	fence, ok := store.ReadFile("acted-2")
	must.True(t, ok)
	must.Eq(t, "17", string(fence))
	encoded, ok := store.ReadFile("runners")
	must.True(t, ok)
	var update messages.News
	_, err = update.UnmarshalMsg(encoded)
	must.NoError(t, err)
	must.Eq(t, []messages.RunnerRecord{{ID: "runner-1", Service: "chat", Addr: "10.0.1.1:8000", Seq: 3}}, update.Runners)
}
