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
// start of the first, and the result of a query to witnesses.
func failCalls(r *Replica, addr string, witness Witness) {
	r.RecordFailure(addr, 0, 300_000)
	r.RecordFailure(addr, 300_000, unreachableUs)
	r.RecordWitness(addr, witness, 300_000)
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
	failCalls(r, "b1", WitnessCut)
	failCalls(r, "c1", WitnessCut)
	must.Eq(t, 0, r.Confirmed(), must.Sprint("a2 is reachable and has not acknowledged the add"))
	r.RecordAck("a2", Ack{Held: 1, Durable: true, Zone: "a"})
	must.Eq(t, 1, r.Confirmed())
}

func TestConfirmationWaitsForDownPeers(t *testing.T) {
	r := testReplica()
	r.Append(testAdd(1))
	completeWrite(r)
	failCalls(r, "b1", WitnessDown)
	failCalls(r, "c1", WitnessCut)
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
		failCalls(r, addr, WitnessCut)
	}
	number := r.Append(testAdd(1))
	completeWrite(r)
	must.True(t, r.MayAcknowledge(number, 300_000), must.Sprint("the last calls started when the add arrived"))
	const laterUs = 900_000
	must.False(t, r.MayAcknowledge(number, laterUs), must.Sprint("the same holds for a retry by the client"))
	r.RecordWaiter(laterUs)
	for _, addr := range []string{"a2", "b1", "c1"} {
		must.True(t, r.NeedsCall(addr))
		must.True(t, r.NeedsWitness(addr))
		r.RecordFailure(addr, laterUs, laterUs+150_000)
		must.False(t, r.NeedsCall(addr))
		must.False(t, r.MayAcknowledge(number, laterUs))
		r.RecordWitness(addr, WitnessCut, laterUs)
		must.False(t, r.NeedsWitness(addr))
	}
	must.True(t, r.MayAcknowledge(number, laterUs))
}

// Guards against an add that was acknowledged on fewer disks 307 ms after the end of a partition, as a
// call of 300 ms had begun just before it (model tallies, seed 61353).
func TestSlowCallIsNoEvidenceOfPartition(t *testing.T) {
	r := testReplica()
	const arrivedUs = 700_000
	for _, addr := range []string{"a2", "b1", "c1"} {
		failCalls(r, addr, WitnessCut)
		r.RecordSlowFailure(addr, arrivedUs, arrivedUs+300_000)
		r.RecordWitness(addr, WitnessCut, arrivedUs)
	}
	number := r.Append(testAdd(1))
	completeWrite(r)
	r.RecordWaiter(arrivedUs)
	must.True(t, r.NeedsCall("b1"), must.Sprint("a probe is needed"))
	must.False(t, r.MayAcknowledge(number, arrivedUs))
	for _, addr := range []string{"a2", "b1", "c1"} {
		r.RecordFailure(addr, arrivedUs+300_000, arrivedUs+450_000)
	}
	must.True(t, r.MayAcknowledge(number, arrivedUs))
}

// Guards against review/2: two zones whose processes are dead count as cut off, since no router of
// them answers either, and adds are acknowledged with one copy.
func TestPeerThatRefusesConnectionsIsNotCutOff(t *testing.T) {
	r := testReplica()
	for _, addr := range []string{"a2", "b1", "c1"} {
		failCalls(r, addr, WitnessCut)
	}
	must.True(t, r.CanConfirm())
	const arrivedUs = 700_000
	number := r.Append(testAdd(1))
	completeWrite(r)
	for _, addr := range []string{"a2", "b1", "c1"} {
		r.RecordRefusal(addr, arrivedUs, arrivedUs+1_000)
		r.RecordWitness(addr, WitnessCut, arrivedUs)
	}
	must.False(t, r.CanConfirm())
	must.False(t, r.MayAcknowledge(number, arrivedUs))
	for _, addr := range []string{"a2", "b1", "c1"} {
		r.RecordFailure(addr, arrivedUs+100_000, arrivedUs+250_000)
		r.RecordWitness(addr, WitnessCut, arrivedUs+100_000)
	}
	must.True(t, r.MayAcknowledge(number, arrivedUs), must.Sprint("the machines have fallen silent"))
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
