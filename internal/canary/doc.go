// Package canary decides about the rollout of a new software version of a service: a small
// share of the service's requests goes to runners of that version; if it fails them more often
// than the other versions do, all requests go back, and else all of them go over to it, in time
// for the term of the order.
//
// A rollout is agreed state (messages.ServiceRollout in a register), of which Begin and Advance
// make the next value. Plan is what the holder of the register's lease goes by: Step says which
// stage is due, from the outcomes of the requests to the new and the other versions (Evidence).
//
// # What it guarantees
//
//   - Stages only go forward, as nextStages has them; the two last ones never change.
//   - The new version gets Share of the requests until it has been compared with the others to the
//     end, and all of them only if no comparison says that it is worse.
//   - A version that is worse is found with a chance of error that evidenceFor bounds for each
//     comparison, as soon as the outcomes show it.
//
// Everything here is pure: times are whole microseconds, given as arguments. No type is safe
// for concurrent use.
package canary
