package tally

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func testAdd(id int) Add { return Add{Tally: "t", Key: KeyOf("t", fmt.Sprint(id)), Amount: 1} }

// testReplica returns a replica in zone a with one peer in each of the zones a, b and c.
func testReplica() *Replica {
	r := NewReplica(Config{Origin: "self", Zone: "a", Durable: true, Quorum: QuorumFor(2, 1)}, NewSet())
	r.SetPeers([]string{"a2", "b1", "c1"})
	for _, addr := range []string{"a2", "b1", "c1"} {
		r.RecordAck(addr, Ack{Durable: true, Zone: addr[:1]})
	}
	return r
}

func completeWrite(r *Replica) {
	r.BeginWrite(100)
	r.EndWrite(true)
}

// failCalls records two failed calls to a peer, the second of which ends unreachableUs after the
// start of the first, and an examination that finds the path to it cut, or nothing.
func failCalls(r *Replica, addr string, pathCut bool) {
	r.RecordFailure(addr, 0, 300_000)
	r.RecordFailure(addr, 300_000, unreachableUs)
	r.RecordExamination(addr, Examination{ProbedUs: 300_000, PathCut: pathCut})
}

func TestConfirmedRequiresZoneQuorum(t *testing.T) {
	r := testReplica()
	number := r.Append(testAdd(1))
	must.Eq(t, 1, number)
	completeWrite(r)
	r.RecordAck("a2", Ack{Held: 1, Durable: true, Zone: "a"})
	must.Eq(t, 0, r.Confirmed())
	r.RecordAck("b1", Ack{Held: 1, Durable: true, Zone: "b"})
	must.Eq(t, 1, r.Confirmed())
}

func TestConfirmedRequiresDiskQuorum(t *testing.T) {
	r := testReplica()
	r.Append(testAdd(1))
	completeWrite(r)
	r.RecordAck("b1", Ack{Held: 1, Durable: true, Zone: "b"})
	must.Eq(t, 0, r.Confirmed())
	r.RecordAck("c1", Ack{Held: 1, Durable: false, Zone: "c"})
	must.Eq(t, 0, r.Confirmed())
	r.RecordAck("c1", Ack{Held: 1, Durable: true, Zone: "c"})
	must.Eq(t, 1, r.Confirmed())
}

func TestAddIsSentOnlyAfterLocalWrite(t *testing.T) {
	r := testReplica()
	r.Append(testAdd(1))
	_, needed := r.NextOutgoing("b1")
	must.False(t, needed)
	must.SliceEmpty(t, r.Since(Vector{}, 10))
	completeWrite(r)
	next, needed := r.NextOutgoing("b1")
	must.True(t, needed)
	must.Eq(t, Run{Origin: "self", First: 1, Adds: []Add{testAdd(1)}}, next.Run)
	must.Len(t, 1, r.Since(Vector{}, 10))
}

func TestCutOffReplicaConfirmsWithReachablePeers(t *testing.T) {
	r := testReplica()
	r.Append(testAdd(1))
	completeWrite(r)
	failCalls(r, "b1", true)
	failCalls(r, "c1", true)
	must.Eq(t, 0, r.Confirmed(), must.Sprint("a2 is reachable and has not acknowledged the add"))
	r.RecordAck("a2", Ack{Held: 1, Durable: true, Zone: "a"})
	must.Eq(t, 1, r.Confirmed())
}

func TestConfirmationWaitsForPeersThatMayBeDown(t *testing.T) {
	r := testReplica()
	r.Append(testAdd(1))
	completeWrite(r)
	failCalls(r, "b1", false)
	failCalls(r, "c1", true)
	r.RecordAck("a2", Ack{Held: 1, Durable: true, Zone: "a"})
	must.Eq(t, 0, r.Confirmed())
	must.False(t, r.CanConfirm())
	r.RecordAnswer("b1")
	must.True(t, r.CanConfirm())
	r.RecordAck("b1", Ack{Held: 1, Durable: true, Zone: "b"})
	must.Eq(t, 1, r.Confirmed())
}

