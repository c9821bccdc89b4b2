// Package consensus replicates the control state. The state is split into Parts
// registers (the configuration, and the registers that services are hashed to),
// each agreed on by single-register Paxos among a small group of controllers.
//
// # Inputs and guarantees
//
// Open is given a Caller (the transport), a Store (the disk or memory of this
// member) and a callback for committed values. Change replaces the value of a
// register by compare-and-set, Read is a linearizable read, Committed returns the
// newest committed value that this node knows, which may be stale. At most one
// value is ever committed for a version of a register, and a change that was
// acknowledged is not lost as long as a majority of the group keeps its disks.
//
// # Roles
//
// The pure state machines take messages and time as arguments and do no I/O: the
// acceptor (Acceptor), the proposer (Attempt, which runs one Round per ballot),
// the linearizable read (Reading), membership changes (RepairGroup, HandOver) and
// their schedule (RepairCoordinator). Registers drives them: it sends their
// requests, writes records before responses leave, and is the learner. The
// simulation drives the same machines.
//
// # Invariants
//
//   - A value is committed (chosen) under version N once a majority of the group
//     named by version N-1 and a majority of the group that it names itself have
//     accepted it under one ballot and have it on disk.
//   - A promise (Record.Promised) binds an acceptor to reject every lower ballot for
//     the version after its committed one. An accepted value (Record.Accepted, under
//     the ballot AcceptedAt) may have been committed: a proposer that meets one while
//     it prepares proposes the one with the highest ballot again, not its own.
//     Learning a committed value ends that version: promise and accepted value go.
//   - Quorums meet across a membership change because a value names the group that
//     decides the next version, and is committed by majorities of both the old and the
//     new group. A proposer that still builds on version N-1 prepares among the group
//     of N-1 and meets an acceptor of N there. One that builds on N prepares among the
//     group of N, of which a majority has accepted N.
//   - Votes belong to an identity (Member.ID), not to an address, and every vote
//     request names the identity that it is meant for. A member whose disk was wiped or
//     damaged comes back under a new identity (Restore) and is no acceptor until a
//     committed group names that identity, which the repair coordinator proposes
//     only after the member has confirmed that it holds the committed value on disk.
//   - A changed record is on disk before the response that rests on it is sent. If
//     the write fails, the record in memory is rolled back and no response is sent.
//
// # Words of the wire
//
// The messages keep their older keys and words. Slot is the version that is decided,
// Stamp identifies the proposal that made a value, Ballot.Who is the proposer, and To the
// identity that a vote is requested from. The verdicts of a response are Granted
// (promised or accepted), Outbid (preempted by a higher ballot), Ahead (the version is
// committed already), Behind (the acceptor lacks the base) and Stranger (the request is
// for another identity). Flush asks for a confirmation that the value is on disk, and Kept
// gives it. Pieces are the chunks of a large value.
//
// # Who owns which state
//
// Registers has no permanent goroutine: requests are served in the goroutines of
// the transport, changes and reads in those of their callers. The acceptor of a
// register and its durableVersion belong to the goroutine that holds the register's
// recordLock; it keeps the lock while the disk is written, so that a hanging disk
// holds up this member's votes in this register and nothing else. The committed value
// is an atomic pointer that any goroutine reads without the lock. A Round and its
// roundDriver belong to the goroutine that called Change; goroutines that send
// requests hand responses to it over a channel. After a value was learned, one
// goroutine a register writes it to disk (persistInBackground). Transfers of large
// values are guarded by the mutex in transfers. A RepairCoordinator is not safe for
// concurrent use: its owner serializes calls.
package consensus
