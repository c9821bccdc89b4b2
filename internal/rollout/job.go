package rollout

// job is the rollout of the newest weights to one runner.
type job struct {
	id        string
	stage     Stage
	sinceUs   int64 // when the stage began
	version   int64 // of its weights; 0 if unknown
	inherited bool  // cordoned by an earlier holder, which may have ordered it

	pending    bool  // an order is in flight
	accepted   bool  // the last order was accepted
	orderedUs  int64 // when the last order was sent
	answeredUs int64 // when it was answered or timed out
	attempts   int   // orders sent since the last accepted one

	polledUs   int64 // when its report was last requested
	unanswered int   // requests for its report without an answer, since the last report
	askedUs    int64 // when the newest report received was requested
	report     Report
	loadUs     int64 // when a report first showed it loading; 0 if none did
}

// move enters a stage.
func (j *job) move(s Stage, nowUs int64) {
	j.stage, j.sinceUs = s, nowUs
	if s == Completed || s == Serving {
		j.inherited, j.accepted, j.attempts, j.loadUs, j.unanswered = false, false, 0, 0, 0
	}
}

// cordon returns how the registry is to list the runner at this stage.
func (j *job) cordon() Cordon {
	return Cordon{ID: j.id, Draining: j.stage == Draining, Cordoned: j.stage == Cordoned || j.stage == Ordered}
}

// silent reports whether the runner left several orders unanswered.
func (j *job) silent() bool { return j.attempts > 1 && !j.accepted }

// backoff returns a delay that doubles with each attempt, from firstUs up to mostUs.
func backoff(firstUs, mostUs int64, attempts int) int64 {
	const mostDoublings = 8
	return min(firstUs<<min(max(attempts, 0), mostDoublings), mostUs)
}

// orderDue reports whether a runner is to be sent an order now.
func (p *Plan) orderDue(j *job, nowUs int64) bool {
	switch {
	case j.pending:
		return false
	case j.stage == Cordoned && j.inherited:
		return j.askedUs > 0 || nowUs-j.sinceUs >= reportWaitUs
	case j.stage == Cordoned:
		return nowUs-j.sinceUs >= SettleUs || nowUs >= p.deadlineUs(j)
	case j.stage == Ordered:
		return p.retryDue(j, nowUs)
	}
	return false
}

// retryDue reports whether an order has to be sent again: it may have been lost, or was
// for a version that is no longer the newest.
func (p *Plan) retryDue(j *job, nowUs int64) bool {
	reported := j.askedUs >= j.answeredUs+reportLagUs
	if reported && j.report.Busy {
		return false
	}
	sinceUs := nowUs - max(j.answeredUs, j.orderedUs)
	if reported || !j.accepted {
		return sinceUs >= backoff(retryUs, maxRetryUs, j.attempts-1)
	}
	return sinceUs >= lostOrderUs
}

// send records that an order is sent, and returns it.
func (p *Plan) send(j *job, nowUs int64) Order {
	o := Order{ID: j.id, Version: p.newest()}
	if j.askedUs > 0 && j.askedUs >= j.answeredUs+reportLagUs && !j.report.Busy {
		sequence := j.report.Sequence
		o.Expected = &sequence
	}
	if j.stage != Ordered {
		j.move(Ordered, nowUs)
	}
	j.inherited, j.pending, j.accepted = false, true, false
	j.orderedUs = nowUs
	j.attempts++
	return o
}

// pollDue reports whether to request a runner's report: it was ordered, may have been
// ordered by an earlier holder, or its version is unknown.
func (p *Plan) pollDue(j *job, nowUs int64) bool {
	if j.stage == Completed || j.pending {
		return false
	}
	wanted := j.stage == Ordered || j.inherited || j.version == 0
	return wanted && (j.polledUs == 0 || nowUs-j.polledUs >= backoff(pollUs, maxPollUs, j.unanswered-1))
}