// A partition may have healed after the last evidence of it, so that evidence must not allow the
// acknowledgement of a request that arrived later.
func TestAddIsNotAcknowledgedByOlderCutEvidence(t *testing.T) {
	r := testReplica()
	for _, addr := range []string{"a2", "b1", "c1"} {
		failCalls(r, addr, true)
	}
	number := r.Append(testAdd(1))
	completeWrite(r)
	must.True(t, r.MayAcknowledge(number, 300_000, 450_000), must.Sprint("the probes were sent when the add arrived"))
	const arrivedUs = 900_000
	must.False(t, r.MayAcknowledge(number, arrivedUs, arrivedUs), must.Sprint("the same holds for a retry by the client"))
	must.False(t, r.NeedsExamination())
	r.BeginWait()
	must.True(t, r.NeedsExamination())
	for _, addr := range []string{"a2", "b1", "c1"} {
		must.False(t, r.MayAcknowledge(number, arrivedUs, arrivedUs+150_000))
		r.RecordFailure(addr, arrivedUs, arrivedUs+150_000)
		r.RecordExamination(addr, Examination{ProbedUs: arrivedUs, PathCut: true})
	}
	must.True(t, r.MayAcknowledge(number, arrivedUs, arrivedUs+150_000))
	r.EndWait()
	must.False(t, r.NeedsExamination())
}

// Guards against an add that is acknowledged on fewer disks 277 ms after the end of a partition (model
// tallies-memory, seed 14): the probe was younger than the add, and older than the witness.
func TestAddIsNotAcknowledgedByEvidenceThatHasAged(t *testing.T) {
	r := testReplica()
	number := r.Append(testAdd(1))
	completeWrite(r)
	for _, addr := range []string{"a2", "b1", "c1"} {
		failCalls(r, addr, true)
	}
	const probedUs = 300_000
	must.True(t, r.MayAcknowledge(number, 0, probedUs+maxEvidenceAgeUs))
	must.False(t, r.MayAcknowledge(number, 0, probedUs+maxEvidenceAgeUs+1))
	r.RecordExamination("b1", Examination{ProbedUs: probedUs + 200_000, PathCut: true})
	must.False(t, r.MayAcknowledge(number, 0, probedUs+maxEvidenceAgeUs+1), must.Sprint("that of a2 and c1 is as old as before"))
}

// Guards against an add that was acknowledged on fewer disks 307 ms after the end of a partition, as a
// call of 300 ms had begun just before it (model tallies, seed 61353).
func TestSlowCallIsNoEvidenceOfPartition(t *testing.T) {
	r := testReplica()
	const arrivedUs = 400_000
	for _, addr := range []string{"a2", "b1", "c1"} {
		failCalls(r, addr, true)
		r.RecordFailure(addr, arrivedUs, arrivedUs+300_000)
	}
	number := r.Append(testAdd(1))
	completeWrite(r)
	r.BeginWait()
	must.True(t, r.NeedsExamination(), must.Sprint("a probe is needed"))
	must.False(t, r.MayAcknowledge(number, arrivedUs, arrivedUs+300_000))
	for _, addr := range []string{"a2", "b1", "c1"} {
		r.RecordExamination(addr, Examination{ProbedUs: arrivedUs + 300_000, PathCut: true})
	}
	must.True(t, r.MayAcknowledge(number, arrivedUs, arrivedUs+450_000))
}

// Guards against review/2, and the same with zones that fall silent: two zones without power count as
// cut off, since no router of them answers either, and adds are acknowledged with one copy.
func TestPeersThatNoWitnessReachesAreNotCutOff(t *testing.T) {
	r := testReplica()
	for _, addr := range []string{"a2", "b1", "c1"} {
		failCalls(r, addr, false)
	}
	must.False(t, r.CanConfirm())
	const arrivedUs = 700_000
	number := r.Append(testAdd(1))
	completeWrite(r)
	for _, addr := range []string{"a2", "b1", "c1"} {
		r.RecordFailure(addr, arrivedUs, arrivedUs+1_000)
		r.RecordExamination(addr, Examination{ProbedUs: arrivedUs})
	}
	must.False(t, r.MayAcknowledge(number, arrivedUs, arrivedUs+1_000))
	for _, addr := range []string{"a2", "b1"} {
		r.RecordExamination(addr, Examination{ProbedUs: arrivedUs, PathCut: true})
	}
	must.False(t, r.CanConfirm())
	must.False(t, r.MayAcknowledge(number, arrivedUs, arrivedUs+150_000), must.Sprint("c1 may be without power"))
}

