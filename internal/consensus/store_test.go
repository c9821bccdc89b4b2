package consensus

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// voted is a record whose content shows how many votes were given before it.
func voted(n int64) messages.Record {
	return messages.Record{
		Committed: messages.Value{Version: n / 3, Group: []messages.Member{{ID: "x", Addr: "y"}}, Body: make([]byte, n%50), Stamp: "s"},
		Promised:  messages.Ballot{N: n, Who: "w"},
	}
}

func serialIDs(addr string) func() string {
	n := 0
	return func() string {
		n++
		return fmt.Sprintf("%s/fresh%d", addr, n)
	}
}

// A diskMachine is one member on a simulated disk, with what it has told others.
type diskMachine struct {
	t      *testing.T
	rnd    *rand.Rand
	disk   *disk.Disk
	store  *DiskStore
	fresh  func() string
	id     string
	now    [Parts]int64 // votes of the running process
	told   [Parts]int64 // votes that may have left it
	shown  bool         // its identity may have left it
	ground bool         // something happened that costs an identity
	serial int64
}

// start opens the store; a process that ends meanwhile is started again.
func (m *diskMachine) start() {
	for {
		store, err := OpenDiskStore(m.disk)
		if err == nil {
			var restored Restored
			if restored, err = Restore(store, "", m.fresh); err == nil {
				m.begin(store, restored)
				return
			}
		}
		must.ErrorIs(m.t, err, ErrStore)
		m.disk.SetFull(false)
		if m.rnd.IntN(2) == 0 {
			m.disk.LosePower()
		} else {
			m.disk.Restart()
		}
	}
}

func (m *diskMachine) begin(store *DiskStore, restored Restored) {
	if restored.ID != m.id {
		must.True(m.t, m.ground || !m.shown, must.Sprint("an identity was given up without need"))
		for part, rec := range restored.Records {
			must.Eq(m.t, messages.Ballot{}, rec.Promised, must.Sprintf("part %d: a vote of another identity", part))
		}
		m.told = [Parts]int64{}
	}
	m.id, m.store, m.ground, m.shown = restored.ID, store, false, false
	for part, rec := range restored.Records {
		must.GreaterEq(m.t, m.told[part], rec.Promised.N, must.Sprintf("part %d: an older record under the same identity", part))
		m.now[part] = rec.Promised.N
	}
}

// act gives a vote, repeats one without a write, or meets with trouble.
func (m *diskMachine) act() {
	part := m.rnd.IntN(Parts)
	switch k := m.rnd.IntN(40); {
	case k < 26:
		m.serial++
		if m.store.Save(part, voted(m.serial)) == nil {
			m.now[part], m.told[part], m.shown = m.serial, m.serial, true
		}
	case k < 30:
		if m.store.Settle() == nil {
			m.told[part], m.shown = m.now[part], true
		}
	case k < 31:
		m.disk.SetFull(true)
	case k < 33:
		m.disk.SetFull(false)
	case k < 36:
		m.disk.StopAfter(m.rnd.IntN(14))
	case k < 38:
		m.end(m.disk.Restart)
	case k < 39:
		m.end(m.disk.LosePower)
	default:
		m.damage()
	}
}

func (m *diskMachine) end(how func()) {
	m.disk.SetFull(false)
	how()
	if m.rnd.IntN(3) == 0 {
		m.disk.StopAfter(m.rnd.IntN(30))
	}
	m.start()
}

// damage spoils a file that is in force; the process finds it at its next start.
func (m *diskMachine) damage() {
	m.disk.Restart()
	name := identityFile
	if list, _ := m.store.recordFiles(m.rnd.IntN(Parts)); len(list) > 0 && m.rnd.IntN(4) > 0 {
		name = list[0].name
	}
	m.ground = m.disk.Damage(name) || m.ground
	m.disk.SetFull(false)
	calm := m.rnd.IntN(2) == 0
	if !calm { // the renewal is cut short; a name that was never synced may go, and its damage with it
		m.disk.StopAfter(m.rnd.IntN(30))
	}
	was := m.id
	m.start()
	if calm {
		must.NotEq(m.t, was, m.id, must.Sprint("damage goes unseen"))
	}
}

