package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// The model: members send requests to each other every 500 ms and commit and read
// versions by majorities, over links that delay and lose messages and are partitioned
// one way, both ways or between some pairs, while members are paused and resumed. Every
// member has a clock of its own; what arrives during a pause is handled at its end, in
// any order. The time of day is not used.
//
// Checked at every step, against what the other members really handled:
//   - while a member's lease holds at t, a majority has handled a request of its since
//     t-ContactUs;
//   - an answer that is sent at t includes every version committed before t-ContactUs;
//   - once all faults are over, every member has the lease again.
const (
	renewIntervalUs  = 500_000
	requestTimeoutUs = 450_000
	faultsEndUs      = 30_000_000
	modelEndUs       = faultsEndUs + 4_000_000
	standardRuns     = 300
)

type modelEvent struct {
	atUs int64
	seq  int
	node int // whose step it is; -1 for the network and the faults
	do   func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return q[i].atUs < q[j].atUs || q[i].atUs == q[j].atUs && q[i].seq < q[j].seq
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type modelNode struct {
	lease     Contact
	offsetUs  int64 // of its clock
	version   int
	resumesUs int64
	handledUs map[int]int64 // by member: when it last handled an answered request of this node
}

type model struct {
	t         *testing.T
	r         *rand.Rand
	seed      uint64
	nowUs     int64
	seq       int
	queue     modelQueue
	nodes     []*modelNode
	group     []string
	cut       map[[2]int]bool
	committed []int64 // when each version was committed
	history   []string
	answers   int
	refusals  int
}

func (m *model) at(us int64, node int, do func()) {
	m.seq++
	heap.Push(&m.queue, modelEvent{us, m.seq, node, do})
}

func (m *model) note(format string, args ...any) {
	m.history = append(m.history, fmt.Sprintf("%9d ", m.nowUs)+fmt.Sprintf(format, args...))
}

func (m *model) fail(format string, args ...any) {
	m.t.Helper()
	m.note(format, args...)
	for _, line := range m.history[max(0, len(m.history)-60):] {
		m.t.Log(line)
	}
	m.t.Fatalf("seed %d", m.seed)
}

// send delivers a message to a member, unless the link loses it.
func (m *model) send(from, to int, do func()) {
	if m.cut[[2]int{from, to}] || m.nowUs < faultsEndUs && m.r.IntN(20) == 0 {
		return
	}
	m.at(m.nowUs+500+m.r.Int64N(40_000), to, do)
}

// request is a round trip; done runs at the sender, with the time of the handling.
func (m *model) request(from, to int, handle func(), done func(handledUs int64)) {
	m.send(from, to, func() {
		handledUs := m.nowUs
		handle()
		m.send(to, from, func() { done(handledUs) })
	})
}

func (m *model) clock(i int) int64 { return m.nowUs + m.nodes[i].offsetUs }

func (m *model) handled(i, by int, us int64) {
	m.nodes[i].handledUs[by] = max(m.nodes[i].handledUs[by], us)
}

func (m *model) renew(i int) {
	sentUs, sentAt := m.clock(i), m.nowUs
	for to := range m.nodes {
		if to == i {
			continue
		}
		m.request(i, to, func() {}, func(handledUs int64) {
			if m.nodes[i].resumesUs <= sentAt && m.nowUs-sentAt > requestTimeoutUs {
				return // the call has timed out; after a pause the answer may be handled before the timer
			}
			m.handled(i, to, handledUs)
			m.nodes[i].lease.Answered(m.group[to], sentUs)
			m.check(i)
		})
	}
	m.at(m.nowUs+renewIntervalUs, i, func() { m.renew(i) })
}

// check compares the lease with what the others really handled.
func (m *model) check(i int) {
	n := m.nodes[i]
	if !n.lease.Holds(m.group, m.clock(i)) {
		return
	}
	handled := 1
	for to, us := range n.handledUs {
		if to != i && us > m.nowUs-ContactUs {
			handled++
		}
	}
	if handled <= len(m.nodes)/2 {
		m.fail("member %d has the lease, and %d have handled a request of it", i, handled)
	}
}

// commit writes the next version to a majority.
func (m *model) commit(i int) {
	version, acks := len(m.committed)+1, 1
	m.nodes[i].version = max(m.nodes[i].version, version)
	for to := range m.nodes {
		if to == i {
			continue
		}
		m.request(i, to, func() { m.nodes[to].version = max(m.nodes[to].version, version) }, func(int64) {
			acks++
			if acks == len(m.nodes)/2+1 && len(m.committed)+1 == version {
				m.committed = append(m.committed, m.nowUs)
				m.note("version %d committed by %d", version, i)
			}
		})
	}
}

// read reads from a majority and answers after some work, if it may.
func (m *model) read(i int) {
	begunUs, newest, replies, answered := m.clock(i), m.nodes[i].version, 1, false
	for to := range m.nodes {
		if to == i {
			continue
		}
		seen := 0
		m.request(i, to, func() { seen = m.nodes[to].version }, func(handledUs int64) {
			replies++
			newest = max(newest, seen)
			m.handled(i, to, handledUs)
			if replies <= len(m.nodes)/2 || answered {
				return
			}
			answered = true
			m.nodes[i].lease.Vouched(begunUs)
			m.at(m.nowUs+m.r.Int64N(300_000), i, func() { m.answer(i, begunUs, newest) })
		})
	}
}

func (m *model) answer(i int, begunUs int64, version int) {
	m.check(i)
	if !m.nodes[i].lease.MayAnswer(m.group, begunUs, m.clock(i)) {
		m.refusals++
		return
	}
	m.answers++
	for v, us := range m.committed {
		if us < m.nowUs-ContactUs && v+1 > version {
			m.fail("member %d answers version %d, and %d is in force since %d", i, version, v+1, us)
		}
	}
}

// fault partitions links or pauses a member for a while.
func (m *model) fault() {
	a, b := m.r.IntN(len(m.nodes)), m.r.IntN(len(m.nodes))
	endUs := min(m.nowUs+m.r.Int64N(8_000_000), faultsEndUs)
	var links [][2]int
	switch m.r.IntN(4) {
	case 0:
		m.note("%d paused until %d", a, endUs)
		m.nodes[a].resumesUs = max(m.nodes[a].resumesUs, endUs)
	case 1:
		links = append(links, [2]int{a, b}, [2]int{b, a})
	case 2:
		for to := range m.nodes {
			links = append(links, [2]int{a, to})
		}
	case 3:
		for to := range m.nodes {
			links = append(links, [2]int{a, to}, [2]int{to, a})
		}
	}
	for _, l := range links {
		m.cut[l] = true
	}
	m.note("cut %v until %d", links, endUs)
	m.at(endUs, -1, func() {
		for _, l := range links {
			delete(m.cut, l)
		}
	})
	if m.nowUs < faultsEndUs-5_000_000 {
		m.at(m.nowUs+m.r.Int64N(6_000_000), -1, m.fault)
	}
}

func (m *model) call() {
	i := m.r.IntN(len(m.nodes))
	what := m.read
	if m.r.IntN(4) == 0 {
		what = m.commit
	}
	m.at(m.nowUs, i, func() { what(i) })
	m.at(m.nowUs+m.r.Int64N(200_000), -1, m.call)
}

// run plays until the end. The steps of a paused member wait for its resumption and are
// then shuffled, as the order in which goroutines run is not determined.
func (m *model) run() {
	for len(m.queue) > 0 {
		e, isEvent := heap.Pop(&m.queue).(modelEvent)
		if !isEvent {
			m.fail("the queue holds something else than an event")
		}
		if e.atUs > modelEndUs {
			return
		}
		m.nowUs = max(m.nowUs, e.atUs)
		if e.node >= 0 && m.nowUs < m.nodes[e.node].resumesUs {
			m.at(m.nodes[e.node].resumesUs+m.r.Int64N(20_000), e.node, e.do)
			continue
		}
		e.do()
	}
}

func playContact(t *testing.T, seed uint64) (answers, refusals int) {
	m := &model{t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 12)), cut: map[[2]int]bool{}}
	for i := range 3 + 2*m.r.IntN(2) {
		name := fmt.Sprint("member", i)
		m.group = append(m.group, name)
		m.nodes = append(m.nodes, &modelNode{lease: Contact{Self: name}, offsetUs: 1 + m.r.Int64N(1_000_000_000), handledUs: map[int]int64{}})
		m.at(m.r.Int64N(300_000), i, func() { m.renew(i) })
	}
	m.at(1_000_000, -1, m.call)
	m.at(2_000_000, -1, m.fault)
	for us := int64(0); us < modelEndUs; us += 50_000 {
		m.at(us, -1, func() {
			for i, n := range m.nodes {
				if m.nowUs >= n.resumesUs {
					m.check(i)
				}
			}
		})
	}
	m.run()
	for i := range m.nodes {
		if !m.nodes[i].lease.Holds(m.group, m.clock(i)) {
			m.fail("member %d has no lease though all faults are over", i)
		}
	}
	return m.answers, m.refusals
}

