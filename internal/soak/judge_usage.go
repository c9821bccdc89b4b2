// The part of the judge that is about the calls to the platform.

package soak

import (
	"maps"
	"net/http"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/standin"
)

// usageSlack is by how much the moment at which a request began may differ, as a router on a
// loaded machine sees it.
const usageSlack = time.Second

// subjectFence is a fence as the platform saw it.
type subjectFence struct {
	duty, subject string
	fence         int64
}

// lastWindowBefore returns the newest window of usage that has ended at a moment.
func lastWindowBefore(at time.Time) int64 { return at.Unix()/usageWindowS - 1 }

// windowStart returns when a window of usage begins.
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

// checkPlatformFences looks for calls of two holders under one fence.
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

// acceptedUsage returns the report of each window, and looks for windows with two.
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

// checkWindow compares a report with what runners have run.
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
