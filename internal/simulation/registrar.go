// Model of a controller for the registry of runners. Each one has a registry, sends
// changes to the others as a stream of deltas, and marks silent runners as stale or lost
// by itself.

package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/statesync"
)

// Periods and timeouts of runners and registrars.
const (
	heartbeatUs   = 1_200 * Millisecond
	flushEveryUs  = 60 * Millisecond
	compareUs     = Second
	sweepEveryUs  = 500 * Millisecond
	contactUs     = lease.ContactUs
	recallEveryUs = 5 * Second
)

// silenceLimits holds the numbers of missed heartbeats after which a runner is stale and lost.
var silenceLimits = registry.SilenceLimitsFor(heartbeatUs)

// registrar is the registry side of one controller.
type registrar struct {
	fleet   *fleet
	addr    string
	process *Process
	onDisk  []messages.RunnerRecord // the records on its disk, loaded at the next start

	// The fields below are reset with each life of the process.
	runners        *registry.Registry
	stream         *statesync.Entries
	mirrors        map[string]*statesync.Entries // the others' streams, by address
	lastAnsweredUs map[string]int64              // by address: send time of the last request that was answered
}

func (r *registrar) boot() {
	r.process.Start()
	r.fleet.epoch++
	r.runners, r.stream = registry.New(), statesync.NewEntries()
	r.stream.Begin(r.fleet.epoch, 0)
	r.mirrors, r.lastAnsweredUs = map[string]*statesync.Entries{}, map[string]int64{}
	for _, other := range r.fleet.registrars {
		r.mirrors[other.addr] = statesync.NewEntries()
	}
	for _, record := range r.onDisk {
		record.Stale, record.Lost = false, false
		r.runners.Merge(record, r.process.NowUs())
	}
	r.fleet.every(r.process, flushEveryUs, r.flush)
	r.fleet.every(r.process, compareUs, r.compare)
	r.fleet.every(r.process, sweepEveryUs, r.sweep)
	r.fleet.every(r.process, recallEveryUs, func() { r.onDisk = r.records() })
}

// records returns the records of the registry, ordered by id.
func (r *registrar) records() []messages.RunnerRecord {
	all := r.runners.All()
	slices.SortFunc(all, func(a, b messages.RunnerRecord) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// receiveHeartbeat applies a heartbeat of a runner and forwards it to the other registrars immediately.
func (r *registrar) receiveHeartbeat(record messages.RunnerRecord) {
	r.applyHeartbeat(record)
	for _, other := range r.others() {
		r.fleet.network.Send(r.addr, other.addr, func() {
			other.process.Deliver(func() { other.applyHeartbeat(record) })
		})
	}
}

func (r *registrar) applyHeartbeat(record messages.RunnerRecord) {
	if r.runners.ApplyHeartbeat(record, r.process.NowUs()) {
		r.publish(record.ID)
	}
}

func (r *registrar) leave(id string) {
	if _, changed := r.runners.Leave(id, r.process.NowUs()); changed {
		r.publish(id)
	}
}

// publish publishes the current records to the stream, which the next flush sends.
func (r *registrar) publish(ids ...string) {
	if err := r.runners.Publish(r.stream, ids...); err != nil {
		r.fleet.kernel.Fail("a runner's record does not marshal: %v", err)
	}
}

func (r *registrar) others() []*registrar {
	var out []*registrar
	for _, other := range r.fleet.registrars {
		if other != r {
			out = append(out, other)
		}
	}
	return out
}

func (r *registrar) flush() {
	if !r.stream.Dirty() {
		return
	}
	change := r.stream.Commit(r.stream.Version + 1)
	for _, other := range r.others() {
		r.send(other, change)
	}
}

func (r *registrar) send(to *registrar, change statesync.Change[string, string]) {
	r.fleet.network.Send(r.addr, to.addr, func() {
		to.process.Deliver(func() { to.applyDelta(r, change) })
	})
}

// applyDelta applies a delta of another registrar's stream and requests a new one if it does not apply.
func (r *registrar) applyDelta(from *registrar, change statesync.Change[string, string]) {
	switch r.mirrors[from.addr].Apply(change) {
	case statesync.VersionGap, statesync.DigestMismatch:
		r.requestDelta(from)
		return
	case statesync.AlreadyApplied:
		return
	}
	changed, malformed := r.runners.MergeChange(change, r.process.NowUs())
	if malformed > 0 {
		r.fleet.kernel.Fail("%d records of runners do not read", malformed)
	}
	r.publish(changed...)
}

// requestDelta sends the cursor of another registrar's stream to it, which returns the missing delta.
func (r *registrar) requestDelta(of *registrar) {
	epoch, version := r.mirrors[of.addr].Cursor()
	r.fleet.network.Send(r.addr, of.addr, func() {
		of.process.Deliver(func() {
			if change, lacks := of.stream.DeltaSince(epoch, version); lacks {
				of.send(r, change)
			}
		})
	})
}

// compare requests from every other registrar the missing delta of its stream, and later
// heartbeats of the runners that are silent here.
func (r *registrar) compare() {
	silent := r.runners.SilentRunners(r.process.NowUs(), silenceLimits)
	for _, other := range r.others() {
		r.requestDelta(other)
		r.requestHeartbeats(other, silent)
	}
}

// requestHeartbeats requests later heartbeats. Its response also shows that the other registrar is reachable.
func (r *registrar) requestHeartbeats(of *registrar, silent []messages.LastHeartbeat) {
	network, life, sentUs := r.fleet.network, r.process.life, r.process.NowUs()
	network.Send(r.addr, of.addr, func() {
		of.process.Deliver(func() {
			heard := of.runners.LaterHeartbeats(silent, of.process.NowUs())
			network.Send(of.addr, r.addr, r.process.inLifeOf(life, func() {
				r.lastAnsweredUs[of.addr] = max(r.lastAnsweredUs[of.addr], sentUs)
				r.publish(r.runners.ApplyLaterHeartbeats(heard, sentUs, r.process.NowUs())...)
			}))
		})
	})
}

// inContact reports whether a majority of the registrars, including this one, has answered within contactUs.
func (r *registrar) inContact() bool {
	reachable := 1
	for _, other := range r.others() {
		sentUs, ever := r.lastAnsweredUs[other.addr]
		if ever && r.process.NowUs()-sentUs < contactUs {
			reachable++
		}
	}
	return reachable > len(r.fleet.registrars)/2
}

// sweep marks silent runners as stale or lost, and synchronizes the stream with the
// registry.
func (r *registrar) sweep() {
	for _, record := range r.runners.Sweep(r.process.NowUs(), silenceLimits, r.inContact()) {
		r.publish(record.ID)
	}
	if err := r.runners.Sync(r.stream); err != nil {
		r.fleet.kernel.Fail("a runner's record does not marshal: %v", err)
	}
}

// listed reports whether a runner may receive requests according to this registrar.
func (r *registrar) listed(id string) bool {
	record, ok := r.runners.Snapshot().ByID[id]
	return ok && !record.Stale && !record.Gone && !record.Lost
}

func registrarName(i int) string { return fmt.Sprintf("r%d", i+1) }
