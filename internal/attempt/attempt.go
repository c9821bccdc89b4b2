// Package attempt decides what follows an attempt of a request at a runner: another
// attempt, or an end and with which status.
//
// A Sequence is the attempts of one request. The caller makes the attempts and tells how
// each one ended; the package does no input or output and reads no clock.
//
// # What it guarantees
//
//   - A request that may not be repeated is sent again only where nothing of it reached a
//     runner, or the runner said that it has not run it.
//   - A status that promises that the request has not run (503) is given only where no
//     attempt of it may have run.
//   - At most Request.Tries attempts reach a runner, and each one after the first is paid
//     for from the retry budget.
//
// A Sequence is not safe for concurrent use.
package attempt

// Result is how an attempt ended.
type Result int

// Results of an attempt.
const (
	Answered   Result = iota // the client has the whole answer
	NotSent                  // nothing reached the runner
	Outdated                 // nothing was sent, as the request itself is to be decided on anew
	NotRun                   // the runner said that it has not run the request
	Unknown                  // it was sent, and may have run
	BrokenOff                // it was broken off after a part of the answer had been passed on
	ClientGone               // the client has left
	Moving                   // it goes on at another runner, where capacity is reserved
	Sent                     // it has been sent, and the answer is still to be read
)

// MaxUnsent bounds the attempts of a request of which nothing reaches a runner.
const MaxUnsent = 4

// Request is what the decisions go by.
type Request struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Tries is how many attempts may reach a runner; at least one may.
	Tries int
}

// Budget pays for attempts beyond the first.
type Budget interface {
	// Spend takes one retry, and reports whether there was one.
	Spend() bool
}

// Sequence is the attempts of one request. The zero Sequence has none.
type Sequence struct {
	sent   int // attempts of which something may have reached a runner, the present one included
	unsent int
	ran    bool
}

// Begin starts an attempt.
func (s *Sequence) Begin() { s.sent++ }

// Sent returns how many attempts have begun, without those of which nothing reached a runner.
func (s *Sequence) Sent() int { return s.sent }

// IsFirst reports whether no attempt has failed so far.
func (s *Sequence) IsFirst() bool { return s.sent == 0 && s.unsent == 0 }

// MayHaveRun reports whether a runner may have run the request.
func (s *Sequence) MayHaveRun() bool { return s.ran }

// MayRepeat reports whether another attempt could follow one that may have run, as far as
// the request itself allows.
func (s *Sequence) MayRepeat(r Request) bool { return r.Repeatable && s.sent < max(r.Tries, 1) }

// Next is what follows an attempt that failed.
type Next struct {
	// Retry reports whether another attempt follows.
	Retry bool
	// Avoid reports whether the next attempt is to go to another runner.
	Avoid bool
}

// Failed records how an attempt ended that has not answered the request, and decides what
// follows. timeOver reports whether the request's time is over.
func (s *Sequence) Failed(r Request, result Result, timeOver bool, budget Budget) Next {
	if result == NotSent || result == Outdated {
		return s.failedUnsent(result, timeOver)
	}
	if result != NotRun {
		s.ran = true
		if !r.Repeatable {
			return Next{Avoid: true}
		}
	}
	return Next{Retry: s.sent < max(r.Tries, 1) && !timeOver && budget.Spend(), Avoid: true}
}

// Moved records that the newest attempt ended as its response goes on at another runner. It may
// have run, as every attempt that was sent.
func (s *Sequence) Moved() { s.ran = true }

// failedUnsent is the same for an attempt of which nothing reached the runner: it counts
// neither as a try nor against the budget.
func (s *Sequence) failedUnsent(result Result, timeOver bool) Next {
	s.sent--
	s.unsent++
	return Next{Retry: s.unsent < MaxUnsent && !timeOver, Avoid: result == NotSent}
}

// Statuses of a request that ends without a runner's answer.
const (
	statusBadGateway     = 502
	statusUnavailable    = 503
	statusGatewayTimeout = 504
)

// EndStatus is the status with which a request ends after its last attempt failed. What may
// have run gets none that promises that it has not.
func (s *Sequence) EndStatus(timeOver bool) int {
	switch {
	case !s.ran:
		return statusUnavailable
	case timeOver:
		return statusGatewayTimeout
	}
	return statusBadGateway
}
