package attempt

import (
	"testing"

	"github.com/shoenig/test/must"
)

// countedBudget is a Budget with this number of retries left.
type countedBudget int

func (l *countedBudget) Spend() bool {
	*l--
	return *l >= 0
}

func largeBudget() *countedBudget {
	l := countedBudget(100)
	return &l
}

func TestNonRepeatableRequestIsNotRetriedAfterItMayHaveRun(t *testing.T) {
	for _, result := range []Result{Unknown, Interrupted} {
		var s Sequence
		s.Begin()
		must.Eq(t, Decision{AvoidRunner: true}, s.Failed(Request{MaxAttempts: 3}, result, false, largeBudget()))
		must.True(t, s.MayHaveRun())
		must.Eq(t, 502, s.EndStatus(false))
		must.Eq(t, 504, s.EndStatus(true))
	}
}

func TestRequestThatHasNotRunIsRetried(t *testing.T) {
	for _, c := range []struct {
		result Result
		next   Decision
		sent   int
	}{
		{NotExecuted, Decision{Retry: true, AvoidRunner: true}, 1},
		{NotSent, Decision{Retry: true, AvoidRunner: true}, 0},
		{AdmissionOutdated, Decision{Retry: true}, 0},
	} {
		var s Sequence
		s.Begin()
		must.Eq(t, c.next, s.Failed(Request{MaxAttempts: 2}, c.result, false, largeBudget()))
		must.Eq(t, c.sent, s.Sent())
		must.False(t, s.MayHaveRun())
		must.Eq(t, 503, s.EndStatus(true))
	}
}

func TestMaxAttemptsLimitsAttemptsThatReachRunner(t *testing.T) {
	var s Sequence
	request := Request{Repeatable: true, MaxAttempts: 2}
	s.Begin()
	must.True(t, s.MayRepeat(request))
	must.True(t, s.Failed(request, Unknown, false, largeBudget()).Retry)
	s.Begin()
	must.False(t, s.MayRepeat(request))
	must.False(t, s.Failed(request, Unknown, false, largeBudget()).Retry)
}

func TestRetryRequiresBudgetAndTime(t *testing.T) {
	request := Request{Repeatable: true, MaxAttempts: 5}
	var none countedBudget
	var s Sequence
	s.Begin()
	must.False(t, s.Failed(request, Unknown, false, &none).Retry)
	s = Sequence{}
	s.Begin()
	budget := largeBudget()
	must.False(t, s.Failed(request, Unknown, true, budget).Retry)
	must.Eq(t, 100, int(*budget), must.Sprint("a retry that is not made is not charged to the budget"))
}

func TestUnsentAttemptsAreBounded(t *testing.T) {
	var s Sequence
	for range MaxUnsent - 1 {
		s.Begin()
		must.True(t, s.Failed(Request{}, NotSent, false, largeBudget()).Retry)
	}
	s.Begin()
	must.False(t, s.Failed(Request{}, NotSent, false, largeBudget()).Retry)
	must.Eq(t, 0, s.Sent())
}

func TestMovedAttemptMayHaveRun(t *testing.T) {
	var s Sequence
	s.Begin()
	s.Moved()
	must.True(t, s.MayHaveRun())
	must.Eq(t, 502, s.EndStatus(false))
}
