package consensus

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// paxosModel simulates acceptors and rounds with lost messages, crashes, failed writes and
// disk losses, in an order determined by a seed. It checks that no two values are
// committed under one version and that no acknowledged change is lost.
type paxosModel struct {
	t            *testing.T
	rnd          *rand.Rand
	nodes        map[string]*node // by address
	inFlight     []message
	chosen       map[int64]string // by version: the stamp of the chosen value
	acknowledged int64            // the newest chosen version
	serial       int              // number of stamps and identities so far
	rounds       []*Round
	padding      string // appended to bodies to make values large
}

// node is a simulated member.
type node struct {
	addr     string
	acceptor Acceptor
	disk     messages.Record // the record that survives a crash
	up       bool
	learned  messages.Value
}

// message is a request, or the response to it, in flight.
type message struct {
	round    *Round
	request  Request
	reply    bool
	response messages.ConsensusResponse
}

// newPaxosModel returns a model with a group of size nodes.
func newPaxosModel(t *testing.T, seed uint64, size int) *paxosModel {
	t.Helper()
	model := &paxosModel{t: t, rnd: rand.New(rand.NewPCG(seed, 7)), nodes: map[string]*node{}, chosen: map[int64]string{}}
	var seeds []string
	for i := range size {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for _, s := range seeds {
		record := messages.Record{Committed: InitialValue(seeds)}
		model.nodes[s] = &node{addr: s, acceptor: Acceptor{ID: BootstrapID(s), Record: record}, disk: record, up: true, learned: record.Committed}
	}
	return model
}

// recordChosen records a chosen value and checks that its version has no other one.
func (p *paxosModel) recordChosen(v messages.Value) {
	if previous, ok := p.chosen[v.Version]; ok {
		must.Eq(p.t, previous, v.Stamp, must.Sprintf("two values chosen for version %d", v.Version))
	}
	p.chosen[v.Version] = v.Stamp
	p.acknowledged = max(p.acknowledged, v.Version)
}

func (p *paxosModel) learn(n *node, v messages.Value) {
	if v.Version > n.learned.Version || len(n.learned.Group) == 0 {
		n.learned = v
	}
}

// startRound starts a round under a random ballot at a node.
func (p *paxosModel) startRound(n *node, change Change) {
	p.serial++
	stamp := fmt.Sprintf("s%d", p.serial)
	round := NewRound(0, n.learned, messages.Ballot{N: int64(1 + p.rnd.IntN(6)), Who: stamp}, stamp, change)
	if n.acceptor.Record.HasAccepted {
		round.SetLocalValue(n.acceptor.Record.Accepted)
	}
	p.rounds = append(p.rounds, round)
	for _, request := range round.Requests() {
		p.inFlight = append(p.inFlight, message{round: round, request: request})
	}
}

// deliver delivers or loses a message.
func (p *paxosModel) deliver(i int) {
	m := p.inFlight[i]
	p.inFlight = append(p.inFlight[:i:i], p.inFlight[i+1:]...)
	switch {
	case p.rnd.IntN(12) == 0: // lost
	case m.reply:
		p.receiveResponse(m)
	default:
		p.handleRequest(m)
	}
}

// handleRequest passes a request to the acceptor of the receiver. There may be no response
// because of a failed write or a crash, or the response may be duplicated.
func (p *paxosModel) handleRequest(m message) {
	n := p.nodes[m.request.To.Addr]
	if n == nil || !n.up {
		return
	}
	if m.request.Body.Step == messages.Commit {
		p.learn(n, m.request.Body.Value)
		return
	}
	n.acceptor.Learn(n.learned)
	before := n.acceptor.Record
	response, changed := n.acceptor.Handle(m.request.Body)
	if changed {
		switch p.rnd.IntN(12) {
		case 0: // the write fails: no response
			n.acceptor.Record = before
			return
		case 1: // crash after the write, before the response
			n.disk = n.acceptor.Record
			p.crash(n)
			return
		}
		n.disk = n.acceptor.Record
	}
	m.reply, m.response = true, response
	p.inFlight = append(p.inFlight, m)
	if p.rnd.IntN(15) == 0 { // duplicated
		p.inFlight = append(p.inFlight, m)
	}
}

// receiveResponse passes a response to its round. Some nodes learn the value that the
// round ends with.
func (p *paxosModel) receiveResponse(m message) {
	before := m.round.Outcome
	for _, request := range m.round.Receive(m.request.To, m.request.Body.Step, m.response) {
		p.inFlight = append(p.inFlight, message{round: m.round, request: request})
	}
	if before != InProgress {
		return
	}
	switch m.round.Outcome {
	case Chosen:
		p.recordChosen(m.round.Value)
		p.learnWhere(m.round.Value, func(n *node) bool { return p.rnd.IntN(3) > 0 && n.up })
	case Superseded:
		p.learnWhere(m.round.Value, func(n *node) bool { return n.up && p.rnd.IntN(2) == 0 })
	}
}

// learnWhere delivers a committed value to the nodes for which receives returns true.
func (p *paxosModel) learnWhere(v messages.Value, receives func(n *node) bool) {
	for _, n := range p.nodes {
		if receives(n) {
			p.learn(n, v)
		}
	}
}

// crash stops a node, which loses the state that is not on disk.
func (p *paxosModel) crash(n *node) {
	n.up = false
	n.acceptor.Record = n.disk
	n.learned = n.disk.Committed
}

// wipeDisk erases the disk of a node and assigns it a new identity.
func (p *paxosModel) wipeDisk(n *node) {
	p.serial++
	n.disk = messages.Record{}
	n.acceptor = Acceptor{ID: fmt.Sprintf("%s/w%d", n.addr, p.serial)}
	n.learned = messages.Value{}
}

// setBody returns a change that sets the body and does not change the group.
func setBody(s string) Change {
	return func(messages.Value) ([]messages.Member, []byte, error) { return nil, []byte(s), nil }
}

// pickLive returns a random node that is up and has learned the group, or nil.
func (p *paxosModel) pickLive() *node {
	var live []*node
	for i := range len(p.nodes) {
		n := p.nodes[fmt.Sprintf("10.0.0.%d:1", i+1)]
		if n.up && len(n.learned.Group) > 0 {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[p.rnd.IntN(len(live))]
}

// commitFinal starts all nodes and delivers without loss until one more change is
// committed, and returns it.
func (p *paxosModel) commitFinal() messages.Value {
	p.inFlight = nil
	p.startAll()
	newest := p.newestLearned()
	for retries := range 40 {
		stamp := fmt.Sprintf("final%d", retries)
		round := NewRound(0, newest, messages.Ballot{N: 1000 + int64(retries), Who: stamp}, stamp, setBody("final"))
		p.deliverInOrder(round, func(*node) {})
		switch round.Outcome {
		case Chosen:
			p.recordChosen(round.Value)
			newest = round.Value
			if round.IsOwnValue {
				return newest
			}
		case Superseded:
			newest = round.Value
		}
	}
	p.t.Fatalf("no change committed although all nodes are up and no message is lost")
	return newest
}

// newestLearned returns the newest committed value that any node has learned.
func (p *paxosModel) newestLearned() messages.Value {
	newest := messages.Value{}
	for _, n := range p.nodes {
		if n.learned.Version >= newest.Version && len(n.learned.Group) > 0 {
			newest = n.learned
		}
	}
	return newest
}

// deliverInOrder runs a round without loss. onHandled is called with each node that has
// handled a request.
func (p *paxosModel) deliverInOrder(round *Round, onHandled func(n *node)) {
	requests := round.Requests()
	for len(requests) > 0 && round.Outcome == InProgress {
		request := requests[0]
		requests = requests[1:]
		n := p.nodes[request.To.Addr]
		if n == nil {
			continue
		}
		if request.Body.Step == messages.Commit {
			p.learn(n, request.Body.Value)
			continue
		}
		n.acceptor.Learn(n.learned)
		response, _ := n.acceptor.Handle(request.Body)
		onHandled(n)
		requests = append(requests, round.Receive(request.To, request.Body.Step, response)...)
	}
}

// step starts a change, crashes a node, restarts all nodes or delivers a message.
func (p *paxosModel) step() {
	switch k := p.rnd.IntN(100); {
	case k < 6:
		if n := p.pickLive(); n != nil {
			p.startRound(n, setBody(fmt.Sprint(p.serial, p.padding)))
		}
	case k < 8:
		if n := p.pickLive(); n != nil {
			p.crash(n)
		}
	case k < 12:
		p.startAll()
	case len(p.inFlight) > 0:
		p.deliver(p.rnd.IntN(len(p.inFlight)))
	}
}

func (p *paxosModel) startAll() {
	for _, n := range p.nodes {
		n.up = true
	}
}

// Rounds with random ballots run concurrently while messages are lost and duplicated and
// nodes crash.
func TestOneValueCommittedPerVersionInRandomOrders(t *testing.T) {
	for seed := range uint64(400) {
		size := 3 + 2*int(seed%2)
		model := newPaxosModel(t, seed, size)
		for range 600 {
			model.step()
		}
		acked := model.acknowledged
		last := model.commitFinal()
		must.Greater(t, acked, last.Version, must.Sprintf("seed %d: acknowledged change lost", seed))
	}
}

// As TestOneValueCommittedPerVersionInRandomOrders, with values so large that members
// report and accept them by reference.
func TestOneLargeValueCommittedPerVersionInRandomOrders(t *testing.T) {
	references := 0
	for seed := range uint64(40) {
		model := newPaxosModel(t, seed, 3+2*int(seed%2))
		model.padding = strings.Repeat("x", statesync.ChunkBytes)
		for range 600 {
			model.step()
			for _, m := range model.inFlight {
				if m.request.Body.Step == messages.Accept && isReference(m.request.Body.Value) {
					references++
				}
			}
		}
		acked := model.acknowledged
		last := model.commitFinal()
		must.Greater(t, acked, last.Version, must.Sprintf("seed %d: acknowledged change lost", seed))
	}
	must.Positive(t, references)
}

// One disk is lost at a time, and the new identity joins the group before the next loss.
func TestAcknowledgedChangeSurvivesDiskLoss(t *testing.T) {
	for seed := range uint64(200) {
		model := newPaxosModel(t, seed, 3)
		for range 6 {
			model.runRandomChanges(60)
			acked := model.acknowledged
			wipedNode := model.nodes[fmt.Sprintf("10.0.0.%d:1", 1+model.rnd.IntN(3))]
			model.wipeDisk(wipedNode)
			last := model.commitFinal()
			must.Greater(t, acked, last.Version, must.Sprintf("seed %d", seed))
			for _, n := range model.nodes {
				model.learn(n, last)
			}
			group, needed := RepairGroup(last.Group, Status{Ready: model.liveMembers(), UnreachableFor: func(string) int64 { return 0 }, UnreachableTimeoutUs: 1})
			must.True(t, needed)
			must.True(t, containsMember(group, wipedNode.acceptor.ID))
			model.changeGroup(last, group)
		}
	}
}

// loseTwoDisks wipes two random nodes and crashes all others.
func (p *paxosModel) loseTwoDisks(size int) (lost []*node) {
	first := p.rnd.IntN(size)
	second := (first + 1 + p.rnd.IntN(size-1)) % size
	for i := range size {
		n := p.nodes[fmt.Sprintf("10.0.0.%d:1", i+1)]
		if i == first || i == second {
			p.wipeDisk(n)
			lost = append(lost, n)
		} else {
			p.crash(n)
		}
	}
	return lost
}

// In groups of five and seven, two disks are lost at once while all other members lose
// power. Acknowledged changes survive, and the new identities join one after the other.
func TestAcknowledgedChangeSurvivesTwoSimultaneousDiskLosses(t *testing.T) {
	for seed := range uint64(200) {
		size := 5 + 2*int(seed%2)
		model := newPaxosModel(t, seed, size)
		for range 4 {
			model.runRandomChanges(90)
			acked := model.acknowledged
			lost := model.loseTwoDisks(size)
			last := model.commitFinal()
			must.Greater(t, acked, last.Version, must.Sprintf("seed %d", seed))
			for _, n := range model.nodes {
				model.learn(n, last)
			}
			for range lost {
				v := model.nodes[last.Group[0].Addr].learned
				group, needed := RepairGroup(v.Group, Status{Ready: model.liveMembers(), UnreachableFor: func(string) int64 { return 0 }, UnreachableTimeoutUs: 1})
				must.True(t, needed)
				model.changeGroup(v, group)
			}
			group := model.nodes[last.Group[0].Addr].learned.Group
			must.Len(t, size, group)
			for _, n := range lost {
				must.True(t, containsMember(group, n.acceptor.ID), must.Sprintf("seed %d", seed))
			}
		}
	}
}

// runRandomChanges delivers messages in random order, and starts a change in one of twelve
// steps on average.
func (p *paxosModel) runRandomChanges(steps int) {
	for range steps {
		if p.rnd.IntN(12) == 0 {
			if n := p.pickLive(); n != nil {
				p.startRound(n, setBody(fmt.Sprint(p.serial)))
			}
		} else if len(p.inFlight) > 0 {
			p.deliver(p.rnd.IntN(len(p.inFlight)))
		}
	}
}

func (p *paxosModel) liveMembers() []messages.Member {
	var out []messages.Member
	for _, n := range p.nodes {
		out = append(out, messages.Member{ID: n.acceptor.ID, Addr: n.addr})
	}
	return out
}

// changeGroup commits a membership change without loss of messages.
func (p *paxosModel) changeGroup(base messages.Value, group []messages.Member) {
	change := func(cur messages.Value) ([]messages.Member, []byte, error) { return group, cur.Body, nil }
	round := NewRound(0, base, messages.Ballot{N: 5000, Who: "group-change"}, "group-change", change)
	p.deliverInOrder(round, func(n *node) { n.disk = n.acceptor.Record })
	must.Eq(p.t, Chosen, round.Outcome)
	p.recordChosen(round.Value)
	for _, n := range p.nodes {
		p.learn(n, round.Value)
	}
}
