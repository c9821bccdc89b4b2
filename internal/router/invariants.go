// Invariants of requests (docs/design/invariants.md).

package router

import (
	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/invariant"
)

// A client that gets neither an answer nor a refusal does not know whether its request
// has run.
var requestEnds = invariant.New("request_ends_with_answer_or_refusal",
	"a whole request ends with a complete answer or a rejection, unless the runner broke off, the client left, or its time was over")

// A route or key that an acknowledged change has added must not be denied by a router
// that does not know of the change yet.
var denialConfirmed = invariant.New("denial_on_confirmed_config",
	"401, 403 and 404 are sent only on a configuration that a majority of the core has confirmed a short while ago")

// What may have run once must not run twice.
var noAttemptAfterRun = invariant.New("no_attempt_after_possible_run",
	"a request whose route is not repeatable is not sent again after an attempt that may have run")

// denies tells whether a status denies a request by the configuration.
func denies(status int) bool { return status == 401 || status == 403 || status == 404 }

// checkDenial checks that a denial rests on a confirmed configuration.
func (e *exchange) checkDenial(status int) {
	c := e.router
	if !denies(status) {
		return
	}
	if !c.confirmationHolds() {
		denialConfirmed.Violated("request", e.id, "status", status, "confirmedUs", c.majorityUs.Load(), "nowUs", c.clock())
	}
}

// checkRepeat checks, before an attempt, that the one before it cannot have run.
func (e *exchange) checkRepeat() {
	mayHaveRun := e.sequence.MayHaveRun() || e.sequence.Sent() > 0 && (e.lastEnd == attempt.Unknown || e.lastEnd == attempt.BrokenOff)
	if mayHaveRun && !e.route.Repeatable() {
		noAttemptAfterRun.Violated("request", e.id, "attempts", e.sequence.Sent(), "route", e.route.Name)
	}
}