// Evidence ends with the next answer of the peer: what follows may be a loss of power.
func TestAnswerEndsEvidenceOfPartition(t *testing.T) {
	r := testReplica()
	failCalls(r, "b1", true)
	failCalls(r, "c1", true)
	r.RecordAnswer("b1")
	r.RecordExamination("b1", Examination{ProbedUs: 650_000, PathCut: true})
	r.RecordFailure("b1", 700_000, 1_000_000)
	r.RecordFailure("b1", 1_000_000, 1_300_000)
	must.True(t, r.Unreachable("b1"))
	must.False(t, r.CanConfirm(), must.Sprint("the examination ended after an answer"))
}

func TestFailingNamesPeersWhoseCopiesCount(t *testing.T) {
	r := testReplica()
	r.SetPeers([]string{"a2", "b1", "c1", "b9"})
	ackFrom(r, "b9", 0, false)
	must.SliceEmpty(t, r.Failing())
	for _, addr := range []string{"c1", "b9", "a2"} {
		r.RecordFailure(addr, 0, 1_000)
	}
	must.Eq(t, []PeerID{{Addr: "a2", Zone: "a"}, {Addr: "c1", Zone: "c"}}, r.Failing())
	inMemory := memoryReplica()
	ackFrom(inMemory, "b1", 0, true)
	inMemory.RecordFailure("b1", 0, 1_000)
	must.SliceEmpty(t, inMemory.Failing(), must.Sprint("it never accepts fewer disks"))
}

func TestPeerIsUnreachableAfterSustainedFailures(t *testing.T) {
	r := testReplica()
	r.RecordFailure("b1", 0, 300_000)
	must.False(t, r.Unreachable("b1"))
	r.RecordAnswer("b1")
	r.RecordFailure("b1", 500_000, 800_000)
	must.False(t, r.Unreachable("b1"))
	r.RecordFailure("b1", 800_000, 1_100_000)
	must.True(t, r.Unreachable("b1"))
	r.RecordAck("b1", Ack{Durable: true, Zone: "b"})
	must.False(t, r.Unreachable("b1"))
}

func TestRepeatedAddKeepsItsNumber(t *testing.T) {
	r := testReplica()
	must.Eq(t, 1, r.Append(testAdd(1)))
	must.Eq(t, 2, r.Append(testAdd(2)))
	must.Eq(t, 1, r.Append(testAdd(1)))
	r.Merge([]Run{{Origin: "other", First: 1, Adds: []Add{testAdd(3)}}})
	must.Eq(t, 3, r.Append(testAdd(3)), must.Sprint("the other replica may be lost, so this one appends the add to its own log"))
	must.Eq(t, 3, r.Append(testAdd(3)))
	must.Eq(t, 3, r.Set().Total("t"))
}

func TestPeerThatLostItsDiskReceivesWholeLog(t *testing.T) {
	r := testReplica()
	for id := range 5 {
		r.Append(testAdd(id))
	}
	completeWrite(r)
	r.RecordAck("b1", Ack{Held: 5, Durable: true, Zone: "b"})
	_, needed := r.NextOutgoing("b1")
	must.False(t, needed)
	r.RecordAck("b1", Ack{Held: 0, Durable: true, Zone: "b"})
	next, needed := r.NextOutgoing("b1")
	must.True(t, needed)
	must.Len(t, 5, next.Adds)
}

func TestFullReplicaReservesRoomForPeerAdds(t *testing.T) {
	r := NewReplica(Config{Origin: "self", Durable: true, MaxAdds: 20}, NewSet())
	for id := range 18 {
		must.False(t, r.Full())
		r.Append(testAdd(id))
	}
	must.True(t, r.Full())
	for id := range 5 {
		r.Merge([]Run{{Origin: "other", First: uint64(id) + 1, Adds: []Add{testAdd(100 + id)}}})
	}
	must.Eq(t, 20, r.Set().Len())
}
