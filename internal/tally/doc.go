// Package tally keeps counters that any replica may add to, also one that is cut off from
// the others: a grow-only set of adds by id, joined by union. It is pure: the owner gives
// it the time, carries its messages and writes its log (Log) to the disk.
//
// # How it works
//
// An add has the name of a tally, an id that its client made, and an amount. A Replica
// numbers what its clients bring in a log of its own, named by its Origin. Replicas send
// each other what the other lacks of each log: one number an origin says what a replica
// has (a version vector). A replica hands on the logs of others too, so that an add whose
// first replica died reaches all. On arrival adds are united by tally and id, so one that
// a client brought to two replicas is in two logs and counts once; a total is the sum over
// that set. See Almeida, Shoker and Baquero, "Delta state replicated data types" (2018),
// and Preguiça et al., "Dotted version vectors" (2012).
//
// # What it guarantees
//
//   - Merging is commutative, associative and idempotent. Where two adds with the same
//     tally and id differ in their amounts, the larger amount counts at every replica.
//   - The numbers of a log are used once: a replica whose disk is empty or damaged begins a
//     log under a new origin.
//   - Replica.Confirmed says up to which number the own log is on as many disks as Quorum
//     asks for, or on those of
//     all replicas to which the way is not cut.
//   - Nothing is forgotten, as nothing bounds when a client may send an id again.
//
// # Who owns which state
//
// A Set, a Replica and a Log are not safe for concurrent use.
package tally
