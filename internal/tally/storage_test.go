package tally

import (
	"testing"

	"github.com/shoenig/test/must"
)

// memoryReplica returns a replica without a disk in zone a with one peer in each of the zones a, b
// and c, of which a2 has no disk either.
func memoryReplica() *Replica {
	r := NewReplica(Config{Origin: "self", Zone: "a", Quorum: QuorumFor(1, 1)}, NewSet())
	r.SetPeers([]string{"a2", "b1", "c1"})
	return r
}

func ackFrom(r *Replica, addr string, held uint64, durable bool) {
	r.RecordAck(addr, Ack{Held: held, Durable: durable, Zone: addr[:1]})
}

// Guards against review/1: adds acknowledged by machines without a disk from memory alone are lost
// with them, although the core has disks.
func TestCopiesInMemoryDoNotCountBesideDisks(t *testing.T) {
	r := memoryReplica()
	ackFrom(r, "a2", 0, false)
	ackFrom(r, "b1", 0, true)
	ackFrom(r, "c1", 0, true)
	number := r.Append(testAdd(1))
	ackFrom(r, "a2", number, false)
	must.False(t, r.MayAcknowledge(number, 0, 0))
	ackFrom(r, "b1", number, true)
	must.False(t, r.MayAcknowledge(number, 0, 0), must.Sprint("one disk; this replica's own copy is in memory"))
	ackFrom(r, "c1", number, true)
	must.True(t, r.MayAcknowledge(number, 0, 0))
}

// The core may be away for long, and be removed from the peers: that does not turn a deployment
// with disks into one without.
func TestDisksAreRememberedWhileTheirReplicasAreAway(t *testing.T) {
	r := memoryReplica()
	for _, addr := range []string{"b1", "c1"} {
		ackFrom(r, addr, 0, true)
		failCalls(r, addr, false)
	}
	ackFrom(r, "a2", 0, false)
	must.False(t, r.CanConfirm())
	r.SetPeers([]string{"a2"})
	r.SetCore([]string{"a2"})
	must.False(t, r.CanConfirm())
	number := r.Append(testAdd(1))
	ackFrom(r, "a2", number, false)
	must.False(t, r.MayAcknowledge(number, 0, 0))
	must.Eq(t, 0, r.Confirmed())
}

func TestReplicaWithoutDiskNeverAcceptsFewerDisksDuringPartition(t *testing.T) {
	r := memoryReplica()
	ackFrom(r, "a2", 0, false)
	ackFrom(r, "b1", 0, true)
	ackFrom(r, "c1", 0, true)
	number := r.Append(testAdd(1))
	ackFrom(r, "b1", number, true)
	failCalls(r, "c1", true)
	must.False(t, r.MayAcknowledge(number, 0, 0))
	must.False(t, r.CanConfirm(), must.Sprint("the client is to go on to a replica with a disk"))
}

func TestReplicaThatKnowsNoCoreAcknowledgesNothing(t *testing.T) {
	r := memoryReplica()
	number := r.Append(testAdd(1))
	for _, addr := range []string{"a2", "b1", "c1"} {
		ackFrom(r, addr, number, false)
	}
	must.False(t, r.MayAcknowledge(number, 0, 0))
	r.SetCore([]string{"a2", "b1", "d1"})
	must.False(t, r.MayAcknowledge(number, 0, 0), must.Sprint("a member of the core has not been heard of"))
}

func TestCopiesInMemoryCountWhereNoMemberOfTheCoreHasADisk(t *testing.T) {
	r := memoryReplica()
	for _, addr := range []string{"a2", "b1", "c1"} {
		ackFrom(r, addr, 0, false)
	}
	r.SetCore([]string{"b1", "c1"})
	must.True(t, r.CanConfirm())
	number := r.Append(testAdd(1))
	must.False(t, r.MayAcknowledge(number, 0, 0))
	ackFrom(r, "b1", number, false)
	must.True(t, r.MayAcknowledge(number, 0, 0))
	ackFrom(r, "c1", number, true)
	must.False(t, r.MayAcknowledge(number, 0, 0), must.Sprint("a machine with a disk has joined, and one disk is too few"))
}

func TestLostReplicaWithoutDiskHoldsUpNothing(t *testing.T) {
	r := testReplica()
	r.SetPeers([]string{"a2", "b1", "c1", "b9"})
	ackFrom(r, "b9", 0, false)
	failCalls(r, "b9", false)
	failCalls(r, "b1", true)
	failCalls(r, "c1", true)
	must.True(t, r.CanConfirm())
	number := r.Append(testAdd(1))
	completeWrite(r)
	ackFrom(r, "a2", number, true)
	must.True(t, r.MayAcknowledge(number, 0, 0))
}

// A client waits for a second only where a disk may still answer.
func TestReplicaWithoutDiskGivesUpAtTheFirstFailedCalls(t *testing.T) {
	r := memoryReplica()
	ackFrom(r, "a2", 0, false)
	ackFrom(r, "b1", 0, true)
	ackFrom(r, "c1", 0, true)
	number := r.Append(testAdd(1))
	must.False(t, r.Unconfirmable(number))
	ackFrom(r, "b1", number, true)
	r.RecordFailure("b1", 0, 1_000)
	must.False(t, r.Unconfirmable(number), must.Sprint("the failing replica has it already"))
	r.RecordFailure("c1", 0, 1_000)
	must.True(t, r.Unconfirmable(number))
	must.False(t, r.CanConfirm())
	r.RecordAnswer("c1")
	must.False(t, r.Unconfirmable(number))

	durable := testReplica()
	number = durable.Append(testAdd(1))
	for _, addr := range []string{"a2", "b1", "c1"} {
		durable.RecordFailure(addr, 0, 1_000)
	}
	must.False(t, durable.Unconfirmable(number), must.Sprint("a partition may be found"))
}
