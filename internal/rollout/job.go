package rollout

// job is one runner's way to the newest weights.
type job struct {
	id        string
	stage     Stage
	sinceUs   int64 // when the stage began
	version   int64 // of its weights, as far as known
	inherited bool  // cordoned by an earlier holder: perhaps under order

	pending    bool  // an order has not been answered yet
	accepted   bool  // the last order is being done
	orderedUs  int64 // when the last order was sent
	answeredUs int64 // when it was answered, or given up
	attempts   int   // orders since the last that was accepted

	polledUs   int64 // when its report was last asked for
	unanswered int   // reports asked for in vain since the last one
	askedUs    int64 // when the newest report was asked for
	report     Report
	loadUs     int64 // when its load was seen to begin
}

// move begins a stage.
func (j *job) move(s Stage, nowUs int64) {
	j.stage, j.sinceUs = s, nowUs
	if s == Completed || s == Serving {
		j.inherited, j.accepted, j.attempts, j.loadUs, j.unanswered = false, false, 0, 0, 0
	}
}

// cordon is what the registry is to show at this stage.
func (j *job) cordon() Cordon {
	return Cordon{ID: j.id, Draining: j.stage == Draining, Cordoned: j.stage == Cordoned || j.stage == Ordered}
}

// silent tells that a runner has not answered several orders.
func (j *job) silent() bool { return j.attempts > 1 && !j.accepted }

// backoff is a wait that doubles with each attempt.
func backoff(firstUs, mostUs int64, attempts int) int64 {
	const mostDoublings = 8
	return min(firstUs<<min(max(attempts, 0), mostDoublings), mostUs)
}

// orderDue tells whether a runner is to be sent an order now.
func (p *Plan) orderDue(j *job, nowUs int64) bool {
	switch {
	case j.pending:
		return false
	case j.stage == Cordoned && j.inherited:
		return j.askedUs > 0 || nowUs-j.sinceUs >= reportWaitUs
	case j.stage == Cordoned:
		return nowUs-j.sinceUs >= SettleUs || nowUs >= p.deadlineUs(j)
	case j.stage == Ordered:
		return p.orderAgain(j, nowUs)
	}
	return false
}

// orderAgain tells whether an order has to be sent again: it may have been lost, or
// was for a version that is no longer the newest.
func (p *Plan) orderAgain(j *job, nowUs int64) bool {
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

// send notes that an order goes out.
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

// pollDue tells whether a runner's report is to be asked for: of one that is under
// order, perhaps under order, or of unknown version.
func (p *Plan) pollDue(j *job, nowUs int64) bool {
	if j.stage == Completed || j.pending {
		return false
	}
	wanted := j.stage == Ordered || j.inherited || j.version == 0
	return wanted && (j.polledUs == 0 || nowUs-j.polledUs >= backoff(pollUs, maxPollUs, j.unanswered-1))
}
