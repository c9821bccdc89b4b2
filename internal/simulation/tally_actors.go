package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/simulation/disk"
	"beechtide.org/beechtide/internal/tally"
)

// Timeouts and intervals of a replica's driver, as in package controller.
const (
	tallyCallWaitUs         = 300 * Millisecond
	tallyProbeWaitUs        = 150 * Millisecond
	tallyRetryDelayUs       = 50 * Millisecond
	tallyUnreachableDelayUs = 400 * Millisecond
	tallyExaminationDelayUs = 400 * Millisecond
	tallyLateUs             = 150 * Millisecond
	tallyAppendWaitUs       = 250 * Millisecond
	tallyCompareUs          = 500 * Millisecond
	tallySettleUs           = 1500 * Millisecond
	tallyAddWaitUs          = 950 * Millisecond
	tallyWitnessWaitUs      = 250 * Millisecond
	tallyReachWaitUs        = 150 * Millisecond
	tallyPollUs             = 5 * Millisecond // poll interval of waiting calls
	tallyBatchSize          = 200
)

// tallyMachine is the machine of a replica.
type tallyMachine struct {
	addr           string
	zone           string
	disk           *disk.Disk // nil on a machine without one
	stalledUntilUs int64
	dark           bool // without power the machine says nothing, and does not refuse connections
}

// tallyReplica models the tally part of a controller.
type tallyReplica struct {
	tallyMachine
	history *tallyHistory
	process *Process

	log            *tally.Log
	replica        *tally.Replica
	writeScheduled bool                     // a write is in progress or scheduled
	idlePeers      map[string]*tallyReplica // replicas that had no outgoing adds at the last check
	ready          bool
	pulled         map[string]bool
	differing      map[string]bool
	starts         int
	bootUs         int64 // start of the current process by the simulation's clock
}

func (r *tallyReplica) bootIfDown() {
	if !r.process.Up() {
		r.boot()
	}
}

func (r *tallyReplica) boot() {
	r.process.Start()
	r.starts++
	r.dark = false
	r.bootUs = r.history.kernel.NowUs()
	r.writeScheduled, r.ready, r.pulled, r.differing = false, false, map[string]bool{}, map[string]bool{}
	r.idlePeers = map[string]*tallyReplica{}
	if r.replica = r.openReplica(); r.replica == nil { // the disk is full: the process exits and is restarted
		r.process.After(200*Millisecond, func() {
			r.process.Stop()
			r.disk.Restart()
			r.boot()
		})
		return
	}
	var addrs []string
	for _, other := range r.history.replicas {
		if other != r {
			addrs = append(addrs, other.addr)
		}
	}
	r.replica.SetPeers(addrs)
	for _, other := range r.history.replicas {
		if other != r {
			r.process.After(0, func() { r.sendTo(other) })
			r.process.After(r.history.kernel.Between(0, tallyCompareUs), func() { r.compareWith(other) })
		}
	}
	r.process.After(0, r.checkReady)
	r.process.After(0, r.examineFailing)
}

// openReplica returns the replica with what is on the disk, and nil if that takes no writes.
func (r *tallyReplica) openReplica() *tally.Replica {
	config := tally.Config{Zone: r.zone, Durable: r.disk != nil, Quorum: tally.QuorumFor(maxLostDisks, 1)}
	if r.history.defects.AckOnOneDisk {
		config.Quorum = tally.QuorumFor(0, 0)
	}
	if r.disk == nil {
		config.Origin = r.newOrigin()
		return tally.NewReplica(config, tally.NewSet())
	}
	opened, err := tally.OpenLog(r.disk, r.newOrigin)
	if err != nil {
		return nil
	}
	r.log, config.Origin = opened.Log, opened.Origin
	return tally.NewReplica(config, opened.Set)
}

// refuses reports whether the machine refuses connections to the process, which is down or could
// not open its log.
func (r *tallyReplica) refuses() bool {
	return !r.dark && (!r.process.Up() || r.replica == nil)
}

// wake starts the writer and the idle senders, as the driver does after each change.
func (r *tallyReplica) wake() {
	if !r.writeScheduled {
		r.writeScheduled = true
		r.write()
	}
	for _, addr := range sortedKeys(r.idlePeers) {
		other := r.idlePeers[addr]
		r.process.After(0, func() { r.sendTo(other) })
	}
	clear(r.idlePeers)
}

