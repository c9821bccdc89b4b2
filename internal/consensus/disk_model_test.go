package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/simulation/disk"
)

// recordWithVote returns a record whose promised ballot number is n, the serial number of
// the vote.
func recordWithVote(n int64) messages.Record {
	return messages.Record{
		Committed: messages.Value{Version: n / 3, Group: []messages.Member{{ID: "x", Addr: "y"}}, Body: make([]byte, n%50), Stamp: "s"},
		Promised:  messages.Ballot{N: n, Who: "w"},
	}
}

// numberedIDs returns a generator of identities with consecutive numbers.
func numberedIDs(addr string) func() string {
	n := 0
	return func() string {
		n++
		return fmt.Sprintf("%s/fresh%d", addr, n)
	}
}

// diskModel simulates one member on a simulated disk, and records the votes that other
// members may have received.
type diskModel struct {
	t                 *testing.T
	rnd               *rand.Rand
	disk              *disk.Disk
	store             *DiskStore
	newID             func() string
	id                string
	currentVotes      [RegisterCount]int64 // votes of the current process
	sentVotes         [RegisterCount]int64 // votes that may have been sent
	identitySent      bool                 // the identity may have been sent
	identityMayChange bool                 // a file was damaged, so the identity may change
	serial            int64
}

// start opens the store, and restarts the process if it is killed meanwhile.
func (d *diskModel) start() {
	for {
		store, err := OpenDiskStore(d.disk)
		if err == nil {
			var restored Restored
			if restored, err = Restore(store, "", d.newID); err == nil {
				d.checkRestored(store, restored)
				return
			}
		}
		must.ErrorIs(d.t, err, ErrStore)
		d.disk.SetFull(false)
		if d.rnd.IntN(2) == 0 {
			d.disk.LosePower()
		} else {
			d.disk.Restart()
		}
	}
}

// checkRestored checks the restored state against the identity and votes that were sent before.
func (d *diskModel) checkRestored(store *DiskStore, restored Restored) {
	if restored.ID != d.id {
		must.True(d.t, d.identityMayChange || !d.identitySent, must.Sprint("the identity changed although no file was damaged"))
		for index, record := range restored.Records {
			must.Eq(d.t, messages.Ballot{}, record.Promised, must.Sprintf("register %d: restored a vote of an earlier identity", index))
		}
		d.sentVotes = [RegisterCount]int64{}
	}
	d.id, d.store, d.identityMayChange, d.identitySent = restored.ID, store, false, false
	for index, record := range restored.Records {
		must.GreaterEq(d.t, d.sentVotes[index], record.Promised.N, must.Sprintf("register %d: restored an older record under the same identity", index))
		d.currentVotes[index] = record.Promised.N
	}
}

// step saves a vote, repeats one without a write, or injects a fault.
func (d *diskModel) step() {
	index := d.rnd.IntN(RegisterCount)
	switch k := d.rnd.IntN(40); {
	case k < 26:
		d.serial++
		if d.store.Save(index, recordWithVote(d.serial)) == nil {
			d.currentVotes[index], d.sentVotes[index], d.identitySent = d.serial, d.serial, true
		}
	case k < 30:
		if d.store.Sync() == nil {
			d.sentVotes[index], d.identitySent = d.currentVotes[index], true
		}
	case k < 31:
		d.disk.SetFull(true)
	case k < 33:
		d.disk.SetFull(false)
	case k < 36:
		d.disk.StopAfter(d.rnd.IntN(14))
	case k < 38:
		d.endProcess(d.disk.Restart)
	case k < 39:
		d.endProcess(d.disk.LosePower)
	default:
		d.corruptFile()
	}
}

// endProcess terminates the process and starts another, which may be killed during its
// start.
func (d *diskModel) endProcess(terminate func()) {
	d.disk.SetFull(false)
	terminate()
	if d.rnd.IntN(3) == 0 {
		d.disk.StopAfter(d.rnd.IntN(30))
	}
	d.start()
}

// corruptFile corrupts a file in use and restarts the process, which must detect that.
func (d *diskModel) corruptFile() {
	d.disk.Restart()
	name := identityFile
	if files, _ := d.store.recordFiles(d.rnd.IntN(RegisterCount)); len(files) > 0 && d.rnd.IntN(4) > 0 {
		name = files[0].name
	}
	d.identityMayChange = d.disk.CorruptByte(name) || d.identityMayChange
	d.disk.SetFull(false)
	uninterrupted := d.rnd.IntN(2) == 0
	if !uninterrupted { // ResetIdentity may be interrupted; a file name that was never synced may be lost, and the damaged file with it
		d.disk.StopAfter(d.rnd.IntN(30))
	}
	previousID := d.id
	d.start()
	if uninterrupted {
		must.NotEq(d.t, previousID, d.id, must.Sprint("the damage was not detected"))
	}
}

// After every restart, each vote that may have been sent is restored, or the identity has
// changed. Processes are killed and power is lost at any operation of the disk, disks are
// full, single file names are lost, and durable files are corrupted.
func TestVotesSurviveUnderSameIdentity(t *testing.T) {
	histories := uint64(4000)
	if testing.Short() {
		histories = 400
	}
	for seed := range histories {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			m := &diskModel{t: t, rnd: rand.New(rand.NewPCG(seed, 41)), disk: disk.New(seed), newID: numberedIDs("m")}
			m.start()
			for range 60 {
				m.step()
			}
		})
	}
}
