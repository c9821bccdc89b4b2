// Package tally implements replicated counters (tallies) that accept adds at any replica,
// including one that is cut off from the others: a grow-only set of adds by ID, merged by
// union (a CRDT). Replica and Set are pure: the caller supplies the time, transports the
// messages and writes the adds to disk with Log.
//
// # How it works
//
// An add has the name of a tally, an ID chosen by the client, and an amount. A Replica
// numbers the adds of its clients in a log of its own, named by its Origin. Replicas send
// each other the missing parts of each log: one number per origin records how much of its
// log a replica has (a version vector). A replica also forwards the logs of others, so that
// an add whose first replica died reaches all. Adds are deduplicated by tally and ID: an add
// that a client sent to two replicas is in two logs and counts once. A total is the sum over
// the set. See Almeida, Shoker and Baquero, "Delta state replicated data types" (2018),
// and Preguiça et al., "Dotted version vectors" (2012).
//
// # What it guarantees
//
//   - Merging is commutative, associative and idempotent. If two adds with the same
//     tally and ID differ in their amounts, the larger amount counts at every replica.
//   - The numbers of a log are used once: a replica whose disk is empty or damaged begins a
//     log under a new origin.
//   - Replica.Confirmed returns up to which number the replica's own log is on as many
//     disks as Quorum requires, or on those of all replicas except running ones that are cut
//     off by a partition.
//   - A copy in memory counts for the quorum only where no replica has a disk (Storage).
//     A replica whose own copy does not count never confirms an add on fewer disks.
//   - Adds are never removed, since a client may retry an ID after any length of time.
//
// # Concurrency
//
// A Set, a Replica and a Log are not safe for concurrent use.
package tally
