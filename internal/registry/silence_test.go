package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const (
	heartbeatUs = 1_200_000
	sweepUs     = 500_000
	secondUs    = 1_000_000
)

var testLimits = SilenceLimitsFor(heartbeatUs)

func recordAt(id, address string, seq int64) messages.RunnerRecord {
	n := newRecord(id, seq)
	n.Addr = address
	return n
}

// A controller is partitioned from the core for 20 s. Each side receives the heartbeats of
// one runner only, and after the partition heals each sends the other all its records.
// Guards against a merge that copies the other side's stale and lost flags.
func TestMergeIgnoresLivenessOfPartitionedObserver(t *testing.T) {
	partitioned, core := New(), New()
	for _, r := range []*Registry{partitioned, core} {
		r.ApplyHeartbeat(recordAt("here", "1:1", 1), 1)
		r.ApplyHeartbeat(recordAt("there", "2:1", 1), 1)
	}
	seq := int64(1)
	now := int64(1)
	for ; now < 20*secondUs; now += sweepUs {
		seq++
		partitioned.ApplyHeartbeat(recordAt("here", "1:1", seq), now)
		core.ApplyHeartbeat(recordAt("there", "2:1", seq), now)
		must.SliceEmpty(t, partitioned.Sweep(now, testLimits, false))
		core.Sweep(now, testLimits, true)
	}
	must.MapLen(t, 2, partitioned.Snapshot().ByID)
	must.False(t, partitioned.Snapshot().ByID["there"].Stale)
	must.MapNotContainsKey(t, core.Snapshot().ByID, "here", must.Sprint("lost at the observer in contact"))
	must.SliceEmpty(t, partitioned.Sweep(now, testLimits, true), must.Sprint("partition healed, no record received yet"))
	for _, n := range core.All() {
		partitioned.Merge(n, now)
	}
	for _, n := range partitioned.All() {
		core.Merge(n, now)
	}
	must.MapLen(t, 2, partitioned.Snapshot().ByID, must.Sprint("the lost flag of the core is not merged"))
	must.MapLen(t, 2, core.Snapshot().ByID, must.Sprint("a higher sequence clears the lost flag"))
	must.SliceEmpty(t, partitioned.Sweep(now, testLimits, true))
}

func TestSuspendedObserverMarksNoRunner(t *testing.T) {
	r := New()
	r.ApplyHeartbeat(recordAt("x", "1:1", 1), 1)
	r.ApplyHeartbeat(recordAt("y", "2:1", 1), 1)
	r.Sweep(sweepUs, testLimits, true)
	resumeUs := int64(60 * secondUs)
	r.ApplyHeartbeat(recordAt("y", "2:1", 50), resumeUs)
	must.SliceEmpty(t, r.Sweep(resumeUs, testLimits, true))
	must.MapLen(t, 2, r.Snapshot().ByID)
}

// Loss of contact is detected some time after the last message of a majority. Silence in
// that time was not observed and must not count.
func TestTimeBeforeDetectedContactLossIsNotSilence(t *testing.T) {
	r := New()
	r.ApplyHeartbeat(recordAt("there", "2:1", 1), 1)
	now := int64(1)
	advance := func(untilUs int64, inContact bool) {
		for ; now < untilUs; now += sweepUs {
			r.ApplyHeartbeat(recordAt("here", "1:1", now), now)
			r.Sweep(now, testLimits, inContact)
		}
	}
	advance(testLimits.StaleUs+secondUs, true)
	must.True(t, r.Snapshot().ByID["there"].Stale)
	advance(now+10*secondUs, false)
	must.False(t, r.Snapshot().ByID["there"].Stale, must.Sprint("the last 1.5 s were out of contact"))
	for range 20 {
		advance(now+secondUs, true)
		advance(now+secondUs, false)
	}
	advance(now+testLimits.LostUs+secondUs, true)
	must.MapNotContainsKey(t, r.Snapshot().ByID, "there", must.Sprint("silence counted in earlier contact periods stays counted"))
}

func TestLostRunnerReturnsByNextHeartbeatOnly(t *testing.T) {
	r := New()
	r.ApplyHeartbeat(recordAt("x", "1:1", 7), 1)
	for now := int64(sweepUs); now < 30*secondUs; now += sweepUs {
		r.ApplyHeartbeat(recordAt("y", "2:1", now), now)
		r.Sweep(now, testLimits, true)
	}
	must.MapNotContainsKey(t, r.Snapshot().ByID, "x")
	must.False(t, r.ApplyHeartbeat(recordAt("x", "1:1", 7), 30*secondUs), must.Sprint("a duplicated datagram"))
	must.False(t, r.Merge(recordAt("x", "1:1", 7), 30*secondUs))
	must.MapNotContainsKey(t, r.Snapshot().ByID, "x")
	must.True(t, r.ApplyHeartbeat(recordAt("x", "1:1", 8), 31*secondUs))
	must.False(t, r.Snapshot().ByID["x"].Stale)
}

// An address belongs to the runner last seen there; the effect of a late heartbeat is
// corrected by the next heartbeat.
func TestNewerRunnerTakesOverAddress(t *testing.T) {
	r := New()
	r.ApplyHeartbeat(recordAt("old", "1:1", 5), 1)
	must.True(t, r.ApplyHeartbeat(recordAt("new", "1:1", 1), 2))
	must.MapNotContainsKey(t, r.Snapshot().ByID, "old")
	changed := r.Sweep(3, testLimits, true)
	must.Len(t, 1, changed)
	must.Eq(t, "old", changed[0].ID)
	r.ApplyHeartbeat(recordAt("old", "1:1", 6), 4)
	r.ApplyHeartbeat(recordAt("new", "1:1", 2), 5)
	must.MapContainsKey(t, r.Snapshot().ByID, "new")
	must.MapNotContainsKey(t, r.Snapshot().ByID, "old")
}

