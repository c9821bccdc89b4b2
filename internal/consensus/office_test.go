package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/simulation/history"
)

const (
	operators   = 8
	weightsPart = 1
)

// office is eight operators at a group of members that lose messages, crash,
// lose their disks, change their group and get versions of the
// program with other checks, in an order drawn from a seed.
type office struct {
	rnd      *rand.Rand
	hist     history.History
	members  []*member
	wires    []letter
	pending  []*pending
	clients  [operators]client
	newest   [2]messages.Value // what was chosen
	serial   int
	calm     bool // no trouble any more
	finals   int  // orders that were taken
	stricter bool // the program refuses disputed orders at present
}

// member is a node with its two registers.
type member struct {
	addr  string
	life  int // counts identities
	up    bool
	acc   [2]Acceptor
	disk  [2]messages.Record
	known [2]messages.Value
}

// letter is an ask or the word on it.
type letter struct {
	call  *pending
	of    any // the round or look that it belongs to: words for another find nothing
	ask   Request
	reply bool
	word  messages.ConsensusResponse
}

// pending is a call that a member works on.
type pending struct {
	id      int // in the history, -1 for repairs
	client  int
	at      *member
	part    int
	attempt *Attempt
	round   *Round
	look    *Reading // of a read; nil for a change
}

func (o *office) lot(n int) bool { return o.rnd.IntN(n) == 0 }

// trouble is a lot that comes out only while there is trouble.
func (o *office) trouble(n int) bool { return !o.calm && o.lot(n) }

func newOffice(seed uint64) *office {
	o := &office{rnd: rand.New(rand.NewPCG(seed, 12))}
	var seeds []string
	for i := range 3 + 2*int(seed%2) {
		seeds = append(seeds, fmt.Sprintf("n%d", i))
	}
	for _, s := range seeds {
		m := &member{addr: s, up: true}
		for part := range m.acc {
			m.disk[part] = messages.Record{Committed: Genesis(seeds)}
			m.acc[part] = Acceptor{ID: FirstID(s), Rec: m.disk[part]}
			m.known[part] = m.disk[part].Committed
		}
		o.members = append(o.members, m)
	}
	spare := &member{addr: "spare", up: true}
	o.wipe(spare)
	o.members = append(o.members, spare)
	o.newest = o.members[0].known
	return o
}

func (o *office) lookAgain(p *pending) {
	p.attempt, p.round = nil, nil
	p.look = NewReading(p.at.known[p.part])
	for _, m := range p.look.Base.Group {
		request := messages.ConsensusRequest{Part: p.part, To: m.ID, Step: messages.Read, Slot: p.look.Base.Version + 1}
		o.wires = append(o.wires, letter{call: p, of: p.look, ask: Request{To: m, Body: request}})
	}
}

func (o *office) start(p *pending, change Change) {
	o.serial++
	p.attempt = NewAttempt(p.part, fmt.Sprintf("s%d", o.serial), change)
	o.pending = append(o.pending, p)
	o.nextRound(p)
}

func (o *office) nextRound(p *pending) {
	p.round = p.attempt.Round(p.at.known[p.part])
	o.post(p, p.round.Requests())
}

func (o *office) post(p *pending, requests []Request) {
	for _, request := range requests {
		o.wires = append(o.wires, letter{call: p, of: p.round, ask: request})
	}
}

func (o *office) drop(p *pending) {
	for i := range o.pending {
		if o.pending[i] == p {
			o.pending = append(o.pending[:i:i], o.pending[i+1:]...)
			return
		}
	}
}

func (m *member) learn(part int, v messages.Value) {
	if v.Version > m.known[part].Version || len(m.known[part].Group) == 0 {
		m.known[part] = v
	}
}

func (o *office) byAddr(addr string) *member {
	for _, m := range o.members {
		if m.addr == addr {
			return m
		}
	}
	return nil
}

// carry delivers one letter drawn by lot, or loses it.
func (o *office) carry() {
	i := o.rnd.IntN(len(o.wires))
	l := o.wires[i]
	o.wires = append(o.wires[:i:i], o.wires[i+1:]...)
	switch {
	case o.trouble(12):
	case l.reply:
		o.hear(l)
	default:
		o.handle(l)
	}
}

func (o *office) handle(l letter) {
	m, part := o.byAddr(l.ask.To.Addr), l.ask.Body.Part
	if !m.up {
		return
	}
	if l.ask.Body.Step == messages.Commit {
		m.learn(part, l.ask.Body.Value)
		return
	}
	m.acc[part].Learn(m.known[part])
	before := m.acc[part].Rec
	response, dirty := m.acc[part].Handle(l.ask.Body)
	if dirty && o.trouble(15) { // the disk refuses: no word
		m.acc[part].Rec = before
		return
	}
	if dirty {
		m.disk[part] = m.acc[part].Rec
	}
	if dirty && o.trouble(25) { // crash after the write, before the word
		o.crash(m)
		return
	}
	l.reply, l.word = true, response
	o.wires = append(o.wires, l)
	if o.lot(15) {
		o.wires = append(o.wires, l)
	}
}

// hear brings a word to the call that asked.
func (o *office) hear(l letter) {
	p := l.call
	if !o.works(p) {
		return
	}
	switch l.of {
	case p.round:
		o.post(p, p.round.Receive(l.ask.To, l.ask.Body.Step, l.word))
		if p.round.End != InProgress {
			o.close(p)
		}
	case p.look:
		p.look.Receive(l.ask.To, l.word)
		switch p.look.Result() {
		case Current:
			o.tell(p)
		case Newer:
			p.at.learn(p.part, p.look.Newer)
			o.lookAgain(p)
		}
	}
}

func (o *office) works(p *pending) bool { return slices.Contains(o.pending, p) }

// close goes on after a round, as Change does.
func (o *office) close(p *pending) {
	round := p.round
	switch round.End {
	case Chosen:
		o.chosen(p)
	case Superseded:
		p.at.learn(p.part, round.Value)
	}
	if p.attempt.Finish(round) == Finished {
		o.finish(p)
		return
	}
	o.nextRound(p)
}

func (o *office) chosen(p *pending) {
	v := p.round.Value
	if v.Version > o.newest[p.part].Version {
		o.newest[p.part] = v
	}
	p.at.learn(p.part, v)
	o.hist.Note("part %d version %d chosen at %s: %s", p.part, v.Version, p.at.addr, v.Stamp)
	for _, m := range unionOf(p.round.Base.Group, v.Group) {
		request := messages.ConsensusRequest{Part: p.part, To: m.ID, Step: messages.Commit, Slot: v.Version, Value: v}
		o.wires = append(o.wires, letter{call: p, ask: Request{To: m, Body: request}})
	}
}

var errSettledHere = errors.New("settled")

// tire lets time pass for one call: a round or a look is given up, or the call.
func (o *office) tire() {
	if len(o.pending) == 0 {
		return
	}
	p := o.pending[o.rnd.IntN(len(o.pending))]
	switch {
	case o.trouble(3):
		o.hist.Note("call %d: no answer", p.id)
		o.drop(p)
	case p.round != nil && p.round.SealPending():
		o.post(p, p.round.Seal())
	case p.round != nil:
		o.close(p)
	case p.look.Result() == Undecided:
		o.serial++
		p.attempt = NewAttempt(p.part, fmt.Sprintf("s%d", o.serial), func(messages.Value) ([]messages.Member, []byte, error) { return nil, nil, errSettledHere })
		o.nextRound(p)
	default:
		o.lookAgain(p)
	}
}
