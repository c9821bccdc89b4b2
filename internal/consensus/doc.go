// Package consensus replicates the control state. The state is split into Parts
// registers: one for the configuration, and others that services are hashed to. A
// small group of controllers agrees on each register by single-register Paxos.
//
// # Inputs and guarantees
//
// Open takes a Caller (the transport), a Store (the disk or memory of this
// member) and a callback for committed values. Change replaces the value of a
// register by compare-and-set, Read is a linearizable read, Committed returns the
// newest committed value that this node has learned, which may be stale. At most one
// value is ever committed for a version of a register, and an acknowledged change is
// not lost as long as the disks of a majority of the group survive.
//
// # Roles
//
// The pure state machines take messages and time as arguments and do no I/O: the
// acceptor (Acceptor), the proposer (Attempt, which runs one Round per ballot),
// the linearizable read (Reading), membership changes (RepairGroup, HandOver) and
// their schedule (RepairCoordinator). Registers drives them: it sends their
// requests, writes records before responses are sent, and is the learner. The
// simulation drives the same machines.
//
// # Invariants
//
//   - A value is committed (chosen) under version N once a majority of the group
//     named by version N-1 and a majority of the group that it names itself have
//     accepted it under one ballot and have it on disk.
//   - A promise (Record.Promised) binds an acceptor to reject every lower ballot for
//     the version after its committed one. An accepted value (Record.Accepted, under
//     the ballot AcceptedAt) may have been committed: a proposer to which accepted
//     values are reported in the prepare phase proposes the one with the highest ballot
//     again, not its own. Learning a committed value ends that version: the acceptor
//     discards its promise and its accepted value.
//   - Quorums intersect across a membership change because a value names the group that
//     decides the next version, and is committed by majorities of both the old and the
//     new group. A proposer whose base is still version N-1 prepares among the group of
//     N-1, and its quorum includes an acceptor of N. One whose base is N prepares among
//     the group of N, of which a majority has accepted N.
//   - Votes belong to an identity (Member.ID), not to an address, and every vote
//     request names the identity that it is addressed to. A member whose disk was wiped
//     or damaged restarts under a new identity (Restore) and is no acceptor until a
//     committed group names that identity. The repair coordinator proposes such a group
//     only after the member has confirmed that it has the committed value on disk.
//   - A changed record is on disk before the response that depends on it is sent. If
//     the write fails, the record in memory is rolled back and no response is sent.
//
// # Names in the messages
//
// For compatibility the messages keep older field names and values. Part is the index of
// a register, Slot the version that is decided, Stamp identifies the proposal that created
// a value, Ballot.Who is the proposer, and To the identity that a vote is requested from.
// The verdicts of a response are Granted (promised or accepted), Outbid (preempted by a
// higher ballot), Ahead (the version is committed already), Behind (the acceptor lacks the
// base) and Stranger (the request is for another identity). Flush requests a confirmation
// that the value is on disk, and Durable is that confirmation. Pieces are the chunks of a
// large value.
//
// # Concurrency
//
// Registers has no permanent goroutine: requests are served in the goroutines of
// the transport, changes and reads in those of their callers. The acceptor of a
// register and its durableVersion are guarded by the register's recordLock. The lock
// is held while the record is written, so a hanging disk blocks this member's votes
// in this register and nothing else. The committed value is an atomic pointer that any
// goroutine reads without the lock. A Round and its roundDriver are confined to the
// goroutine that called Change; the goroutines that send requests return responses to
// it over a channel. Once a value is learned, one goroutine per register writes it to
// disk (persistInBackground). Transfers of large values are guarded by the mutex in
// transfers. A RepairCoordinator is not safe for concurrent use: its owner serializes
// calls.
package consensus
