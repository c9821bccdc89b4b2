// Package canary controls the rollout of a new software version of a service. A small share
// of the service's requests is routed to runners of the new version. If that version fails
// them more often than the other versions do, the rollout is reverted; otherwise all requests
// are shifted to it before the deadline of the order.
//
// The state of a rollout is replicated (messages.ServiceRollout in a register); Begin and
// Advance compute its next value. The holder of the register's lease runs a Plan: Plan.Step
// returns the stage that is due, from the outcomes of the requests to the new and the other
// versions (Evidence).
//
// # Guarantees
//
//   - Stages only advance along nextStages; Settled and Reverted are final.
//   - Until the trial has ended, the new version gets at most Share of the requests. It gets all
//     of them only if no comparison finds it worse.
//   - A version that is worse is found as soon as the outcomes show it, with an error probability
//     for each comparison that worseThreshold bounds.
//
// The package has no I/O and no clock: times are whole microseconds, passed as arguments. No
// type is safe for concurrent use.
package canary
