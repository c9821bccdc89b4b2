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

// A write that is interrupted at any operation loses neither the earlier record nor the
// identity, and a temporary file that it leaves is ignored.
func TestTornTemporaryFileIsIgnored(t *testing.T) {
	for seed := range uint64(100) {
		for cut := range 6 {
			d := disk.New(seed)
			store := openSimulated(t, d)
			must.NoError(t, store.ResetIdentity("me"))
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

// A process is killed after a record was renamed and before the directory was synced. The
// next process loads the record and repeats its vote without a write. It must sync the
// directory first, or a loss of power would undo the vote.
func TestDirectoryIsSyncedBeforeFirstVoteAfterKill(t *testing.T) {
	for seed := range uint64(20) {
		d := disk.New(seed)
		store := openSimulated(t, d)
		must.NoError(t, store.ResetIdentity("me"))
		d.StopAfter(4) // create, write, sync, rename
		must.ErrorIs(t, store.Save(2, recordWithVote(8)), ErrStore)
		d.Restart()
		registers, err := Open("m", 1, false, nil, nil, openSimulated(t, d), logr.Discard(), nil)
		must.NoError(t, err)
		repeated := messages.ConsensusRequest{Part: 2, To: "me", Step: messages.Prepare, Slot: 3, Ballot: recordWithVote(8).Promised}
		response, err := registers.handleRequest(context.Background(), repeated)
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
	t.Helper()
	store, err := OpenDiskStore(d)
	must.NoError(t, err)
	return store
}

func openTestStore(t *testing.T, dir string) *DiskStore {
	t.Helper()
	store, err := NewDiskStore(dir)
	must.NoError(t, err)
	return store
}

// A record that is damaged after it was durable means lost votes: no older record is
// restored, the member adopts a new identity in all registers, is not a founder even if
// bootstrap is set, and can save again.
func TestDamagedRecordChangesIdentity(t *testing.T) {
	dir := t.TempDir()
	store := openTestStore(t, dir)
	restored, err := Restore(store, BootstrapID("a"), numberedIDs("a"))
	must.NoError(t, err)
	must.Eq(t, BootstrapID("a"), restored.ID)
	for n := range int64(5) {
		must.NoError(t, store.Save(2, recordWithVote(n+1)))
		must.NoError(t, store.Save(3, recordWithVote(n+1)))
	}
	files, err := store.recordFiles(2)
	must.NoError(t, err)
	path := filepath.Join(dir, files[0].name)
	content, err := os.ReadFile(path)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(path, content[:len(content)/2], 0o644))

	reopened := openTestStore(t, dir)
	_, _, err = reopened.Load(2)
	must.ErrorIs(t, err, ErrDamaged)
	restored, err = Restore(reopened, BootstrapID("a"), numberedIDs("a"))
	must.NoError(t, err)
	must.Eq(t, []int{2}, restored.Damaged)
	must.Eq(t, "a/fresh1", restored.ID)
	must.Eq(t, messages.Record{}, restored.Records[2])
	must.Eq(t, withoutVotes(recordWithVote(5)).Committed.Version, restored.Records[3].Committed.Version)
	must.Eq(t, messages.Ballot{}, restored.Records[3].Promised)
	must.NoError(t, reopened.Save(2, recordWithVote(9)))

	restored, err = Restore(openTestStore(t, dir), BootstrapID("a"), numberedIDs("b"))
	must.NoError(t, err)
	must.Eq(t, "a/fresh1", restored.ID, must.Sprint("the identity must change only once"))
	must.Eq(t, int64(9), restored.Records[2].Promised.N)
}

// A member whose identity file is lost adopts a new identity, even if bootstrap is set: it
// may have voted under the bootstrap identity.
func TestLostIdentityIsNotBootstrappedAgain(t *testing.T) {
	for _, damage := range []func(path string) error{os.Remove, func(path string) error { return os.Truncate(path, 3) }} {
		dir := t.TempDir()
		store := openTestStore(t, dir)
		_, err := Restore(store, BootstrapID("a"), numberedIDs("a"))
		must.NoError(t, err)
		must.NoError(t, store.Save(1, recordWithVote(4)))
		must.NoError(t, damage(filepath.Join(dir, identityFile)))
		restored, err := Restore(openTestStore(t, dir), BootstrapID("a"), numberedIDs("a"))
		must.NoError(t, err)
		must.Eq(t, "a/fresh1", restored.ID)
		must.Eq(t, messages.Ballot{}, restored.Records[1].Promised)
		must.Eq(t, int64(1), restored.Records[1].Committed.Version, must.Sprint("the committed value must be retained"))
	}
}

// Failed writes to a full disk leave no files, and once there is space the next write
// succeeds.
func TestFailedSaveLeavesNoFiles(t *testing.T) {
	d := disk.New(3)
	store := openSimulated(t, d)
	must.NoError(t, store.ResetIdentity("me"))
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

// Over 2,000 saves the disk has at most one file per register and the identity.
func TestOldRecordFilesAreRemoved(t *testing.T) {
	d := disk.New(4)
	store := openSimulated(t, d)
	must.NoError(t, store.ResetIdentity("me"))
	for n := range int64(2000) {
		must.NoError(t, store.Save(int(n)%RegisterCount, recordWithVote(n+1)))
		names, err := d.List()
		must.NoError(t, err)
		must.LessEq(t, RegisterCount+1, len(names))
		for _, name := range names {
			must.False(t, strings.HasSuffix(name, temporarySuffix))
		}
	}
}

// Several goroutines may write the same file concurrently, as they do with the runner list
// and fencing tokens.
func TestConcurrentWritesOfSameFileAreSerialized(t *testing.T) {
	store, err := NewDiskStore(t.TempDir())
	must.NoError(t, err)
	var group sync.WaitGroup
	errs := make(chan error, 400)
	for range 8 {
		group.Go(func() {
			for range 50 {
				errs <- store.WriteFile("note", []byte("kept"))
			}
		})
	}
	group.Wait()
	for range cap(errs) {
		must.NoError(t, <-errs)
	}
	content, ok := store.ReadFile("note")
	must.True(t, ok)
	must.Eq(t, "kept", string(content))
}