func (r *tallyReplica) newOrigin() tally.Origin {
	if r.history.defects.KeepOriginAfterDiskLoss {
		return tally.Origin(r.addr)
	}
	return tally.Origin(fmt.Sprintf("%s-%d", r.addr, r.starts))
}

// checkReady mirrors the driver: the replica serves requests only after it has pulled from every
// other replica or found it unreachable.
func (r *tallyReplica) checkReady() {
	if r.ready {
		return
	}
	waits := false
	for _, other := range r.history.replicas {
		waits = waits || other != r && !r.pulled[other.addr] && !r.replica.Unreachable(other.addr)
	}
	waits = waits && !r.history.defects.AnswerBeforeQuery
	if r.ready = !waits && (len(r.pulled) > 0 || r.process.NowUs() > tallySettleUs || r.history.defects.AnswerBeforeQuery); !r.ready {
		r.process.After(20*Millisecond, r.checkReady)
		return
	}
	r.history.checks.becameReady(r)
}

// write writes adds to the disk. A sync takes a while; a power loss during it loses the adds.
func (r *tallyReplica) write() {
	k := r.history.kernel
	delay := k.Between(Millisecond, 6*Millisecond)
	if k.NowUs() < r.stalledUntilUs {
		delay += r.stalledUntilUs - k.NowUs()
	}
	r.process.After(delay, func() {
		if k.NowUs() < r.stalledUntilUs {
			r.write()
			return
		}
		runs := r.replica.BeginWrite(tallyBatchSize)
		if r.writeScheduled = len(runs) > 0; !r.writeScheduled {
			return
		}
		err := r.log.Resume()
		if err == nil {
			err = r.log.Write(runs)
		}
		r.replica.EndWrite(err == nil)
		r.write()
		r.wake()
	})
}

// call sends a request to another replica and runs the response handler, or failed after a
// timeout.
func (r *tallyReplica) call(other *tallyReplica, serve func(answer func(func())), failed func()) {
	sentUs := r.process.NowUs()
	r.callFor(other, tallyCallWaitUs, serve, func() {
		if nowUs := r.process.NowUs(); nowUs-sentUs < tallyCallWaitUs+tallyLateUs {
			r.replica.RecordFailure(other.addr, sentUs, nowUs)
		}
		failed()
	})
}

// callFor sends a request and runs the response handler, or failed after waitUs or when the connection is
// refused: by the other machine, or by what cuts the path.
func (r *tallyReplica) callFor(other *tallyReplica, waitUs int64, serve func(answer func(func())), failed func()) {
	life, ended := r.process.life, false
	net := r.history.network
	fail := r.process.inLifeOf(life, func() {
		if !ended {
			ended = true
			failed()
		}
	})
	if net.Link(r.addr, other.addr).Refusals > 0 {
		r.process.After(r.history.kernel.Between(0, 4*Millisecond), fail)
		return
	}
	net.Send(r.addr, other.addr, func() {
		if other.refuses() {
			net.Send(other.addr, r.addr, fail)
			return
		}
		other.process.Deliver(func() {
			serve(func(receive func()) {
				net.Send(other.addr, r.addr, r.process.inLifeOf(life, func() {
					if !ended {
						ended = true
						r.replica.RecordAnswer(other.addr)
						receive()
					}
				}))
			})
		})
	})
	r.process.After(waitUs, fail)
}

// sendTo sends another replica the adds that it lacks, for as long as this process runs.
func (r *tallyReplica) sendTo(other *tallyReplica) {
	again := func() { r.pauseAfterFailure(other) }
	if !r.pulled[other.addr] {
		r.pull(other, func() {
			r.pulled[other.addr] = true
			r.sendTo(other)
		}, again)
		return
	}
	next, wanted := r.replica.NextOutgoing(other.addr)
	if !wanted {
		r.idlePeers[other.addr] = other
		return
	}
	runs := []tally.Run{}
	if len(next.Adds) > 0 {
		runs = append(runs, next.Run)
	}
	r.call(other, func(answer func(func())) { other.handleRuns(next.Origin, runs, answer, r) }, again)
}

// pauseAfterFailure waits before the next call. The pause for an unreachable replica ends early when a
// probe reaches it.
func (r *tallyReplica) pauseAfterFailure(other *tallyReplica) {
	again := func(bool) { r.sendTo(other) }
	r.process.After(tallyRetryDelayUs, func() {
		if !r.replica.Unreachable(other.addr) {
			again(true)
			return
		}
		r.pollUntil(r.process.NowUs()+tallyUnreachableDelayUs, func() bool { return !r.replica.Unreachable(other.addr) }, again)
	})
}

