package consensus

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/simulation/disk"
)

// A write that is cut short at any operation is a file aside: it costs neither
// the record before it nor the identity.
func TestTornTemporaryFileIsIgnored(t *testing.T) {
	for seed := range uint64(100) {
		for cut := range 6 {
			d := disk.New(seed)
			store := openSimulated(t, d)
			must.NoError(t, store.Renew("me"))
			must.NoError(t, store.Save(2, recordWithVote(7)))
			d.StopAfter(cut)
			acknowledged := store.Save(2, recordWithVote(8)) == nil
			d.LosePower()
			restored, err := Restore(openSimulated(t, d), "", numberedIDs("other"))
			must.NoError(t, err)
			must.Eq(t, "me", restored.ID)
			must.Eq(t, int64(7), min(restored.Records[2].Promised.N, 7))
			if acknowledged {
				must.Eq(t, int64(8), restored.Records[2].Promised.N)
			}
		}
	}
}

// A process is killed after a record got its name and before the folder was
// synced. The next one finds the record and answers by it, without a write: it
// settles first, or a loss of power would take back what it said.
func TestDirectoryIsSyncedBeforeFirstVoteAfterKill(t *testing.T) {
	for seed := range uint64(20) {
		d := disk.New(seed)
		store := openSimulated(t, d)
		must.NoError(t, store.Renew("me"))
		d.StopAfter(4) // create, write, sync, rename
		must.ErrorIs(t, store.Save(2, recordWithVote(8)), ErrStore)
		d.Restart()
		registers, err := Open("m", 1, false, nil, nil, openSimulated(t, d), logr.Discard(), nil)
		must.NoError(t, err)
		again := messages.ConsensusRequest{Part: 2, To: "me", Step: messages.Prepare, Slot: 3, Ballot: recordWithVote(8).Promised}
		response, err := registers.handleRequest(context.Background(), again)
		must.NoError(t, err)
		must.Eq(t, messages.Granted, response.Verdict)
		d.LosePower()
		restored, err := Restore(openSimulated(t, d), "", numberedIDs("other"))
		must.NoError(t, err)
		must.Eq(t, "me", restored.ID)
		must.Eq(t, int64(8), restored.Records[2].Promised.N)
	}
}

func openSimulated(t *testing.T, d *disk.Disk) *DiskStore {
	store, err := OpenDiskStore(d)
	must.NoError(t, err)
	return store
}

func openTestStore(t *testing.T, dir string) *DiskStore {
	store, err := NewDiskStore(dir)
	must.NoError(t, err)
	return store
}

// A record that is damaged after it was durable is lost votes: the one before it
// does not come back, the member is somebody else in all parts, it founds no
// group where bootstrap is still set, and it goes on saving.
func TestDamagedRecordChangesIdentity(t *testing.T) {
	dir := t.TempDir()
	store := openTestStore(t, dir)
	restored, err := Restore(store, FirstID("a"), numberedIDs("a"))
	must.NoError(t, err)
	must.Eq(t, FirstID("a"), restored.ID)
	for n := range int64(5) {
		must.NoError(t, store.Save(2, recordWithVote(n+1)))
		must.NoError(t, store.Save(3, recordWithVote(n+1)))
	}
	list, err := store.recordFiles(2)
	must.NoError(t, err)
	path := filepath.Join(dir, list[0].name)
	whole, err := os.ReadFile(path)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(path, whole[:len(whole)/2], 0o644))

	again := openTestStore(t, dir)
	_, _, err = again.Load(2)
	must.ErrorIs(t, err, ErrDamaged)
	restored, err = Restore(again, FirstID("a"), numberedIDs("a"))
	must.NoError(t, err)
	must.Eq(t, []int{2}, restored.Damaged)
	must.Eq(t, "a/fresh1", restored.ID)
	must.Eq(t, messages.Record{}, restored.Records[2])
	must.Eq(t, withoutVotes(recordWithVote(5)).Committed.Version, restored.Records[3].Committed.Version)
	must.Eq(t, messages.Ballot{}, restored.Records[3].Promised)
	must.NoError(t, again.Save(2, recordWithVote(9)))

	restored, err = Restore(openTestStore(t, dir), FirstID("a"), numberedIDs("b"))
	must.NoError(t, err)
	must.Eq(t, "a/fresh1", restored.ID, must.Sprint("once is enough"))
	must.Eq(t, int64(9), restored.Records[2].Promised.N)
}

// Without its identity a member is nobody that it was, also where it would found
// a group: its first identity is known from the seeds and has voted.
func TestLostIdentityIsNotBootstrappedAgain(t *testing.T) {
	for _, spoil := range []func(path string) error{os.Remove, func(path string) error { return os.Truncate(path, 3) }} {
		dir := t.TempDir()
		store := openTestStore(t, dir)
		_, err := Restore(store, FirstID("a"), numberedIDs("a"))
		must.NoError(t, err)
		must.NoError(t, store.Save(1, recordWithVote(4)))
		must.NoError(t, spoil(filepath.Join(dir, identityFile)))
		restored, err := Restore(openTestStore(t, dir), FirstID("a"), numberedIDs("a"))
		must.NoError(t, err)
		must.Eq(t, "a/fresh1", restored.ID)
		must.Eq(t, messages.Ballot{}, restored.Records[1].Promised)
		must.Eq(t, int64(1), restored.Records[1].Committed.Version, must.Sprint("what is committed is true whoever knows it"))
	}
}

// A full disk refuses, and attempts leave nothing behind; when there is room the
// next write is taken.
func TestFailedSaveLeavesNoFiles(t *testing.T) {
	d := disk.New(3)
	store := openSimulated(t, d)
	must.NoError(t, store.Renew("me"))
	must.NoError(t, store.Save(0, recordWithVote(1)))
	before, _ := d.List()
	d.SetFull(true)
	for n := range int64(50) {
		must.ErrorIs(t, store.Save(0, recordWithVote(n+2)), ErrStore)
	}
	after, _ := d.List()
	must.Eq(t, before, after)
	d.SetFull(false)
	must.NoError(t, store.Save(0, recordWithVote(99)))
	record, ok, err := store.Load(0)
	must.NoError(t, err)
	must.True(t, ok)
	must.Eq(t, int64(99), record.Promised.N)
}

// What 2,000 changes leave on the disk is one file a part and the identity.
func TestOldRecordFilesAreRemoved(t *testing.T) {
	d := disk.New(4)
	store := openSimulated(t, d)
	must.NoError(t, store.Renew("me"))
	for n := range int64(2000) {
		must.NoError(t, store.Save(int(n)%Parts, recordWithVote(n+1)))
		names, err := d.List()
		must.NoError(t, err)
		must.LessEq(t, Parts+1, len(names))
		for _, name := range names {
			must.False(t, strings.HasSuffix(name, temporarySuffix))
		}
	}
}

// The list of runners and notes of leases may be kept by several at a time.
func TestConcurrentKeepOfSameFile(t *testing.T) {
	d, err := NewDiskStore(t.TempDir())
	must.NoError(t, err)
	var group sync.WaitGroup
	faults := make(chan error, 400)
	for range 8 {
		group.Go(func() {
			for range 50 {
				faults <- d.Keep("note", []byte("kept"))
			}
		})
	}
	group.Wait()
	for range cap(faults) {
		must.NoError(t, <-faults)
	}
	kept, ok := d.Note("note")
	must.True(t, ok)
	must.Eq(t, "kept", string(kept))
}
