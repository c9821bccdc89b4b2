package rollout

// Answer is the outcome of an order.
type Answer int

// Outcomes of an order.
const (
	NoAnswer      Answer = iota // the runner may have accepted it
	Accepted                    // the runner carries out the order
	AlreadyLoaded               // the runner holds the weights
	Conflict                    // another order is in progress, or the sequence differs
	Rejected                    // the runner does not carry out the order
	FenceRefused                // the runner has seen a higher fencing token
)

// AnswerForStatus maps the HTTP status of a runner's response to an answer; status 0 means
// that there was no response.
func AnswerForStatus(status int) Answer {
	switch status {
	case 0:
		return NoAnswer
	case 202:
		return Accepted
	case 200:
		return AlreadyLoaded
	case 409:
		return Conflict
	case 412:
		return FenceRefused
	}
	return Rejected
}

// Report is a runner's report of its own state.
type Report struct {
	Version  int64 // of the model's weights; 0 if it reports none
	Busy     bool  // an order is in progress
	Idle     bool  // no request runs; if it was ordered, it is loading the weights
	Sequence int64 // number of orders accepted
}

// RecordAnswer records the outcome of an order.
func (p *Plan) RecordAnswer(o Order, answer Answer, nowUs int64) {
	j := p.jobs[o.ID]
	if j == nil {
		return
	}
	j.pending, j.answeredUs = false, nowUs
	switch answer {
	case Accepted:
		j.accepted, j.attempts = true, 1
	case AlreadyLoaded:
		j.version = max(j.version, o.Version)
		p.complete(j, nowUs)
	case NoAnswer, Conflict, Rejected, FenceRefused:
	}
}

// RecordReport records a runner's report that was requested at requestedUs.
func (p *Plan) RecordReport(id string, r Report, requestedUs, nowUs int64) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	j.unansweredPolls, j.reportRequestedUs, j.report = 0, max(j.reportRequestedUs, requestedUs), r
	if !r.Busy {
		j.version = max(j.version, r.Version)
	}
	if j.version >= p.newest() {
		p.complete(j, nowUs)
		return
	}
	if j.inherited && r.Busy {
		j.inherited, j.accepted, j.attempts = false, true, 1
		j.answeredUs = requestedUs - reportLagUs
		j.setStage(Ordered, nowUs)
	}
	if j.stage == Ordered && r.Busy && r.Idle && j.loadBeganUs == 0 {
		j.loadBeganUs = nowUs
		p.loads.loadBegan()
	}
}

// RecordMissingReport records that a runner did not answer the request for its report.
func (p *Plan) RecordMissingReport(id string) {
	if j := p.jobs[id]; j != nil {
		j.unansweredPolls++
	}
}
