package rollout

// Answer is the outcome of an order.
type Answer int

// Answers to an order.
const (
	NoAnswer     Answer = iota // the runner may have accepted it
	Accepted                   // the runner carries it out
	AlreadyHolds               // the runner holds the weights
	Conflict                   // another order is in progress, or the sequence differs
	Rejected                   // the runner does not carry it out
	FenceRefused               // the runner has seen a higher fencing token
)

// AnswerOf returns the answer that an HTTP status stands for; 0 means no response.
func AnswerOf(status int) Answer {
	switch status {
	case 0:
		return NoAnswer
	case 202:
		return Accepted
	case 200:
		return AlreadyHolds
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
	Idle     bool  // no request runs: if it was ordered, it loads the weights
	Sequence int64 // number of orders accepted
}

// Answered records the outcome of an order.
func (p *Plan) Answered(o Order, answer Answer, nowUs int64) {
	j := p.jobs[o.ID]
	if j == nil {
		return
	}
	j.pending, j.answeredUs = false, nowUs
	switch answer {
	case Accepted:
		j.accepted, j.attempts = true, 1
	case AlreadyHolds:
		j.version = max(j.version, o.Version)
		p.complete(j, nowUs)
	case NoAnswer, Conflict, Rejected, FenceRefused:
	}
}

// Reported records a runner's report that was requested at askedUs.
func (p *Plan) Reported(id string, r Report, askedUs, nowUs int64) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	j.unanswered, j.askedUs, j.report = 0, max(j.askedUs, askedUs), r
	if !r.Busy {
		j.version = max(j.version, r.Version)
	}
	if j.version >= p.newest() {
		p.complete(j, nowUs)
		return
	}
	if j.inherited && r.Busy {
		j.inherited, j.accepted, j.attempts = false, true, 1
		j.answeredUs = askedUs - reportLagUs
		j.move(Ordered, nowUs)
	}
	if j.stage == Ordered && r.Busy && r.Idle && j.loadUs == 0 {
		j.loadUs = nowUs
		p.loads.begun()
	}
}

// NotReported records that a runner did not answer the request for its report.
func (p *Plan) NotReported(id string) {
	if j := p.jobs[id]; j != nil {
		j.unanswered++
	}
}
