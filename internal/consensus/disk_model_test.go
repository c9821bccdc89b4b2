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
	t            *testing.T
	rnd          *rand.Rand
	disk         *disk.Disk
	store        *DiskStore
	newID        func() string
	id           string
	currentVotes [Parts]int64 // votes of the current process
	sentVotes    [Parts]int64 // votes that may have been sent
	identitySent bool         // the identity may have been sent
	identityLost bool         // a file was damaged, so the identity may change
	serial       int64
}

// start opens the store, and restarts the process if it is killed meanwhile.
func (d *diskModel) start() {
	for {
		store, err := OpenDiskStore(d.disk)
		if err == nil {
			var restored Restored
			if restored, err = Restore(store, "", d.newID); err == nil {
				d.begin(store, restored)
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

// begin checks the restored state against the identity and votes that were sent before.
func (d *diskModel) begin(store *DiskStore, restored Restored) {
	if restored.ID != d.id {
		must.True(d.t, d.identityLost || !d.identitySent, must.Sprint("the identity changed although no file was damaged"))
		for part, record := range restored.Records {
			must.Eq(d.t, messages.Ballot{}, record.Promised, must.Sprintf("part %d: restored a vote of an earlier identity", part))
		}
		d.sentVotes = [Parts]int64{}
	}
	d.id, d.store, d.identityLost, d.identitySent = restored.ID, store, false, false
	for part, record := range restored.Records {
		must.GreaterEq(d.t, d.sentVotes[part], record.Promised.N, must.Sprintf("part %d: restored an older record under the same identity", part))
		d.currentVotes[part] = record.Promised.N
	}
}

// step saves a vote, repeats one without a write, or injects a fault.
func (d *diskModel) step() {
	part := d.rnd.IntN(Parts)
	switch k := d.rnd.IntN(40); {
	case k < 26:
		d.serial++
		if d.store.Save(part, recordWithVote(d.serial)) == nil {
			d.currentVotes[part], d.sentVotes[part], d.identitySent = d.serial, d.serial, true
		}
	case k < 30:
		if d.store.Sync() == nil {
			d.sentVotes[part], d.identitySent = d.currentVotes[part], true
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
		d.damage()
	}
}

// endProcess terminates the process and starts another, which may be killed during its
// start.
func (d *diskModel) endProcess(how func()) {
	d.disk.SetFull(false)
	how()
	if d.rnd.IntN(3) == 0 {
		d.disk.StopAfter(d.rnd.IntN(30))
	}
	d.start()
}

// damage corrupts a file in use and restarts the process, which must detect that.
func (d *diskModel) damage() {
	d.disk.Restart()
	name := identityFile
	if list, _ := d.store.recordFiles(d.rnd.IntN(Parts)); len(list) > 0 && d.rnd.IntN(4) > 0 {
		name = list[0].name
	}
	d.identityLost = d.disk.Damage(name) || d.identityLost
	d.disk.SetFull(false)
	calm := d.rnd.IntN(2) == 0
	if !calm { // ResetIdentity may be interrupted; a file name that was never synced may be lost, and the damaged file with it
		d.disk.StopAfter(d.rnd.IntN(30))
	}
	was := d.id
	d.start()
	if calm {
		must.NotEq(d.t, was, d.id, must.Sprint("the damage was not detected"))
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
