package consensus

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/logring"
	"beechtide.org/beechtide/internal/messages"
)

// world plays messages, crashes, torn files and disk losses against the pure
// machines, in an order drawn from a seed. It checks that no two values are
// ever committed under one version and that nothing acknowledged is lost.
type world struct {
	t      *testing.T
	rnd    *rand.Rand
	nodes  map[string]*node // by address
	wires  []message
	chosen map[int64]string
	acked  int64
	serial int
	rounds []*Round
}

type node struct {
	addr  string
	acc   Acceptor
	disk  messages.Record // what survives a crash
	up    bool
	known messages.Value
}

type message struct {
	round *Round
	ask   Request
	reply bool
	word  messages.ConsensusResponse
	ok    bool
}

func newWorld(t *testing.T, seed uint64, size int) *world {
	w := &world{t: t, rnd: rand.New(rand.NewPCG(seed, 7)), nodes: map[string]*node{}, chosen: map[int64]string{}}
	var seeds []string
	for i := range size {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for _, s := range seeds {
		rec := messages.Record{Committed: Genesis(seeds)}
		w.nodes[s] = &node{addr: s, acc: Acceptor{ID: FirstID(s), Rec: rec}, disk: rec, up: true, known: rec.Committed}
	}
	return w
}

func (w *world) commit(v messages.Value) {
	if old, ok := w.chosen[v.Version]; ok {
		must.Eq(w.t, old, v.Stamp, must.Sprintf("two values under version %d", v.Version))
	}
	w.chosen[v.Version] = v.Stamp
	w.acked = max(w.acked, v.Version)
}

func (w *world) learn(n *node, v messages.Value) {
	if v.Version > n.known.Version || len(n.known.Group) == 0 {
		n.known = v
	}
}

func (w *world) start(n *node, change Change) {
	w.serial++
	stamp := fmt.Sprintf("s%d", w.serial)
	round := NewRound(0, n.known, messages.Ballot{N: int64(1 + w.rnd.IntN(6)), Who: stamp}, stamp, change)
	w.rounds = append(w.rounds, round)
	for _, request := range round.Requests() {
		w.wires = append(w.wires, message{round: round, ask: request, ok: true})
	}
}

func (w *world) deliver(i int) {
	m := w.wires[i]
	w.wires = append(w.wires[:i:i], w.wires[i+1:]...)
	if w.rnd.IntN(12) == 0 {
		return // lost
	}
	if !m.reply {
		n := w.nodes[m.ask.To.Addr]
		if n == nil || !n.up {
			return
		}
		if m.ask.Body.Step == messages.Commit {
			w.learn(n, m.ask.Body.Value)
			return
		}
		n.acc.Learn(n.known)
		before := n.acc.Rec
		response, dirty := n.acc.Handle(m.ask.Body)
		if dirty {
			switch w.rnd.IntN(12) {
			case 0: // the disk refuses: no word
				n.acc.Rec = before
				return
			case 1: // crash after the write, before the word
				n.disk = n.acc.Rec
				w.crash(n)
				return
			}
			n.disk = n.acc.Rec
		}
		w.wires = append(w.wires, message{round: m.round, ask: m.ask, reply: true, word: response})
		if w.rnd.IntN(15) == 0 { // doubled
			w.wires = append(w.wires, message{round: m.round, ask: m.ask, reply: true, word: response})
		}
		return
	}
	was := m.round.End
	for _, request := range m.round.Receive(m.ask.To, m.ask.Body.Step, m.word) {
		w.wires = append(w.wires, message{round: m.round, ask: request})
	}
	if was == InProgress && m.round.End == Chosen {
		w.commit(m.round.Value)
		for _, n := range w.nodes {
			if w.rnd.IntN(3) > 0 && n.up {
				w.learn(n, m.round.Value)
			}
		}
	}
	if was == InProgress && m.round.End == Superseded {
		for _, n := range w.nodes {
			if n.up && w.rnd.IntN(2) == 0 {
				w.learn(n, m.round.Value)
			}
		}
	}
}

func (w *world) crash(n *node) {
	n.up = false
	n.acc.Rec = n.disk
	n.known = n.disk.Committed
}

// wipe takes a disk away; the node comes back as somebody new.
func (w *world) wipe(n *node) {
	w.serial++
	n.disk = messages.Record{}
	n.acc = Acceptor{ID: fmt.Sprintf("%s/w%d", n.addr, w.serial)}
	n.known = messages.Value{}
}

func body(s string) Change {
	return func(messages.Value) ([]messages.Member, []byte, error) { return nil, []byte(s), nil }
}

func (w *world) pickUp() *node {
	var list []*node
	for i := range len(w.nodes) {
		n := w.nodes[fmt.Sprintf("10.0.0.%d:1", i+1)]
		if n.up && len(n.known.Group) > 0 {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[w.rnd.IntN(len(list))]
}

// settle delivers without loss until one more change is agreed on, and returns it.
func (w *world) settle() messages.Value {
	w.wires = nil
	for _, n := range w.nodes {
		n.up = true
	}
	newest := messages.Value{}
	for _, n := range w.nodes {
		if n.known.Version >= newest.Version && len(n.known.Group) > 0 {
			newest = n.known
		}
	}
	for retries := range 40 {
		stamp := fmt.Sprintf("final%d", retries)
		round := NewRound(0, newest, messages.Ballot{N: 1000 + int64(retries), Who: stamp}, stamp, body("final"))
		requests := round.Requests()
		for len(requests) > 0 && round.End == InProgress {
			request := requests[0]
			requests = requests[1:]
			n := w.nodes[request.To.Addr]
			if n == nil {
				continue
			}
			if request.Body.Step == messages.Commit {
				w.learn(n, request.Body.Value)
				continue
			}
			n.acc.Learn(n.known)
			response, _ := n.acc.Handle(request.Body)
			requests = append(requests, round.Receive(request.To, request.Body.Step, response)...)
		}
		switch round.End {
		case Chosen:
			w.commit(round.Value)
			newest = round.Value
			if round.Mine {
				return newest
			}
		case Superseded:
			newest = round.Value
		}
	}
	w.t.Fatalf("no majority after everything came back")
	return newest
}

func TestRandomOrdersKeepOneValueAMark(t *testing.T) {
	for seed := range uint64(400) {
		size := 3 + 2*int(seed%2)
		w := newWorld(t, seed, size)
		for range 600 {
			switch k := w.rnd.IntN(100); {
			case k < 6:
				if n := w.pickUp(); n != nil {
					w.start(n, body(fmt.Sprint(w.serial)))
				}
			case k < 8:
				if n := w.pickUp(); n != nil {
					w.crash(n)
				}
			case k < 12:
				for _, n := range w.nodes {
					n.up = true
				}
			case len(w.wires) > 0:
				w.deliver(w.rnd.IntN(len(w.wires)))
			}
		}
		acked := w.acked
		last := w.settle()
		must.Greater(t, acked, last.Version, must.Sprintf("seed %d: acknowledged version lost", seed))
	}
}

// One disk at a time is lost; the newcomer is swapped in before the next loss.
func TestLostDisksLoseNothingAcknowledged(t *testing.T) {
	for seed := range uint64(200) {
		w := newWorld(t, seed, 3)
		for range 6 {
			for range 60 {
				if w.rnd.IntN(12) == 0 {
					if n := w.pickUp(); n != nil {
						w.start(n, body(fmt.Sprint(w.serial)))
					}
				} else if len(w.wires) > 0 {
					w.deliver(w.rnd.IntN(len(w.wires)))
				}
			}
			acked := w.acked
			victim := w.nodes[fmt.Sprintf("10.0.0.%d:1", 1+w.rnd.IntN(3))]
			w.wipe(victim)
			last := w.settle()
			must.Greater(t, acked, last.Version, must.Sprintf("seed %d", seed))
			for _, n := range w.nodes {
				w.learn(n, last)
			}
			group, want := RepairGroup(last.Group, Status{Ready: w.ready(), GoneFor: func(string) int64 { return 0 }, GoneUs: 1})
			must.True(t, want)
			must.True(t, containsMember(group, victim.acc.ID))
			w.swap(last, group)
		}
	}
}

// Groups of five and seven: two disks are lost at one moment while every other
// member loses power. What was acknowledged stays, and the newcomers are taken
// in one after the other.
func TestTwoDisksLostAtOnceLoseNothingAcknowledged(t *testing.T) {
	for seed := range uint64(200) {
		size := 5 + 2*int(seed%2)
		w := newWorld(t, seed, size)
		for range 4 {
			for range 90 {
				if w.rnd.IntN(12) == 0 {
					if n := w.pickUp(); n != nil {
						w.start(n, body(fmt.Sprint(w.serial)))
					}
				} else if len(w.wires) > 0 {
					w.deliver(w.rnd.IntN(len(w.wires)))
				}
			}
			acked := w.acked
			first := w.rnd.IntN(size)
			second := (first + 1 + w.rnd.IntN(size-1)) % size
			var lost []*node
			for i := range size {
				n := w.nodes[fmt.Sprintf("10.0.0.%d:1", i+1)]
				if i == first || i == second {
					w.wipe(n)
					lost = append(lost, n)
				} else {
					w.crash(n)
				}
			}
			last := w.settle()
			must.Greater(t, acked, last.Version, must.Sprintf("seed %d", seed))
			for _, n := range w.nodes {
				w.learn(n, last)
			}
			for range lost {
				v := w.nodes[last.Group[0].Addr].known
				group, want := RepairGroup(v.Group, Status{Ready: w.ready(), GoneFor: func(string) int64 { return 0 }, GoneUs: 1})
				must.True(t, want)
				w.swap(v, group)
			}
			group := w.nodes[last.Group[0].Addr].known.Group
			must.Len(t, size, group)
			for _, n := range lost {
				must.True(t, containsMember(group, n.acc.ID), must.Sprintf("seed %d", seed))
			}
		}
	}
}

func (w *world) ready() []messages.Member {
	var out []messages.Member
	for _, n := range w.nodes {
		out = append(out, messages.Member{ID: n.acc.ID, Addr: n.addr})
	}
	return out
}

func (w *world) swap(base messages.Value, group []messages.Member) {
	round := NewRound(0, base, messages.Ballot{N: 5000, Who: "steward"}, "steward", func(cur messages.Value) ([]messages.Member, []byte, error) { return group, cur.Body, nil })
	requests := round.Requests()
	for len(requests) > 0 && round.End == InProgress {
		request := requests[0]
		requests = requests[1:]
		n := w.nodes[request.To.Addr]
		if request.Body.Step == messages.Commit {
			w.learn(n, request.Body.Value)
			continue
		}
		n.acc.Learn(n.known)
		response, _ := n.acc.Handle(request.Body)
		n.disk = n.acc.Rec
		requests = append(requests, round.Receive(request.To, request.Body.Step, response)...)
	}
	must.Eq(w.t, Chosen, round.End)
	w.commit(round.Value)
	for _, n := range w.nodes {
		w.learn(n, round.Value)
	}
}

// A member is replaced, every node loses power, and another one its disk: the
// new group must know by itself that it is it (ritwerk trouble-2 --seed 13).
func TestNewGroupKnowsItselfAfterALossOfPower(t *testing.T) {
	nodes := map[string]*Registers{}
	stores := map[string]*MemoryStore{}
	var mu sync.Mutex
	net := carrier(func(ctx context.Context, addr string, body []byte) ([]byte, error) {
		mu.Lock()
		n := nodes[addr]
		mu.Unlock()
		if n == nil {
			return nil, errors.New("dark")
		}
		return n.Handle(ctx, body)
	})
	seeds := []string{"a", "b", "c"}
	open := func(addr string, bootstrap bool) {
		if stores[addr] == nil {
			stores[addr] = &MemoryStore{}
		}
		registers, err := Open(addr, 1, bootstrap, seeds, net, stores[addr], logr.Discard(), nil)
		must.NoError(t, err)
		mu.Lock()
		nodes[addr] = registers
		mu.Unlock()
	}
	stop := func(addr string) {
		mu.Lock()
		delete(nodes, addr)
		mu.Unlock()
	}
	for _, s := range seeds {
		open(s, true)
	}
	ctx := context.Background()
	stop("a")
	open("d", false)
	must.NoError(t, nodes["d"].Pull(ctx, "b", 1))
	group := []messages.Member{{ID: nodes["d"].ID(), Addr: "d"}, {ID: nodes["b"].ID(), Addr: "b"}, {ID: nodes["c"].ID(), Addr: "c"}}
	_, err := nodes["b"].Change(ctx, 1, func(cur messages.Value) ([]messages.Member, []byte, error) { return group, []byte("x"), nil })
	must.NoError(t, err)
	for _, addr := range []string{"b", "c", "d"} { // what was told reaches the disks
		for {
			rec, _, _ := stores[addr].Load(1)
			if rec.Committed.Version == 1 {
				break
			}
			runtime.Gosched()
		}
	}
	for _, addr := range []string{"b", "c", "d"} {
		stop(addr)
	}
	stores["b"] = &MemoryStore{}
	for _, addr := range []string{"b", "c", "d"} {
		open(addr, false)
	}
	v, err := nodes["c"].Read(ctx, 1)
	must.NoError(t, err)
	must.Eq(t, "x", string(v.Body))
	_, err = nodes["d"].Change(ctx, 1, body("y"))
	must.NoError(t, err)
}

// All founders restart before a register has taken its first value: they still
// know its group (found by the simulation).
func TestFoundersKeepAGroupThatHasTakenNoValue(t *testing.T) {
	nodes := map[string]*Registers{}
	net := carrier(func(ctx context.Context, addr string, body []byte) ([]byte, error) {
		return nodes[addr].Handle(ctx, body)
	})
	seeds := []string{"a", "b", "c"}
	stores := map[string]*MemoryStore{}
	for _, bootstrap := range []bool{true, false} {
		for _, s := range seeds {
			if bootstrap {
				stores[s] = &MemoryStore{}
			}
			registers, err := Open(s, 1, bootstrap, seeds, net, stores[s], logr.Discard(), nil)
			must.NoError(t, err)
			nodes[s] = registers
		}
	}
	_, err := nodes["b"].Change(context.Background(), 3, body("first"))
	must.NoError(t, err)
}

type refusing struct{ MemoryStore }

func (*refusing) Save(int, messages.Record) error { return errors.Wrap(ErrStore, "full") }

// A member whose disk refuses writes gives no vote, says so once, and does not
// keep the others from agreeing.
func TestRefusingStoreGivesNoVoteAndSaysSoOnce(t *testing.T) {
	var out bytes.Buffer
	nodes := map[string]*Registers{}
	net := carrier(func(ctx context.Context, addr string, body []byte) ([]byte, error) {
		return nodes[addr].Handle(ctx, body)
	})
	seeds := []string{"a", "b", "c"}
	log := logr.New(logring.New(16, &out))
	for _, s := range seeds {
		var store Store = &MemoryStore{}
		if s == "a" {
			store = &refusing{}
		}
		registers, err := Open(s, 1, true, seeds, net, store, log, nil)
		must.NoError(t, err)
		nodes[s] = registers
	}
	for i := range 3 {
		_, err := nodes["a"].Change(context.Background(), 0, body(fmt.Sprint(i)))
		must.NoError(t, err)
	}
	request := messages.ConsensusRequest{To: nodes["a"].ID(), Step: messages.Prepare, Slot: 4, Ballot: messages.Ballot{N: 9, Who: "x"}}
	b, err := request.MarshalMsg(nil)
	must.NoError(t, err)
	_, err = nodes["a"].Handle(context.Background(), b)
	must.ErrorIs(t, err, ErrStore)
	_, fault := nodes["a"].LastSave()
	must.StrContains(t, fault, "full")
	must.Eq(t, 1, strings.Count(out.String(), "refuses writes"))
}

type carrier func(ctx context.Context, addr string, body []byte) ([]byte, error)

func (c carrier) Call(ctx context.Context, addr string, _ int, m msgp.Marshaler) ([]byte, error) {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	return c(ctx, addr, b)
}

func TestWipedMemberNeitherPromisesNorVotes(t *testing.T) {
	g := Genesis([]string{"a", "b", "c"})
	a := Acceptor{ID: "a/new", Rec: messages.Record{Committed: g}}
	response, dirty := a.Handle(messages.ConsensusRequest{To: FirstID("a"), Step: messages.Prepare, Slot: 1, Ballot: messages.Ballot{N: 1}})
	must.Eq(t, messages.Stranger, response.Verdict)
	must.False(t, dirty)
	response, _ = a.Handle(messages.ConsensusRequest{To: FirstID("a"), Step: messages.Read, Slot: 1})
	must.Eq(t, messages.Stranger, response.Verdict)
}

func TestDenialIsFinalOnlyAfterAMajorityPromised(t *testing.T) {
	g := Genesis([]string{"a", "b", "c"})
	no := errors.New("no")
	round := NewRound(0, g, messages.Ballot{N: 1, Who: "x"}, "x", func(messages.Value) ([]messages.Member, []byte, error) { return nil, nil, no })
	round.Receive(g.Group[0], messages.Prepare, messages.ConsensusResponse{Verdict: messages.Granted})
	must.Eq(t, InProgress, round.End)
	round.Receive(g.Group[1], messages.Prepare, messages.ConsensusResponse{Verdict: messages.Granted})
	must.Eq(t, Rejected, round.End)
	must.ErrorIs(t, round.Err, no)
}

func TestChangeOfGroupNeedsBothMajorities(t *testing.T) {
	g := Genesis([]string{"a", "b", "c"})
	next := []messages.Member{{ID: "d/1", Addr: "d"}, {ID: "e/1", Addr: "e"}, g.Group[0]}
	round := NewRound(0, g, messages.Ballot{N: 1, Who: "x"}, "x", func(messages.Value) ([]messages.Member, []byte, error) { return next, nil, nil })
	for _, m := range g.Group[:2] {
		round.Receive(m, messages.Prepare, messages.ConsensusResponse{Verdict: messages.Granted})
	}
	for _, m := range g.Group {
		round.Receive(m, messages.Accept, messages.ConsensusResponse{Verdict: messages.Granted})
	}
	must.Eq(t, InProgress, round.End)
	round.Receive(next[0], messages.Accept, messages.ConsensusResponse{Verdict: messages.Granted})
	must.Eq(t, Chosen, round.End)
}

func TestRegroup(t *testing.T) {
	g := Genesis([]string{"a", "b", "c"}).Group
	gone := map[string]int64{}
	st := func(ready ...messages.Member) Status {
		return Status{Ready: append(append([]messages.Member{}, g...), ready...), GoneFor: func(a string) int64 { return gone[a] }, GoneUs: 10}
	}
	_, want := RepairGroup(g, st())
	must.False(t, want)
	_, want = RepairGroup(g, st(messages.Member{ID: "d/1", Addr: "d"}))
	must.False(t, want, must.Sprint("a single newcomer waits"))
	next, want := RepairGroup(g, st(messages.Member{ID: "b/2", Addr: "b"}))
	must.True(t, want)
	must.False(t, containsMember(next, FirstID("b")))
	must.Len(t, 3, next)
	gone["c"] = 11
	next, want = RepairGroup(g, st(messages.Member{ID: "d/1", Addr: "d"}))
	must.True(t, want)
	must.False(t, containsMember(next, FirstID("c")))
	must.True(t, containsMember(next, "d/1"))
	_, want = RepairGroup(g, st())
	must.False(t, want, must.Sprint("nobody to take its place"))
	delete(gone, "c")
	next, want = RepairGroup(g, st(messages.Member{ID: "d/1", Addr: "d"}, messages.Member{ID: "e/1", Addr: "e"}))
	must.True(t, want)
	must.Len(t, 4, next)
}

func TestMembersAreThoseThatCount(t *testing.T) {
	alive := func(addr string) int64 { return 0 }
	peer := func(addr string, counted bool) messages.Peer {
		return messages.Peer{Addr: addr, MemberID: FirstID(addr), Counted: counted}
	}
	g := Genesis([]string{"a", "b", "x"}).Group
	next, want := RepairGroup(g, Stand([]messages.Peer{peer("a", true), peer("b", true), peer("c", true), peer("x", false)}, alive, 10))
	must.True(t, want)
	must.True(t, containsMember(next, FirstID("c")))
	must.False(t, containsMember(next, FirstID("x")))
	_, want = RepairGroup(g, Stand([]messages.Peer{peer("a", true), peer("b", true), peer("x", false)}, alive, 10))
	must.False(t, want, must.Sprint("nobody to take its place"))
	_, want = RepairGroup(g, Stand([]messages.Peer{peer("a", false), peer("b", false), peer("x", false), peer("y", false)}, alive, 10))
	must.False(t, want, must.Sprint("where none counts, all do"))
}
