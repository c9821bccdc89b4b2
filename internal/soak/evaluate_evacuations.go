// Evaluation of the evacuations.

package soak

import (
	"slices"
	"time"

	"beechtide.org/beechtide/internal/standin"
)

// evacuationSlack allows for requests in flight and slow machines beyond the bound.
const evacuationSlack = 2 * time.Second

// checkEvacuations requires that no request reaches a runner of a zone long after its evacuation was
// acknowledged and before it was taken back, and that the zone is used again after that.
func checkEvacuations(e *evaluator) {
	for _, evacuation := range e.Evacuations {
		runs := runsInZone(e, evacuation.Zone)
		for _, run := range runs {
			checkRunInZone(e, evacuation, run)
		}
		isBefore := func(run standin.Run) bool { return run.Began.Before(e.Faulty) }
		isAfter := func(run standin.Run) bool { return run.Began.After(evacuation.Returned) }
		mustReturn := evacuation.Calm && !evacuation.Returned.IsZero() && slices.ContainsFunc(runs, isBefore)
		if mustReturn && !slices.ContainsFunc(runs, isAfter) {
			e.addViolation(RuleEvacuation, evacuation.Returned, "zone %s gets no requests after its return was acknowledged", evacuation.Zone)
		}
	}
}

// runsInZone returns the beginnings of runs at the runners of a zone.
func runsInZone(e *evaluator, zone string) (runs []standin.Run) {
	for _, run := range e.Runs {
		if e.RunnerZones[run.Runner] == zone && run.Ended.IsZero() {
			runs = append(runs, run)
		}
	}
	return runs
}

// checkRunInZone reports a run that began while the zone had to get no requests.
func checkRunInZone(e *evaluator, evacuation Evacuation, run standin.Run) {
	late := evacuation.Acknowledged.Add(evacuateMs*time.Millisecond + evacuationSlack)
	isLate := run.Began.After(late) && run.Began.Before(evacuation.Ended)
	if isLate && !e.explainsLateRun(run) {
		e.addViolation(RuleEvacuation, run.Began, "%s ran at %s %s after the evacuation of zone %s was acknowledged", run.Attempt, run.Runner, run.Began.Sub(evacuation.Acknowledged), evacuation.Zone)
	}
}
