package simulation

import (
	"slices"

	"beechtide.org/beechtide/internal/tally"
)

// tallyExamination is the examination of one peer, as in package controller/tallies: a witness is
// queried, and queried again while the peer is probed.
type tallyExamination struct {
	peer     *tallyReplica
	witness  *tallyRouter // a router that reached the peer; nil if none did
	reached  bool         // the witness has reached the peer during the probe too
	answered bool         // the peer has answered the probe
	refused  int          // probes that were refused or timed out
}

// probesPerExamination is how many probes are sent at a time, as one may be lost.
const probesPerExamination = 2

// ended reports whether a probe's result is known.
func (e *tallyExamination) ended() bool {
	return e.witness == nil || e.answered || e.refused == probesPerExamination && e.reached
}

// examineFailing examines the peers to which calls fail, for as long as this process runs.
func (r *tallyReplica) examineFailing() {
	failing := r.replica.Failing()
	if len(failing) == 0 {
		r.process.After(tallyPollUs, r.examineFailing)
		return
	}
	var examinations []*tallyExamination
	for _, peer := range failing {
		e := &tallyExamination{peer: replicaAt(r.history.replicas, peer.Addr)}
		examinations = append(examinations, e)
		r.findWitness(e)
	}
	found := func() bool { return allOf(examinations, func(e *tallyExamination) bool { return e.witness != nil }) }
	r.pollUntil(r.process.NowUs()+tallyWitnessWaitUs, found, func(bool) { r.probeAll(examinations) })
}

// findWitness queries all routers about a peer.
func (r *tallyReplica) findWitness(e *tallyExamination) {
	for _, router := range r.history.routers {
		r.queryWitness(router, e.peer, func() {
			if e.witness == nil {
				e.witness = router
			}
		})
	}
}

// probeAll probes all peers that a witness has reached, and records the results.
func (r *tallyReplica) probeAll(examinations []*tallyExamination) {
	probedUs := r.process.NowUs()
	for _, e := range examinations {
		if r.history.defects.TreatSilenceAsPartition {
			e.witness, e.reached = r.history.routers[0], true
		}
		if e.witness != nil {
			r.probe(e)
		}
	}
	ended := func() bool { return allOf(examinations, (*tallyExamination).ended) }
	r.pollUntil(probedUs+tallyProbeWaitUs, ended, func(bool) {
		for _, e := range examinations {
			if !e.answered {
				r.replica.RecordExamination(e.peer.addr, tally.Examination{ProbedUs: probedUs, PathCut: e.witness != nil && e.reached})
			}
		}
		r.process.After(tallyRetryDelayUs, func() {
			untilUs := r.process.NowUs() + tallyExaminationDelayUs
			r.pollUntil(untilUs, r.replica.NeedsExamination, func(bool) { r.examineFailing() })
		})
	})
}

// probe probes a peer while the witness is queried again.
func (r *tallyReplica) probe(e *tallyExamination) {
	r.queryWitness(e.witness, e.peer, func() { e.reached = true })
	for range probesPerExamination {
		answered := func(answer func(func())) { answer(func() { e.answered = true }) }
		r.callFor(e.peer, tallyProbeWaitUs, answered, func() { e.refused++ })
	}
}

// allOf reports whether a condition holds for all examinations.
func allOf(examinations []*tallyExamination, condition func(*tallyExamination) bool) bool {
	for _, e := range examinations {
		if !condition(e) {
			return false
		}
	}
	return true
}

// replicaAt returns the replica with an address.
func replicaAt(replicas []*tallyReplica, addr string) *tallyReplica {
	return replicas[slices.IndexFunc(replicas, func(r *tallyReplica) bool { return r.addr == addr })]
}

// queryWitness asks a router whether it reaches a peer.
func (r *tallyReplica) queryWitness(router *tallyRouter, peer *tallyReplica, reached func()) {
	net, reached := r.history.network, r.process.InLife(reached)
	net.Send(r.addr, router.addr, func() {
		router.process.Deliver(func() {
			router.reach(peer, func() { net.Send(router.addr, r.addr, reached) })
		})
	})
}

// tallyRouter is a router that checks, as a witness, whether it reaches a replica.
type tallyRouter struct {
	history *tallyHistory
	addr    string
	zone    string
	process *Process
}

func (r *tallyRouter) startIfDown() {
	if !r.process.Up() {
		r.process.Start()
	}
}

// reach calls a replica, and runs reached if that answers in time.
func (r *tallyRouter) reach(peer *tallyReplica, reached func()) {
	net, untilUs := r.history.network, r.process.NowUs()+tallyReachWaitUs
	net.Send(r.addr, peer.addr, func() {
		if peer.refuses() {
			return
		}
		peer.process.Deliver(func() {
			net.Send(peer.addr, r.addr, r.process.InLife(func() {
				if r.process.NowUs() <= untilUs {
					reached()
				}
			}))
		})
	})
}