// handleRuns merges another replica's adds and responds when they are on disk or the wait times
// out.
func (r *tallyReplica) handleRuns(origin tally.Origin, runs []tally.Run, answer func(func()), from *tallyReplica) {
	r.replica.Merge(runs)
	r.wake()
	held, untilUs := r.replica.Set().LogLength(origin), r.process.NowUs()+tallyAppendWaitUs
	r.pollUntil(untilUs, func() bool { return r.replica.Durable(origin) >= held }, func(bool) {
		ack := tally.Ack{Held: r.replica.Durable(origin), Durable: r.disk != nil || r.history.defects.CountMemory, Zone: r.zone}
		answer(func() {
			from.replica.RecordAck(r.addr, ack)
			from.process.After(0, func() { from.sendTo(r) })
		})
	})
}

// pollUntil polls a condition until it holds or deadlineUs has passed.
func (r *tallyReplica) pollUntil(untilUs int64, holds func() bool, then func(ok bool)) {
	if ok := holds(); ok || r.process.NowUs() >= untilUs {
		then(ok)
		return
	}
	r.process.After(tallyPollUs, func() { r.pollUntil(untilUs, holds, then) })
}

// pull fetches the adds that this replica lacks from another one.
func (r *tallyReplica) pull(other *tallyReplica, done, failed func()) {
	vector, before := r.replica.Set().Vector(), r.replica.Set().Len()
	r.call(other, func(answer func(func())) {
		runs := other.replica.Since(vector, tallyBatchSize)
		more := countAdds(runs) >= tallyBatchSize
		encoded := tally.EncodeRuns(runs)
		answer(func() {
			runs, err := tally.DecodeRuns(encoded)
			if err != nil {
				r.history.kernel.Fail("%s cannot read what %s has sent: %v", r.addr, other.addr, err)
				return
			}
			r.replica.Merge(runs)
			r.wake()
			if more && r.replica.Set().Len() > before {
				r.pull(other, done, failed)
				return
			}
			done()
		})
	}, failed)
}

func countAdds(runs []tally.Run) int {
	count := 0
	for _, run := range runs {
		count += len(run.Adds)
	}
	return count
}

// compareWith periodically compares digests with another replica and pulls from it if they
// differ twice in a row, or at the first comparison.
func (r *tallyReplica) compareWith(other *tallyReplica) {
	defer r.process.After(tallyCompareUs, func() { r.compareWith(other) })
	if r.history.defects.SkipLogPull {
		return
	}
	r.call(other, func(answer func(func())) {
		digest := other.replica.Set().Digest()
		answer(func() {
			r.replica.SetCore(r.otherCoreAddrs())
			before, known := r.differing[other.addr]
			differs := digest != r.replica.Set().Digest()
			r.differing[other.addr] = differs
			if differs && (before || !known) {
				r.pull(other, func() {}, func() {})
			}
		})
	}, func() { delete(r.differing, other.addr) })
}

// otherCoreAddrs returns the other members of the group of the configuration, which controllers
// learn from each other.
func (r *tallyReplica) otherCoreAddrs() []string {
	var addrs []string
	for _, other := range r.history.core() {
		if other != r {
			addrs = append(addrs, other.addr)
		}
	}
	return addrs
}

// handleAdd handles a client's add. answer receives false if the add was rejected or its outcome is
// unknown.
func (r *tallyReplica) handleAdd(add tally.Add, answer func(number uint64, ok bool)) {
	if r.replica == nil || !r.ready || !r.replica.CanConfirm() {
		answer(0, false)
		return
	}
	number, arrivedUs := r.replica.Append(add), r.process.NowUs()
	r.replica.BeginWait()
	r.wake()
	acknowledged := func() bool {
		if r.history.defects.AcceptOldEvidence {
			return r.replica.MayAcknowledge(number, 0, 0)
		}
		return r.replica.MayAcknowledge(number, arrivedUs, r.process.NowUs())
	}
	ended := func() bool { return acknowledged() || r.replica.Unconfirmable(number) }
	r.pollUntil(r.process.NowUs()+tallyAddWaitUs, ended, func(bool) {
		r.replica.EndWait()
		answer(number, acknowledged())
	})
}
