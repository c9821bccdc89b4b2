// The replica of the tallies on this machine: package tally decides, and this file gives it
// the time, the disk and the other replicas.

package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/filesystem"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/tally"
)

const (
	// tallyPeerInterval is how often the set of replicas is brought up to date.
	tallyPeerInterval = 200 * time.Millisecond
	// tallyCallWait bounds a call to another replica. Two that end without an answer are
	// enough to show that it is out of reach.
	tallyCallWait = 300 * time.Millisecond
	// tallyProbeWait is the same for a call to one that is out of reach, which it answers
	// without its disk.
	tallyProbeWait = 150 * time.Millisecond
	// tallyLateWait is by how much more than its bound a failed call may have lasted to show
	// anything: longer, and this process stood still.
	tallyLateWait = 150 * time.Millisecond
	// tallyPause is the time between calls to a replica that fail.
	tallyPause = 50 * time.Millisecond
	// tallyIdlePause is the same for one that is out of reach.
	tallyIdlePause = 400 * time.Millisecond
	// tallyDiskPause is the time between writes to a disk that fail.
	tallyDiskPause = 200 * time.Millisecond
	// tallyAppendWait bounds how long the answer to another replica waits for the disk.
	tallyAppendWait = 250 * time.Millisecond
	// tallyBatch is how many adds are written, or sent, at a time.
	tallyBatch = 2000
	// tallySettleTime is how long after its start a replica that has found nobody waits
	// before it answers.
	tallySettleTime = 1500 * time.Millisecond
)

// tallies is safe for concurrent use.
type tallies struct {
	controller *Controller
	log        *tally.Log    // nil on machines without a disk; used by write alone
	closed     chan struct{} // closed once nothing is written any more

	mu        sync.Mutex // guards what follows
	replica   *tally.Replica
	changed   chan struct{}                 // closed, and made anew, with every change of the replica
	senders   map[string]context.CancelFunc // by address of the replica that is sent to
	asked     map[string]bool               // replicas that have been asked for what this one lacked at its start
	differing map[string]bool               // replicas whose digest differed at the last comparison
	ready     bool
	diskErr   error
	diskBytes int64
	pulled    int64 // adds that came by a pull
	late      int64 // adds whose callers were not answered in time
}

// tallyBytesPerAdd is the room that an add takes on the disk, and in memory, at the most: with
// what compaction needs beside it.
const (
	tallyDiskBytesPerAdd   = 32
	tallyMemoryBytesPerAdd = 64
	// tallyDiskPart and tallyMemoryPart are the parts of the machine's disk and of the
	// process's memory that tallies may take.
	tallyDiskPart   = 0.5
	tallyMemoryPart = 0.3
	bytesPerMB      = 1 << 20
)

// maxTallyAdds bounds the adds that this machine can hold; 0: no bound.
func (d *Controller) maxTallyAdds() int {
	bound := 0
	if d.set.Limits.DiskMb > 0 {
		bound = int(float64(d.set.Limits.DiskMb) * bytesPerMB * tallyDiskPart / tallyDiskBytesPerAdd)
	}
	if memory := int(float64(d.set.Limits.MemoryMb) * bytesPerMB * tallyMemoryPart / tallyMemoryBytesPerAdd); memory > 0 && (bound == 0 || memory < bound) {
		bound = memory
	}
	return bound
}

func newOrigin() tally.Origin { return tally.Origin(fmt.Sprintf("%016x", rand.Uint64())) }

// newTallies reads what the disk holds.
func newTallies(d *Controller) (*tallies, error) {
	t := &tallies{controller: d, changed: make(chan struct{}), closed: make(chan struct{}), senders: map[string]context.CancelFunc{}, asked: map[string]bool{}, differing: map[string]bool{}}
	config := tally.Config{
		Zone: d.set.Zone, Durable: d.set.DataDir != "", MaxAdds: d.maxTallyAdds(),
		Quorum: tally.QuorumFor(d.set.Tolerance.Machines, d.set.Tolerance.Zones),
	}
	if !config.Durable {
		config.Origin = newOrigin()
		t.replica = tally.NewReplica(config, tally.NewSet())
		return t, nil
	}
	files, err := filesystem.Open(filepath.Join(d.set.DataDir, "tallies"))
	if err != nil {
		return nil, errors.Wrap(err, "controller: directory of the tallies")
	}
	opened, err := tally.OpenLog(files, newOrigin)
	if err != nil && opened.Log == nil {
		return nil, err
	}
	if len(opened.Damaged) > 0 {
		d.log.Info("segments of tallies are damaged; what they held is fetched from other replicas", "segments", opened.Damaged)
	}
	t.log, t.diskBytes = opened.Log, opened.Log.Size()
	config.Origin = opened.Origin
	t.replica = tally.NewReplica(config, opened.Set)
	if err != nil {
		d.log.Error(err, "tallies cannot be written yet")
		t.replica.RewriteAll()
	}
	d.log.Info("tallies read", "origin", opened.Origin, "adds", opened.Set.Len(), "bytes", t.diskBytes)
	return t, nil
}

