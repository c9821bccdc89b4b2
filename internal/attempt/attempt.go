// Package attempt decides what follows a failed attempt of a request at a runner: another
// attempt, or the end of the request with an error status.
//
// A Sequence represents the attempts of one request. The caller makes the attempts and
// reports how each one ended; the package does no input or output and reads no clock.
//
// # Guarantees
//
//   - A request that is not repeatable is sent again only if nothing of it reached a
//     runner, or the runner reported that it has not run it.
//   - The status that means that the request has not run (503) is returned only if no
//     attempt may have run.
//   - At most Request.MaxAttempts attempts reach a runner, and each one after an attempt
//     that may have reached a runner is charged to the retry budget.
//
// A Sequence is not safe for concurrent use.
package attempt

// Result is how an attempt ended.
type Result int

// Results of an attempt.
const (
	Answered          Result = iota // the client has received the complete answer
	NotSent                         // nothing reached the runner
	AdmissionOutdated               // nothing was sent, because the request must be admitted again
	NotExecuted                     // the runner reported that it has not run the request
	Unknown                         // it was sent and may have run
	Interrupted                     // the answer ended after a part of it had been forwarded
	ClientGone                      // the client has disconnected
	Moving                          // it continues at another runner, where capacity is reserved
	Sent                            // it has been sent, and the answer has not been read yet
)

// MaxUnsent limits the attempts of a request of which nothing reaches a runner.
const MaxUnsent = 4

// Request holds the properties of a request that the decisions depend on.
type Request struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaxAttempts is the maximum number of attempts that reach a runner; below 1 means 1.
	MaxAttempts int
}

// Budget limits the number of retries.
type Budget interface {
	// Spend consumes one retry and reports whether one was available.
	Spend() bool
}

// Sequence represents the attempts of one request. The zero Sequence has none.
type Sequence struct {
	sent       int  // attempts, including the current one, without those in unsent
	unsent     int  // attempts of which nothing reached a runner
	mayHaveRun bool // an attempt may have run
}

// Begin starts an attempt.
func (s *Sequence) Begin() { s.sent++ }

// Sent returns the number of attempts, without those of which nothing reached a runner.
func (s *Sequence) Sent() int { return s.sent }

// IsFirst reports whether no attempt has failed so far.
func (s *Sequence) IsFirst() bool { return s.sent == 0 && s.unsent == 0 }

// MayHaveRun reports whether a runner may have run the request.
func (s *Sequence) MayHaveRun() bool { return s.mayHaveRun }

// MayRepeat reports whether the request allows another attempt after one that may have
// run. It does not check the time or the budget.
func (s *Sequence) MayRepeat(r Request) bool { return r.Repeatable && s.sent < max(r.MaxAttempts, 1) }

// Decision defines what follows an attempt that failed.
type Decision struct {
	// Retry is whether another attempt follows.
	Retry bool
	// AvoidRunner is whether the next attempt must use another runner.
	AvoidRunner bool
}

// Failed records the result of an attempt that has not answered the request, and decides
// what follows. deadlineExceeded is whether the request's time limit has passed.
func (s *Sequence) Failed(r Request, result Result, deadlineExceeded bool, budget Budget) Decision {
	if result == NotSent || result == AdmissionOutdated {
		return s.failedUnsent(result, deadlineExceeded)
	}
	if result != NotExecuted {
		s.mayHaveRun = true
		if !r.Repeatable {
			return Decision{AvoidRunner: true}
		}
	}
	return Decision{Retry: s.sent < max(r.MaxAttempts, 1) && !deadlineExceeded && budget.Spend(), AvoidRunner: true}
}

// Moved records that the newest attempt ended because its response continues at another
// runner. Like every attempt that was sent, it may have run.
func (s *Sequence) Moved() { s.mayHaveRun = true }

// failedUnsent implements Failed for an attempt of which nothing reached the runner. The
// attempt counts against neither Request.MaxAttempts nor the budget.
func (s *Sequence) failedUnsent(result Result, deadlineExceeded bool) Decision {
	s.sent--
	s.unsent++
	return Decision{Retry: s.unsent < MaxUnsent && !deadlineExceeded, AvoidRunner: result == NotSent}
}

// HTTP statuses of a request that ends without a runner's answer.
const (
	statusBadGateway     = 502
	statusUnavailable    = 503
	statusGatewayTimeout = 504
)

// EndStatus returns the HTTP status with which a request ends after its last attempt failed.
// A request that may have run never gets the status that means that it has not run.
func (s *Sequence) EndStatus(deadlineExceeded bool) int {
	switch {
	case !s.mayHaveRun:
		return statusUnavailable
	case deadlineExceeded:
		return statusGatewayTimeout
	}
	return statusBadGateway
}
