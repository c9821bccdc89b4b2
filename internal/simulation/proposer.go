// Proposers: consensus.Attempt, Round and QuorumRead, driven by events of the simulation
// where consensus.Registers drives them by goroutines.

package simulation

import (
	"fmt"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// Timeouts and delays of the proposer, as in consensus.Registers.
const (
	roundTimeoutUs   = 500 * Millisecond
	sealDelayUs      = 150 * Millisecond
	readTimeoutUs    = 400 * Millisecond
	readRetryDelayUs = 30 * Millisecond
)

var errSettled = errors.New("simulation: undecided slot settled, value unchanged")

// pendingChange is the state of one change in progress.
type pendingChange struct {
	node       *Controller
	part       int
	deadlineUs int64
	done       func(messages.Value, error)

	attempt  *consensus.Attempt
	attempts int
	round    *consensus.Round
	sealing  bool // the delay before the round is sealed has started
}

// change runs rounds until the change is chosen, the change function rejects it, or the
// time is over. After consensus.ErrOutcomeUnknown the change may still be chosen later.
func (c *Controller) change(part int, forUs int64, change consensus.Change, done func(messages.Value, error)) {
	c.cluster.serial++
	p := &pendingChange{node: c, part: part, deadlineUs: c.process.NowUs() + forUs, done: done}
	p.attempt = consensus.NewAttempt(part, fmt.Sprintf("%s#%d", c.addr, c.cluster.serial), change)
	p.start()
}

func (p *pendingChange) remainingUs() int64 { return p.deadlineUs - p.node.process.NowUs() }

func (p *pendingChange) start() {
	if p.remainingUs() <= 0 {
		p.done(messages.Value{}, consensus.ErrOutcomeUnknown)
		return
	}
	base, ok := p.node.committed(p.part)
	if !ok {
		p.done(messages.Value{}, consensus.ErrNoGroup)
		return
	}
	round := p.attempt.Round(base)
	p.round, p.sealing = round, false
	p.node.process.After(min(roundTimeoutUs, p.remainingUs()), func() { p.finish(round) })
	p.send(round, round.Requests())
}

// send sends requests. Those to the same member are sent in order, each after the response
// to the one before.
func (p *pendingChange) send(round *consensus.Round, requests []consensus.Request) {
	var order []string
	byMember := map[string][]consensus.Request{}
	for _, a := range requests {
		if byMember[a.To.ID] == nil {
			order = append(order, a.To.ID)
		}
		byMember[a.To.ID] = append(byMember[a.To.ID], a)
	}
	for _, id := range order {
		p.sendInOrder(round, byMember[id])
	}
}

func (p *pendingChange) sendInOrder(round *consensus.Round, requests []consensus.Request) {
	if len(requests) == 0 || p.round != round {
		return
	}
	a := requests[0]
	p.node.call(a.To.Addr, a.Body, func(r messages.ConsensusResponse) {
		if a.Body.Step == messages.Commit {
			p.sendInOrder(round, requests[1:])
			return
		}
		if p.round != round || round.Outcome != consensus.InProgress {
			return
		}
		more := round.Receive(a.To, a.Body.Step, r)
		if round.Outcome != consensus.InProgress {
			p.finish(round)
			return
		}
		p.sealLater(round)
		p.send(round, more)
		p.sendInOrder(round, requests[1:])
	})
}

// sealLater seals the slot after a delay if a rejection still waits for responses of members.
func (p *pendingChange) sealLater(round *consensus.Round) {
	if p.sealing || !round.SealPending() {
		return
	}
	p.sealing = true
	p.node.process.After(sealDelayUs, func() {
		if p.round == round {
			p.send(round, round.Seal())
		}
	})
}

// finish evaluates the outcome of a round and either starts the next one or completes the change.
func (p *pendingChange) finish(round *consensus.Round) {
	if p.round != round {
		return
	}
	p.round = nil
	switch round.Outcome {
	case consensus.Chosen:
		p.node.cluster.checks.recordChosen(p.part, round.Value)
		p.broadcastCommit(round)
	case consensus.Superseded:
		p.node.learn(p.part, round.Value)
	}
	switch p.attempt.Finish(round) {
	case consensus.Finished:
		p.done(round.Value, round.Err)
		return
	case consensus.NextRound:
		p.attempts++
		p.start()
		return
	}
	backOffUs := p.node.cluster.kernel.Between(0, int64(10+20*min(p.attempts, 8))*Millisecond)
	p.attempts++
	p.node.process.After(min(backOffUs, max(p.remainingUs(), 0)), p.start)
}

// broadcastCommit sends the chosen value to the members of the old and the new group.
func (p *pendingChange) broadcastCommit(round *consensus.Round) {
	v := round.Value
	p.node.learn(p.part, v)
	sent := map[string]bool{p.node.addr: true}
	for _, group := range [][]messages.Member{round.Base.Group, v.Group} {
		for _, m := range group {
			if !sent[m.Addr] {
				sent[m.Addr] = true
				commit := messages.ConsensusRequest{Part: p.part, To: m.ID, Step: messages.Commit, Slot: v.Version, Value: v}
				p.node.call(m.Addr, commit, func(messages.ConsensusResponse) {})
			}
		}
	}
}

// pendingRead is the state of one linearizable read in progress.
type pendingRead struct {
	node       *Controller
	part       int
	deadlineUs int64
	done       func(messages.Value, error)
}

// read passes the newest value to done, after a majority has confirmed that it is current.
func (c *Controller) read(part int, forUs int64, done func(messages.Value, error)) {
	p := &pendingRead{node: c, part: part, deadlineUs: c.process.NowUs() + forUs, done: done}
	p.start()
}

// quorumRead is one quorum read: a request to every member of the group.
type quorumRead struct {
	*consensus.QuorumRead
	responses int
	finished  bool
}

func (p *pendingRead) start() {
	base, ok := p.node.committed(p.part)
	switch {
	case p.node.process.NowUs() >= p.deadlineUs:
		p.done(messages.Value{}, consensus.ErrOutcomeUnknown)
		return
	case !ok:
		p.done(messages.Value{}, consensus.ErrNoGroup)
		return
	case p.node.cluster.defects.ReadWithoutMajority:
		p.done(base, nil)
		return
	}
	q := &quorumRead{QuorumRead: consensus.NewQuorumRead(base)}
	p.node.process.After(readTimeoutUs, func() { p.finish(q) })
	for _, m := range base.Group {
		request := messages.ConsensusRequest{Part: p.part, To: m.ID, Step: messages.Read, Slot: base.Version + 1}
		p.node.call(m.Addr, request, func(r messages.ConsensusResponse) { p.receive(q, m, r) })
	}
}

func (p *pendingRead) receive(q *quorumRead, from messages.Member, r messages.ConsensusResponse) {
	if q.finished {
		return
	}
	q.responses++
	q.Receive(from, r)
	found := q.Result()
	if found == consensus.Current || found == consensus.Newer || q.responses == len(q.Base.Group) {
		p.finish(q)
	}
}

func (p *pendingRead) finish(q *quorumRead) {
	if q.finished {
		return
	}
	q.finished = true
	switch q.Result() {
	case consensus.Newer:
		p.node.learn(p.part, q.NewerValue)
		p.start()
	case consensus.Current:
		p.done(q.Base, nil)
	case consensus.Undecided:
		noChange := func(messages.Value) ([]messages.Member, []byte, error) { return nil, nil, errSettled }
		p.node.change(p.part, p.deadlineUs-p.node.process.NowUs(), noChange, func(_ messages.Value, err error) {
			if err != nil && !errors.Is(err, errSettled) {
				p.done(messages.Value{}, err)
				return
			}
			p.start()
		})
	default:
		p.node.process.After(readRetryDelayUs, p.start)
	}
}
