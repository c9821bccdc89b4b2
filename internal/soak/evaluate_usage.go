// Evaluation of the calls to the platform.

package soak

import (
	"maps"
	"net/http"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/standin"
)

// usageSlack is the tolerance for the time at which a request began: on a loaded machine the
// time that a router records can differ from the runner's.
const usageSlack = time.Second

// subjectFence is a fencing token as the platform received it, with the duty and subject it
// applies to.
type subjectFence struct {
	duty, subject string
	fence         int64
}

// lastWindowBefore returns the newest usage window that has ended at a time.
func lastWindowBefore(at time.Time) int64 { return at.Unix()/usageWindowS - 1 }

// windowStart returns when a usage window begins.
func windowStart(window int64) time.Time { return time.Unix(window*usageWindowS, 0) }

func (e *evaluator) checkUsage() {
	e.checkPlatformFences()
	accepted := e.acceptedUsage()
	if e.Calm.IsZero() || e.UsageDue == 0 {
		return
	}
	first := lastWindowBefore(e.Calm.Add(usageSlack)) + 2
	for window := first; window <= e.UsageDue; window++ {
		report, reported := accepted[window]
		if !reported {
			e.addViolation(RuleUsage, windowStart(window+1), "window %d is not reported", window)
			continue
		}
		e.checkWindow(window, report)
	}
}

// checkPlatformFences reports calls of two holders under one fence.
func (e *evaluator) checkPlatformFences() {
	holders := map[subjectFence]string{}
	for _, call := range e.Calls {
		key := subjectFence{call.Duty, call.Subject, call.Fence}
		first, known := holders[key]
		if known && first != call.Holder {
			e.addViolation(RuleOne, call.Arrived, "the platform got calls for %s %s under fence %d from %s and from %s", call.Duty, call.Subject, call.Fence, first, call.Holder)
		}
		holders[key] = call.Holder
	}
}

// acceptedUsage returns the accepted report of each window, and reports windows with two
// different accepted reports.
func (e *evaluator) acceptedUsage() map[int64]api.UsageReport {
	accepted := map[int64]api.UsageReport{}
	for _, call := range e.Calls {
		if call.Duty != standin.DutyUsage || call.Status != http.StatusOK {
			continue
		}
		window := call.Usage.WindowSeq
		before, repeated := accepted[window]
		if repeated && !maps.Equal(before.Counts, call.Usage.Counts) {
			e.addViolation(RuleOne, call.Arrived, "window %d is reported with %v and with %v", window, before.Counts, call.Usage.Counts)
		}
		if !repeated {
			accepted[window] = call.Usage
		}
	}
	return accepted
}

// checkWindow compares the usage report of a window with the runs that began in it.
func (e *evaluator) checkWindow(window int64, report api.UsageReport) {
	from, to := windowStart(window), windowStart(window+1)
	minCount, maxCount := int64(0), int64(0)
	for _, runs := range e.runsByAttempt {
		for _, run := range runs {
			if run.Finished && run.Began.After(from.Add(usageSlack)) && run.Began.Before(to.Add(-usageSlack)) {
				minCount++
			}
			if run.Began.After(from.Add(-usageSlack)) && run.Began.Before(to.Add(usageSlack)) {
				maxCount++
			}
		}
	}
	if count := report.Counts[tenantName]; count < minCount || count > maxCount {
		e.addViolation(RuleUsage, to, "window %d is reported with %d requests; between %d and %d began", window, count, minCount, maxCount)
	}
}
