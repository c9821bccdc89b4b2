package rollout

// job is the rollout of the newest weights to one runner.
type job struct {
	id           string
	stage        Stage
	stageBeganUs int64 // when the stage began
	version      int64 // of its weights; 0 if unknown
	inherited    bool  // cordoned by an earlier lease holder, which may have sent it an order

	pending    bool  // an order is in flight
	accepted   bool  // the last order was accepted
	orderedUs  int64 // when the last order was sent
	answeredUs int64 // when it was answered or timed out
	attempts   int   // orders sent since the last accepted one

	lastPollUs        int64 // when its report was last requested
	unansweredPolls   int   // requests for its report without an answer, since the last report
	reportRequestedUs int64 // when the newest received report was requested
	report            Report
	loadBeganUs       int64 // when a report first showed it loading; 0 if none did
}

// setStage sets the stage and, on entering Serving or Completed, resets the order state.
func (j *job) setStage(s Stage, nowUs int64) {
	j.stage, j.stageBeganUs = s, nowUs
	if s == Completed || s == Serving {
		j.inherited, j.accepted, j.attempts, j.loadBeganUs, j.unansweredPolls = false, false, 0, 0, 0
	}
}

// cordon returns the desired registry state of the runner at its stage.
func (j *job) cordon() Cordon {
	return Cordon{ID: j.id, Draining: j.stage == Draining, Cordoned: j.stage == Cordoned || j.stage == Ordered}
}

// unresponsive reports whether more than one order was sent since the last accepted one.
func (j *job) unresponsive() bool { return j.attempts > 1 && !j.accepted }

// backoff returns a delay that doubles with each attempt, from firstUs up to maxUs.
func backoff(firstUs, maxUs int64, attempts int) int64 {
	const maxDoublings = 8
	return min(firstUs<<min(max(attempts, 0), maxDoublings), maxUs)
}

// orderDue reports whether an order is to be sent to a runner now.
func (p *Plan) orderDue(j *job, nowUs int64) bool {
	switch {
	case j.pending:
		return false
	case j.stage == Cordoned && j.inherited:
		return j.reportRequestedUs > 0 || nowUs-j.stageBeganUs >= reportWaitUs
	case j.stage == Cordoned:
		return nowUs-j.stageBeganUs >= SettleUs || nowUs >= p.deadlineUs(j)
	case j.stage == Ordered:
		return p.retryDue(j, nowUs)
	}
	return false
}

// retryDue reports whether an order has to be sent again: the last one may have been
// lost, or was for a version that is no longer the newest.
func (p *Plan) retryDue(j *job, nowUs int64) bool {
	reported := j.reportRequestedUs >= j.answeredUs+reportLagUs
	if reported && j.report.Busy {
		return false
	}
	sinceUs := nowUs - max(j.answeredUs, j.orderedUs)
	if reported || !j.accepted {
		return sinceUs >= backoff(minRetryUs, maxRetryUs, j.attempts-1)
	}
	return sinceUs >= lostOrderUs
}

// createOrder creates an order for the newest version and records it as sent.
func (p *Plan) createOrder(j *job, nowUs int64) Order {
	o := Order{ID: j.id, Version: p.newest()}
	if j.reportRequestedUs > 0 && j.reportRequestedUs >= j.answeredUs+reportLagUs && !j.report.Busy {
		sequence := j.report.Sequence
		o.Expected = &sequence
	}
	if j.stage != Ordered {
		j.setStage(Ordered, nowUs)
	}
	j.inherited, j.pending, j.accepted = false, true, false
	j.orderedUs = nowUs
	j.attempts++
	return o
}

// pollDue reports whether to request a runner's report now. Reports are needed from
// runners that were sent an order, that an earlier lease holder may have sent one, or
// whose version is unknown.
func (p *Plan) pollDue(j *job, nowUs int64) bool {
	if j.stage == Completed || j.pending {
		return false
	}
	wanted := j.stage == Ordered || j.inherited || j.version == 0
	return wanted && (j.lastPollUs == 0 || nowUs-j.lastPollUs >= backoff(minPollUs, maxPollUs, j.unansweredPolls-1))
}
