package rollout

// Answer is what became of an order.
type Answer int

// Answers to an order.
const (
	NoAnswer     Answer = iota // it may have been taken
	Accepted                   // it is being done
	AlreadyHolds               // the runner holds the weights
	Conflict                   // another order is under way, or the sequence differs
	Rejected                   // not taken
)

// AnswerOf reads the status of an answer; 0 is none.
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
	}
	return Rejected
}

// Report is what a runner said of itself.
type Report struct {
	Version  int64 // of the model's weights; 0 where it named none
	Busy     bool  // an order is under way
	Idle     bool  // nothing runs: a runner under order loads
	Sequence int64 // orders taken
}

// Answered notes what became of an order for a version.
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
	case NoAnswer, Conflict, Rejected:
	}
}

// Reported notes a runner's report that was asked for at askedUs.
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

// NotReported notes that a runner did not give its report.
func (p *Plan) NotReported(id string) {
	if j := p.jobs[id]; j != nil {
		j.unanswered++
	}
}
