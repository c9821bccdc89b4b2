// Invariants of requests (docs/design/invariants.md).

package router

import (
	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/invariant"
)

// A client that receives neither a response nor a rejection cannot know whether its request has
// run.
var requestEnds = invariant.New("request_ends_with_answer_or_refusal",
	"a whole request ends with a complete answer or a rejection, unless the runner broke off, the client left, or its time was over")

// A router that has not received an acknowledged configuration change yet must not deny a route
// or key that the change added.
var denialConfirmed = invariant.New("denial_on_confirmed_config",
	"401, 403 and 404 are sent only on a configuration that a majority of the core has confirmed a short while ago")

// A request that is not repeatable must not run twice.
var noAttemptAfterRun = invariant.New("no_attempt_after_possible_run",
	"a request whose route is not repeatable is not sent again after an attempt that may have run")

// isDenial reports whether a status denies a request because of the configuration.
func isDenial(status int) bool { return status == 401 || status == 403 || status == 404 }

// checkDenial checks that a denial is based on a confirmed configuration.
func (e *exchange) checkDenial(status int) {
	router := e.router
	if !isDenial(status) {
		return
	}
	if !router.confirmationValid() {
		denialConfirmed.Violated("request", e.id, "status", status, "confirmedUs", router.majorityUs.Load(), "nowUs", router.clock())
	}
}

// checkRepeat checks, before an attempt, that no earlier attempt can have run, unless the route is
// repeatable.
func (e *exchange) checkRepeat() {
	mayHaveRun := e.sequence.MayHaveRun() || e.sequence.Sent() > 0 && (e.lastResult == attempt.Unknown || e.lastResult == attempt.Interrupted)
	if mayHaveRun && !e.route.Repeatable() {
		noAttemptAfterRun.Violated("request", e.id, "attempts", e.sequence.Sent(), "route", e.route.Name)
	}
}