// The environment variable LEASE_RUNS sets the number of seeds; a failing one prints
// its history.
func TestContactHoldsUnderPartitionsAndPauses(t *testing.T) {
	runs := standardRuns
	if n, err := strconv.Atoi(os.Getenv("LEASE_RUNS")); err == nil {
		runs = n
	}
	answers, refusals := 0, 0
	for seed := range runs {
		a, r := playContact(t, uint64(seed))
		answers, refusals = answers+a, refusals+r
	}
	must.Greater(t, refusals, answers, must.Sprint("most answers may be sent"))
	must.Greater(t, 0, refusals, must.Sprint("some answers were delayed by a pause"))
	t.Logf("%d answers sent, %d refused", answers, refusals)
}

func TestSingleMemberAlwaysHoldsContact(t *testing.T) {
	c := Contact{Self: "a"}
	must.True(t, c.Holds([]string{"a"}, 1))
	must.False(t, c.Holds([]string{"b"}, 1))
	must.False(t, c.Holds(nil, 1), must.Sprint("a member that knows no group is in contact with none"))
}

func TestAnswersOfEarlierIncarnationsDoNotCount(t *testing.T) {
	c := Contact{Self: "a/0"}
	c.Answered("b/new", 5)
	must.False(t, c.Holds([]string{"a/0", "b/0", "c/0"}, 6))
	c.Answered("b/0", 5)
	must.True(t, c.Holds([]string{"a/0", "b/0", "c/0"}, 6))
	must.False(t, c.Holds([]string{"a/0", "b/0", "c/0"}, 5+ContactUs))
}

// An answer without the work of a majority, such as a rejection of a malformed request,
// needs the lease too.
func TestAnswerNeedsContactHoweverRecentItsWork(t *testing.T) {
	c, group := Contact{Self: "a"}, []string{"a", "b", "c"}
	must.False(t, c.MayAnswer(group, 5, 6))
	c.Vouched(5)
	must.True(t, c.MayAnswer(group, 5, 6))
	must.False(t, c.MayAnswer(group, 5, 5+ContactUs))
}