// What a member has told others is on its disk, or it is somebody else: over
// processes and machines that end at any operation, full disks, names that are
// lost one by one, and damage to what was durable.
func TestNoVoteIsForgottenUnderTheSameIdentity(t *testing.T) {
	histories := uint64(4000)
	if testing.Short() {
		histories = 400
	}
	for seed := range histories {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			m := &diskMachine{t: t, rnd: rand.New(rand.NewPCG(seed, 41)), disk: disk.New(seed), fresh: serialIDs("m")}
			m.start()
			for range 60 {
				m.act()
			}
		})
	}
}

// A write that is cut short at any operation is a file aside: it costs neither
// the record before it nor the identity.
func TestTornWriteAsideNeverCounted(t *testing.T) {
	for seed := range uint64(100) {
		for cut := range 6 {
			d := disk.New(seed)
			store := openSimulated(t, d)
			must.NoError(t, store.Renew("me"))
			must.NoError(t, store.Save(2, voted(7)))
			d.StopAfter(cut)
			acknowledged := store.Save(2, voted(8)) == nil
			d.LosePower()
			restored, err := Restore(openSimulated(t, d), "", serialIDs("other"))
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
func TestRecordFoundAfterAKillIsSettledBeforeAnAnswer(t *testing.T) {
	for seed := range uint64(20) {
		d := disk.New(seed)
		store := openSimulated(t, d)
		must.NoError(t, store.Renew("me"))
		d.StopAfter(4) // create, write, sync, rename
		must.ErrorIs(t, store.Save(2, voted(8)), ErrStore)
		d.Restart()
		registers, err := Open("m", 1, false, nil, nil, openSimulated(t, d), logr.Discard(), nil)
		must.NoError(t, err)
		again := messages.ConsensusRequest{Part: 2, To: "me", Step: messages.Prepare, Slot: 3, Ballot: voted(8).Promised}
		response, err := registers.handleRequest(context.Background(), again)
		must.NoError(t, err)
		must.Eq(t, messages.Granted, response.Verdict)
		d.LosePower()
		restored, err := Restore(openSimulated(t, d), "", serialIDs("other"))
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
func TestDamagedRecordMakesANewMember(t *testing.T) {
	dir := t.TempDir()
	store := openTestStore(t, dir)
	restored, err := Restore(store, FirstID("a"), serialIDs("a"))
	must.NoError(t, err)
	must.Eq(t, FirstID("a"), restored.ID)
	for n := range int64(5) {
		must.NoError(t, store.Save(2, voted(n+1)))
		must.NoError(t, store.Save(3, voted(n+1)))
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
	restored, err = Restore(again, FirstID("a"), serialIDs("a"))
	must.NoError(t, err)
	must.Eq(t, []int{2}, restored.Damaged)
	must.Eq(t, "a/fresh1", restored.ID)
	must.Eq(t, messages.Record{}, restored.Records[2])
	must.Eq(t, withoutVotes(voted(5)).Committed.Version, restored.Records[3].Committed.Version)
	must.Eq(t, messages.Ballot{}, restored.Records[3].Promised)
	must.NoError(t, again.Save(2, voted(9)))

	restored, err = Restore(openTestStore(t, dir), FirstID("a"), serialIDs("b"))
	must.NoError(t, err)
	must.Eq(t, "a/fresh1", restored.ID, must.Sprint("once is enough"))
	must.Eq(t, int64(9), restored.Records[2].Promised.N)
}

// Without its identity a member is nobody that it was, also where it would found
// a group: its first identity is known from the seeds and has voted.
func TestLostIdentityIsNeverTheFirstAgain(t *testing.T) {
	for _, spoil := range []func(path string) error{os.Remove, func(path string) error { return os.Truncate(path, 3) }} {
		dir := t.TempDir()
		store := openTestStore(t, dir)
		_, err := Restore(store, FirstID("a"), serialIDs("a"))
		must.NoError(t, err)
		must.NoError(t, store.Save(1, voted(4)))
		must.NoError(t, spoil(filepath.Join(dir, identityFile)))
		restored, err := Restore(openTestStore(t, dir), FirstID("a"), serialIDs("a"))
		must.NoError(t, err)
		must.Eq(t, "a/fresh1", restored.ID)
		must.Eq(t, messages.Ballot{}, restored.Records[1].Promised)
		must.Eq(t, int64(1), restored.Records[1].Committed.Version, must.Sprint("what is committed is true whoever knows it"))
	}
}

// A full disk refuses, and attempts leave nothing behind; when there is room the
// next write is taken.
func TestFullDiskIsLeftAsItWas(t *testing.T) {
	d := disk.New(3)
	store := openSimulated(t, d)
	must.NoError(t, store.Renew("me"))
	must.NoError(t, store.Save(0, voted(1)))
	before, _ := d.List()
	d.SetFull(true)
	for n := range int64(50) {
		must.ErrorIs(t, store.Save(0, voted(n+2)), ErrStore)
	}
	after, _ := d.List()
	must.Eq(t, before, after)
	d.SetFull(false)
	must.NoError(t, store.Save(0, voted(99)))
	rec, ok, err := store.Load(0)
	must.NoError(t, err)
	must.True(t, ok)
	must.Eq(t, int64(99), rec.Promised.N)
}

// What 2,000 changes leave on the disk is one file a part and the identity.
func TestFilesStayFewOver2000Changes(t *testing.T) {
	d := disk.New(4)
	store := openSimulated(t, d)
	must.NoError(t, store.Renew("me"))
	for n := range int64(2000) {
		must.NoError(t, store.Save(int(n)%Parts, voted(n+1)))
		names, err := d.List()
		must.NoError(t, err)
		must.LessEq(t, Parts+1, len(names))
		for _, name := range names {
			must.False(t, strings.HasSuffix(name, temporarySuffix))
		}
	}
}

// The folder was written by the code of commit b77aa1a.
func TestReadsARecordOfTheEarlierCode(t *testing.T) {
	dir := t.TempDir()
	must.NoError(t, os.CopyFS(dir, os.DirFS("testdata/written-by-b77aa1a")))
	restored, err := Restore(openTestStore(t, dir), "", serialIDs("other"))
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

// The directory was written by the code of commit 611e145: every kind of file that
// a controller keeps on disk (identity, one record a register, the highest fencing
// token used, the runner list).
func TestStoreReadsEveryKindOfFileOfCommit611e145(t *testing.T) {
	dir := t.TempDir()
	must.NoError(t, os.CopyFS(dir, os.DirFS("testdata/written-by-611e145")))
	store := openTestStore(t, dir)
	restored, err := Restore(store, "", serialIDs("other"))
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
	for part, want := range []messages.Record{
		{Committed: committed(10)},
		{Committed: committed(11)},
		{Committed: committed(12), Promised: ballot(2, "promised")},
		{Committed: committed(13), Promised: ballot(3, "promised"), AcceptedAt: ballot(2, "accepted"), Accepted: accepted(14), HasAccepted: true},
		{Committed: committed(14), Promised: ballot(4, "promised"), AcceptedAt: ballot(3, "accepted"), Accepted: accepted(15), HasAccepted: true},
	} {
		must.Eq(t, want, restored.Records[part], must.Sprintf("part %d", part))
	}

	fence, ok := store.Note("acted-2")
	must.True(t, ok)
	must.Eq(t, "17", string(fence))
	encoded, ok := store.Note("runners")
	must.True(t, ok)
	var update messages.News
	_, err = update.UnmarshalMsg(encoded)
	must.NoError(t, err)
	must.Eq(t, []messages.RunnerRecord{{ID: "runner-1", Service: "chat", Addr: "10.0.1.1:8000", Seq: 3}}, update.Runners)
}

// The list of runners and notes of leases may be kept by several at a time.
func TestThoseWhoKeepOneNameGoOneAfterTheOther(t *testing.T) {
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