// run works until ctx ends.
func (t *tallies) run(ctx context.Context) {
	if t.log != nil {
		go t.write(ctx)
	} else {
		close(t.closed)
	}
	loop.Every(ctx, tallyPeerInterval, func() { t.updatePeers(ctx) })
}

// signal wakes everybody who waits for a change. The caller holds the mutex.
func (t *tallies) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// updatePeers brings the replicas up to date: all controllers that are known.
func (t *tallies) updatePeers(ctx context.Context) {
	addrs := t.controller.knownControllers()
	for _, p := range t.controller.monitor.Alive(messages.Controller) {
		addrs = append(addrs, p.Addr)
	}
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	addrs = slices.DeleteFunc(addrs, func(addr string) bool { return addr == t.controller.transport.Addr() })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replica.SetPeers(addrs)
	t.checkReady(addrs)
	changed := false
	for addr, stop := range t.senders {
		if !slices.Contains(addrs, addr) {
			stop()
			delete(t.senders, addr)
			changed = true
		}
	}
	for _, addr := range addrs {
		if t.senders[addr] == nil {
			sending, stop := context.WithCancel(ctx)
			t.senders[addr] = stop
			changed = true
			go t.sendTo(sending, addr)
			go t.watch(sending, addr)
		}
	}
	if changed {
		t.signal()
	}
}

// checkReady ends the time after the start in which reads would lack what the others have:
// every replica has been asked or is out of reach. The caller holds the mutex.
func (t *tallies) checkReady(addrs []string) {
	if t.ready {
		return
	}
	early := t.controller.clock()-t.controller.startUs < tallySettleTime.Microseconds()
	found := false
	for _, addr := range addrs {
		if !t.asked[addr] && !t.replica.Unreachable(addr) {
			return
		}
		found = found || t.asked[addr]
	}
	if !found && early {
		return
	}
	t.ready = true
	t.controller.log.Info("tallies ready", "adds", t.replica.Set().Len(), "replicas", len(addrs), "asked", len(t.asked))
}

// write brings the adds to the disk, many with one sync.
func (t *tallies) write(ctx context.Context) {
	defer close(t.closed)
	defer t.log.Close()
	for ctx.Err() == nil {
		t.mu.Lock()
		runs, changed := t.replica.Unwritten(tallyBatch), t.changed
		t.mu.Unlock()
		if len(runs) == 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := t.log.Resume()
		if err == nil {
			err = t.log.Write(runs)
		}
		t.writeEnded(err)
		if err != nil {
			loop.Pause(ctx, tallyDiskPause)
		}
	}
}

func (t *tallies) writeEnded(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil && t.diskErr == nil {
		t.controller.log.Error(err, "tallies cannot be written")
	}
	t.diskErr, t.diskBytes = err, t.log.Size()
	t.replica.WriteEnded(err == nil)
	t.signal()
}

// await waits until a condition on the replica holds, and reports whether it does. The
// condition is called with the mutex held.
func (t *tallies) await(ctx context.Context, holds func() bool) bool {
	for {
		t.mu.Lock()
		ok, changed := holds(), t.changed
		t.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// condition is for the doctor.
func (t *tallies) condition() messages.TallyCondition {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := t.replica.Set()
	c := messages.TallyCondition{
		Origin: string(t.replica.Origin()), Adds: int64(set.Len()), Tallies: set.Tallies(), Digest: set.Digest(),
		Unconfirmed: set.Held(t.replica.Origin()) - t.replica.Confirmed(), DiskBytes: t.diskBytes,
		Full: t.replica.Full() || t.diskErr != nil, Starting: !t.ready,
	}
	for addr := range t.senders {
		if t.replica.Unreachable(addr) {
			c.Unreachable = append(c.Unreachable, addr)
		}
	}
	slices.Sort(c.Unreachable)
	return c
}