func TestMirrorAppliesLivenessAndDeleteUnlistedRemovesRunner(t *testing.T) {
	r := New()
	r.Mirror(recordAt("x", "1:1", 9), 1)
	lost := recordAt("x", "1:1", 4)
	lost.Lost = true
	must.True(t, r.Mirror(lost, 2))
	must.MapEmpty(t, r.Snapshot().ByID)
	must.True(t, r.Mirror(recordAt("x", "1:1", 4), 3), must.Sprint("another parent receives its heartbeats"))
	listsNone := func(string) bool { return false }
	must.False(t, r.DeleteUnlisted(listsNone, 10))
	must.False(t, r.DeleteUnlisted(listsNone, unlistedLimitUs))
	must.True(t, r.DeleteUnlisted(listsNone, unlistedLimitUs+11))
	must.SliceEmpty(t, r.All())
}

// clusterSim simulates observers and runners with a seeded sequence of heartbeats, crashes,
// leaves, restarts at the same address, partitions and suspended processes.
type clusterSim struct {
	rnd              *rand.Rand
	observers        []*Registry
	partitionedUntil []int64
	suspendedUntil   []int64
	live             map[string]messages.RunnerRecord
	ended            map[string]bool
	started          int
	nowUs            int64
}

func newClusterSim(seed uint64) *clusterSim {
	w := &clusterSim{rnd: rand.New(rand.NewPCG(seed, 5)), partitionedUntil: make([]int64, 3), suspendedUntil: make([]int64, 3), live: map[string]messages.RunnerRecord{}, ended: map[string]bool{}}
	for range 3 {
		w.observers = append(w.observers, New())
	}
	for i := range 6 {
		w.startRunner(fmt.Sprint("10.0.0.", i, ":1"))
	}
	return w
}

func (w *clusterSim) startRunner(address string) {
	w.started++
	id := fmt.Sprint("r", w.started)
	w.live[id] = recordAt(id, address, 0)
}

// step simulates half a second: each runner sends a heartbeat to one observer, which
// forwards it to the observers that it reaches.
func (w *clusterSim) step(healthy bool) {
	w.nowUs += sweepUs
	if !healthy {
		w.injectFault()
	}
	for id, n := range w.live {
		n.Seq++
		w.live[id] = n
		first := w.rnd.IntN(3)
		for i, o := range w.observers {
			reached := i == first || !w.partitioned(first) && !w.partitioned(i) && w.rnd.IntN(10) > 0
			if reached && w.nowUs >= w.suspendedUntil[i] {
				o.ApplyHeartbeat(n, w.nowUs)
			}
		}
	}
	for i, o := range w.observers {
		if w.nowUs >= w.suspendedUntil[i] {
			o.Sweep(w.nowUs, testLimits, !w.partitioned(i))
		}
	}
	w.exchangeRecords()
}

func (w *clusterSim) partitioned(i int) bool { return w.nowUs < w.partitionedUntil[i] }

func (w *clusterSim) exchangeRecords() {
	for i, from := range w.observers {
		for j, to := range w.observers {
			if i == j || w.partitioned(i) || w.partitioned(j) || w.nowUs < max(w.suspendedUntil[i], w.suspendedUntil[j]) {
				continue
			}
			for _, n := range from.All() {
				to.Merge(n, w.nowUs)
			}
		}
	}
}

func (w *clusterSim) injectFault() {
	target := w.rnd.IntN(3)
	switch w.rnd.IntN(30) {
	case 0:
		w.partitionedUntil[target] = w.nowUs + int64(1+w.rnd.IntN(25))*secondUs
	case 1:
		w.suspendedUntil[target] = w.nowUs + int64(1+w.rnd.IntN(10))*secondUs
	case 2, 3:
		w.endRunner(w.rnd.IntN(2) == 0)
	}
}

// endRunner removes a runner, with or without a leave message, and starts a new one at its
// address.
func (w *clusterSim) endRunner(leaves bool) {
	for id, n := range w.live {
		delete(w.live, id)
		w.ended[id] = true
		if leaves {
			w.observers[w.rnd.IntN(3)].Leave(id, w.nowUs)
		}
		w.startRunner(n.Addr)
		return
	}
}

// requireListsLive checks that every observer lists all live runners, none as stale.
func (w *clusterSim) requireListsLive(t *testing.T, seed uint64) {
	t.Helper()
	for i, o := range w.observers {
		for id := range w.live {
			n, ok := o.Snapshot().ByID[id]
			must.True(t, ok && !n.Stale, must.Sprintf("seed %d: observer %d does not list live %s", seed, i, id))
		}
	}
}

// run simulates steps without faults for the given time.
func (w *clusterSim) run(forUs int64) {
	for range forUs / sweepUs {
		w.step(true)
	}
}

func TestObserversAgreeOnLiveRunnersAfterHeal(t *testing.T) {
	for seed := range uint64(50) {
		w := newClusterSim(seed)
		for range 240 {
			w.step(false)
		}
		w.partitionedUntil, w.suspendedUntil = make([]int64, 3), make([]int64, 3)
		w.run(2*sweepUs + 2*heartbeatUs)
		w.requireListsLive(t, seed)
		w.run(2 * 12 * heartbeatUs)
		for i, o := range w.observers {
			must.MapLen(t, len(w.live), o.Snapshot().ByID, must.Sprintf("seed %d: observer %d lists ended runners", seed, i))
		}
		w.run(2 * removedRetentionUs)
		for _, o := range w.observers {
			must.Len(t, len(w.live), o.All(), must.Sprintf("seed %d: entries of ended runners do not expire", seed))
		}
	}
}
