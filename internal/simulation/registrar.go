// Registrars: controllers as far as runners are concerned. Each has a registry, sends
// the others what it is the first to know as a stream of deltas, and draws its own
// conclusions from silence.

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

// Waits of runners and registrars.
const (
	heartbeatUs   = 1_200 * Millisecond
	flushEveryUs  = 60 * Millisecond
	compareUs     = Second
	sweepEveryUs  = 500 * Millisecond
	contactUs     = lease.ContactUs
	recallEveryUs = 5 * Second
)

// silence is after how many heartbeats missed a runner counts as stale and lost.
var silence = registry.SilenceLimitsFor(heartbeatUs)

// registrar is one controller's part in knowing the runners.
type registrar struct {
	fleet   *fleet
	addr    string
	process *Process
	kept    []messages.RunnerRecord // what its disk would recall

	// What follows is gone with each life of the process.
	runners *registry.Registry
	stream  *statesync.Entries
	mirrors map[string]*statesync.Entries // the others' streams, by address
	reached map[string]int64              // when another last answered
}

func (r *registrar) boot() {
	r.process.Start()
	r.fleet.epoch++
	r.runners, r.stream = registry.New(), statesync.NewEntries()
	r.stream.Begin(r.fleet.epoch, 0)
	r.mirrors, r.reached = map[string]*statesync.Entries{}, map[string]int64{}
	for _, other := range r.fleet.registrars {
		r.mirrors[other.addr] = statesync.NewEntries()
	}
	for _, record := range r.kept {
		record.Stale, record.Lost = false, false
		r.runners.Merge(record, r.process.NowUs())
	}
	r.fleet.every(r.process, flushEveryUs, r.flush)
	r.fleet.every(r.process, compareUs, r.compare)
	r.fleet.every(r.process, sweepEveryUs, r.sweep)
	r.fleet.every(r.process, recallEveryUs, func() { r.kept = r.records() })
}

// records lists what the registry holds, in order.
func (r *registrar) records() []messages.RunnerRecord {
	all := r.runners.All()
	slices.SortFunc(all, func(a, b messages.RunnerRecord) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// heartbeat takes one from a runner and passes it on at once.
func (r *registrar) heartbeat(record messages.RunnerRecord) {
	r.hear(record)
	for _, other := range r.others() {
		r.fleet.network.Send(r.addr, other.addr, func() {
			other.process.Deliver(func() { other.hear(record) })
		})
	}
}

func (r *registrar) hear(record messages.RunnerRecord) {
	if r.runners.ApplyHeartbeat(record, r.process.NowUs()) {
		r.tell(record.ID)
	}
}

func (r *registrar) leave(id string) {
	if _, changed := r.runners.Leave(id, r.process.NowUs()); changed {
		r.tell(id)
	}
}

// tell has the next flush send records as they are now.
func (r *registrar) tell(ids ...string) {
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
		to.process.Deliver(func() { to.take(r, change) })
	})
}

// take applies what another tells, and asks again where it does not fit.
func (r *registrar) take(from *registrar, change statesync.Change[string, string]) {
	switch r.mirrors[from.addr].Apply(change) {
	case statesync.VersionGap, statesync.DigestMismatch:
		r.ask(from)
		return
	case statesync.AlreadyApplied:
		return
	}
	changed, malformed := r.runners.MergeChange(change, r.process.NowUs())
	if malformed > 0 {
		r.fleet.kernel.Fail("%d records of runners do not read", malformed)
	}
	r.tell(changed...)
}

// ask names what is held of another's stream and gets what is lacking.
func (r *registrar) ask(of *registrar) {
	epoch, version := r.mirrors[of.addr].Cursor()
	r.fleet.network.Send(r.addr, of.addr, func() {
		of.process.Deliver(func() {
			if change, lacks := of.stream.DeltaSince(epoch, version); lacks {
				of.send(r, change)
			}
		})
	})
}

// compare asks every other registrar for what is lacking of its stream and for
// heartbeats of runners that are silent here.
func (r *registrar) compare() {
	silent := r.runners.SilentRunners(r.process.NowUs(), silence)
	for _, other := range r.others() {
		r.ask(other)
		r.askForHeartbeats(other, silent)
	}
}

// askForHeartbeats is the call that also shows that another is in reach.
func (r *registrar) askForHeartbeats(of *registrar, silent []messages.LastHeartbeat) {
	net, life, sentUs := r.fleet.network, r.process.life, r.process.NowUs()
	net.Send(r.addr, of.addr, func() {
		of.process.Deliver(func() {
			heard := of.runners.LaterHeartbeats(silent, of.process.NowUs())
			net.Send(of.addr, r.addr, r.process.inLifeOf(life, func() {
				r.reached[of.addr] = max(r.reached[of.addr], sentUs)
				r.tell(r.runners.ApplyLaterHeartbeats(heard, sentUs, r.process.NowUs())...)
			}))
		})
	})
}

// inContact tells whether a majority of the registrars answers.
func (r *registrar) inContact() bool {
	near := 1
	for _, other := range r.others() {
		sentUs, ever := r.reached[other.addr]
		if ever && r.process.NowUs()-sentUs < contactUs {
			near++
		}
	}
	return near > len(r.fleet.registrars)/2
}

// sweep draws this registrar's conclusions, and brings the stream to what the
// registry holds.
func (r *registrar) sweep() {
	for _, record := range r.runners.Sweep(r.process.NowUs(), silence, r.inContact()) {
		r.tell(record.ID)
	}
	if err := r.runners.Sync(r.stream); err != nil {
		r.fleet.kernel.Fail("a runner's record does not marshal: %v", err)
	}
}

// listed tells whether a runner may be sent requests, as this registrar sees it.
func (r *registrar) listed(id string) bool {
	record, ok := r.runners.Snapshot().ByID[id]
	return ok && !record.Stale && !record.Gone && !record.Lost
}

func registrarName(i int) string { return fmt.Sprintf("r%d", i+1) }
