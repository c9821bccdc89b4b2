// Proposers: Change and Read of consensus.Registers, step by step as there, but
// driven by events instead of goroutines.
package simulation

import (
	"fmt"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// Waits of the proposer, as in consensus.Registers.
const (
	roundUs     = 500 * Millisecond
	readUs      = 400 * Millisecond
	readAgainUs = 30 * Millisecond
)

var errSettled = errors.New("simulation: settled")

// changing is one Change under way.
type changing struct {
	node    *Controller
	part    int
	change  consensus.Change
	untilUs int64
	done    func(messages.Value, error)

	stamp string
	seen  messages.Ballot
	try   int
	round *consensus.Round
}

// change runs rounds until the change is made, denied by itself, or the time is
// over. After consensus.ErrUnsure it may still come into force.
func (c *Controller) change(part int, forUs int64, change consensus.Change, done func(messages.Value, error)) {
	c.cluster.serial++
	p := &changing{node: c, part: part, change: change, untilUs: c.process.NowUs() + forUs, done: done}
	p.stamp = fmt.Sprintf("%s#%d", c.addr, c.cluster.serial)
	p.start()
}

func (p *changing) leftUs() int64 { return p.untilUs - p.node.process.NowUs() }

func (p *changing) start() {
	if p.leftUs() <= 0 {
		p.done(messages.Value{}, consensus.ErrUnsure)
		return
	}
	base, ok := p.node.committed(p.part)
	if !ok {
		p.done(messages.Value{}, consensus.ErrNoGroup)
		return
	}
	round := consensus.NewRound(p.part, base, messages.Ballot{N: p.seen.N + 1, Who: p.stamp}, p.stamp, p.change)
	p.round = round
	p.node.process.After(min(roundUs, p.leftUs()), func() { p.finish(round) })
	p.post(round, round.Asks())
}

// post sends asks; those to one member go one after the other, each once the
// one before it was answered.
func (p *changing) post(round *consensus.Round, asks []consensus.Ask) {
	var order []string
	byMember := map[string][]consensus.Ask{}
	for _, a := range asks {
		if byMember[a.To.ID] == nil {
			order = append(order, a.To.ID)
		}
		byMember[a.To.ID] = append(byMember[a.To.ID], a)
	}
	for _, id := range order {
		p.postInTurn(round, byMember[id])
	}
}

func (p *changing) postInTurn(round *consensus.Round, asks []consensus.Ask) {
	if len(asks) == 0 || p.round != round {
		return
	}
	a := asks[0]
	p.node.call(a.To.Addr, a.Ask, func(r messages.ConsensusResponse) {
		if a.Ask.Step == messages.Commit {
			p.postInTurn(round, asks[1:])
			return
		}
		if p.round != round || round.End != consensus.Going {
			return
		}
		more := round.Hear(a.To, a.Ask.Step, r)
		if round.End != consensus.Going {
			p.finish(round)
			return
		}
		p.post(round, more)
		p.postInTurn(round, asks[1:])
	})
}

// finish looks at how a round ended and goes on, or is done.
func (p *changing) finish(round *consensus.Round) {
	if p.round != round {
		return
	}
	p.round = nil
	switch round.End {
	case consensus.Denied:
		p.done(round.Base, round.Err)
		return
	case consensus.Chosen:
		p.node.cluster.checks.chosen(p.part, round.Value)
		p.spread(round)
		p.settle(round, round.Mine)
		return
	case consensus.Overtook:
		p.node.learn(p.part, round.Value)
		p.settle(round, round.Value.Stamp == p.stamp)
		return
	}
	if consensus.Less(p.seen, round.Seen) {
		p.seen = round.Seen
	}
	if consensus.Less(p.seen, round.Ballot) {
		p.seen = round.Ballot
	}
	backOffUs := p.node.cluster.kernel.Between(0, int64(10+20*min(p.try, 8))*Millisecond)
	p.try++
	p.node.process.After(min(backOffUs, max(p.leftUs(), 0)), p.start)
}

func (p *changing) settle(round *consensus.Round, mine bool) {
	if mine {
		p.done(round.Value, nil)
		return
	}
	p.seen = messages.Ballot{}
	p.try++
	p.start()
}

// spread tells both groups what has been chosen.
func (p *changing) spread(round *consensus.Round) {
	v := round.Value
	p.node.learn(p.part, v)
	told := map[string]bool{p.node.addr: true}
	for _, group := range [][]messages.Member{round.Base.Group, v.Group} {
		for _, m := range group {
			if !told[m.Addr] {
				told[m.Addr] = true
				commit := messages.ConsensusRequest{Part: p.part, To: m.ID, Step: messages.Commit, Slot: v.Version, Value: v}
				p.node.call(m.Addr, commit, func(messages.ConsensusResponse) {})
			}
		}
	}
}

// reading is one Read under way.
type reading struct {
	node    *Controller
	part    int
	untilUs int64
	done    func(messages.Value, error)
}

// read gives the newest value that a majority vouches for.
func (c *Controller) read(part int, forUs int64, done func(messages.Value, error)) {
	p := &reading{node: c, part: part, untilUs: c.process.NowUs() + forUs, done: done}
	p.start()
}

// poll is one question to the whole group.
type poll struct {
	base             messages.Value
	votes            int
	unsettled, newer bool
	heard            int
	over             bool
}

func (p *reading) start() {
	base, ok := p.node.committed(p.part)
	switch {
	case p.node.process.NowUs() >= p.untilUs:
		p.done(messages.Value{}, consensus.ErrUnsure)
		return
	case !ok:
		p.done(messages.Value{}, consensus.ErrNoGroup)
		return
	case p.node.cluster.defects.ReadWithoutMajority:
		p.done(base, nil)
		return
	}
	q := &poll{base: base}
	p.node.process.After(readUs, func() { p.finish(q) })
	for _, m := range base.Group {
		request := messages.ConsensusRequest{Part: p.part, To: m.ID, Step: messages.Read, Slot: base.Version + 1}
		p.node.call(m.Addr, request, func(r messages.ConsensusResponse) { p.hear(q, r) })
	}
}

func (p *reading) hear(q *poll, r messages.ConsensusResponse) {
	if q.over {
		return
	}
	q.heard++
	if r.Verdict == messages.Granted {
		q.votes++
		if r.Version > q.base.Version {
			q.newer = true
			p.node.learn(p.part, r.Value)
		}
		if r.HasAccepted && r.Version == q.base.Version {
			q.unsettled = true
		}
	}
	settled := q.votes > len(q.base.Group)/2 && !q.unsettled && !q.newer
	if settled || q.heard == len(q.base.Group) {
		p.finish(q)
	}
}

func (p *reading) finish(q *poll) {
	if q.over {
		return
	}
	q.over = true
	switch {
	case q.newer:
		p.start()
	case q.votes > len(q.base.Group)/2 && !q.unsettled:
		p.done(q.base, nil)
	case q.unsettled:
		nothing := func(messages.Value) ([]messages.Member, []byte, error) { return nil, nil, errSettled }
		p.node.change(p.part, p.untilUs-p.node.process.NowUs(), nothing, func(_ messages.Value, err error) {
			if err != nil && !errors.Is(err, errSettled) {
				p.done(messages.Value{}, err)
				return
			}
			p.start()
		})
	default:
		p.node.process.After(readAgainUs, p.start)
	}
}
