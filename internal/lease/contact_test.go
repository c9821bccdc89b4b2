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
// in one direction, in both, or between some pairs, while members are paused and
// resumed. Every member has its own clock; messages that arrive during a pause are
// handled after it, in any order. Wall-clock time is not used.
//
// Checked at every step, against the requests that the other members handled:
//   - while a member's lease holds at t, a majority has handled a request of this member
//     since t-ContactUs;
//   - an answer that is sent at t includes every version committed before t-ContactUs;
//   - once all faults are over, every member has the lease again.
const (
	renewIntervalUs  = 500_000
	requestTimeoutUs = 450_000
	faultsEndUs      = 30_000_000
	modelEndUs       = faultsEndUs + 4_000_000
	defaultSeeds     = 300
)

type modelEvent struct {
	atUs int64
	seq  int
	node int // node that runs the step; -1 for steps of the network and of the faults
	run  func()
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
	offsetUs  int64 // of its clock from the model's time
	version   int
	resumesUs int64
	handledUs map[int]int64 // by member: when it last handled a request of this node whose answer arrived
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

func (m *model) schedule(us int64, node int, run func()) {
	m.seq++
	heap.Push(&m.queue, modelEvent{us, m.seq, node, run})
}

func (m *model) logf(format string, args ...any) {
	m.history = append(m.history, fmt.Sprintf("%9d ", m.nowUs)+fmt.Sprintf(format, args...))
}

func (m *model) failf(format string, args ...any) {
	m.t.Helper()
	m.logf(format, args...)
	for _, line := range m.history[max(0, len(m.history)-60):] {
		m.t.Log(line)
	}
	m.t.Fatalf("seed %d", m.seed)
}

// send delivers a message to a member, unless the link loses it.
func (m *model) send(from, to int, run func()) {
	if m.cut[[2]int{from, to}] || m.nowUs < faultsEndUs && m.r.IntN(20) == 0 {
		return
	}
	m.schedule(m.nowUs+500+m.r.Int64N(40_000), to, run)
}

// request performs a round trip; done runs at the sender, with the time at which the
// request was handled.
func (m *model) request(from, to int, handle func(), done func(handledUs int64)) {
	m.send(from, to, func() {
		handledUs := m.nowUs
		handle()
		m.send(to, from, func() { done(handledUs) })
	})
}

func (m *model) clock(i int) int64 { return m.nowUs + m.nodes[i].offsetUs }

func (m *model) recordHandled(i, by int, us int64) {
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
				return // the call has timed out, though after a pause the answer may be handled before the timer
			}
			m.recordHandled(i, to, handledUs)
			m.nodes[i].lease.RecordAnswer(m.group[to], sentUs)
			m.checkLease(i)
		})
	}
	m.schedule(m.nowUs+renewIntervalUs, i, func() { m.renew(i) })
}

// checkLease compares the lease with the requests that the other members handled.
func (m *model) checkLease(i int) {
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
		m.failf("member %d holds the lease, but only %d members have handled a recent request of it", i, handled)
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
				m.logf("version %d committed by %d", version, i)
			}
		})
	}
}

// read reads from a majority and then, after some work, answers if MayAnswer allows it.
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
			m.recordHandled(i, to, handledUs)
			if replies <= len(m.nodes)/2 || answered {
				return
			}
			answered = true
			m.nodes[i].lease.RecordMajorityWork(begunUs)
			m.schedule(m.nowUs+m.r.Int64N(300_000), i, func() { m.answer(i, begunUs, newest) })
		})
	}
}

func (m *model) answer(i int, begunUs int64, version int) {
	m.checkLease(i)
	if !m.nodes[i].lease.MayAnswer(m.group, begunUs, m.clock(i)) {
		m.refusals++
		return
	}
	m.answers++
	for v, us := range m.committed {
		if us < m.nowUs-ContactUs && v+1 > version {
			m.failf("member %d answered with version %d, but version %d was committed at %d", i, version, v+1, us)
		}
	}
}

// injectFault partitions links or pauses a member for a while.
func (m *model) injectFault() {
	a, b := m.r.IntN(len(m.nodes)), m.r.IntN(len(m.nodes))
	endUs := min(m.nowUs+m.r.Int64N(8_000_000), faultsEndUs)
	var links [][2]int
	switch m.r.IntN(4) {
	case 0:
		m.logf("%d paused until %d", a, endUs)
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
	m.logf("cut %v until %d", links, endUs)
	m.schedule(endUs, -1, func() {
		for _, l := range links {
			delete(m.cut, l)
		}
	})
	if m.nowUs < faultsEndUs-5_000_000 {
		m.schedule(m.nowUs+m.r.Int64N(6_000_000), -1, m.injectFault)
	}
}

func (m *model) startRandomOperation() {
	i := m.r.IntN(len(m.nodes))
	operation := m.read
	if m.r.IntN(4) == 0 {
		operation = m.commit
	}
	m.schedule(m.nowUs, i, func() { operation(i) })
	m.schedule(m.nowUs+m.r.Int64N(200_000), -1, m.startRandomOperation)
}

// run executes events until modelEndUs. The steps of a paused member are postponed until
// it resumes and then shuffled, because the order in which goroutines run is not
// determined.
func (m *model) run() {
	for len(m.queue) > 0 {
		e, isEvent := heap.Pop(&m.queue).(modelEvent)
		if !isEvent {
			m.failf("the queue contains a value that is not an event")
		}
		if e.atUs > modelEndUs {
			return
		}
		m.nowUs = max(m.nowUs, e.atUs)
		if e.node >= 0 && m.nowUs < m.nodes[e.node].resumesUs {
			m.schedule(m.nodes[e.node].resumesUs+m.r.Int64N(20_000), e.node, e.run)
			continue
		}
		e.run()
	}
}

func runContactModel(t *testing.T, seed uint64) (answers, refusals int) {
	m := &model{t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 12)), cut: map[[2]int]bool{}}
	for i := range 3 + 2*m.r.IntN(2) {
		name := fmt.Sprint("member", i)
		m.group = append(m.group, name)
		m.nodes = append(m.nodes, &modelNode{lease: Contact{Self: name}, offsetUs: 1 + m.r.Int64N(1_000_000_000), handledUs: map[int]int64{}})
		m.schedule(m.r.Int64N(300_000), i, func() { m.renew(i) })
	}
	m.schedule(1_000_000, -1, m.startRandomOperation)
	m.schedule(2_000_000, -1, m.injectFault)
	for us := int64(0); us < modelEndUs; us += 50_000 {
		m.schedule(us, -1, func() {
			for i, n := range m.nodes {
				if m.nowUs >= n.resumesUs {
					m.checkLease(i)
				}
			}
		})
	}
	m.run()
	for i := range m.nodes {
		if !m.nodes[i].lease.Holds(m.group, m.clock(i)) {
			m.failf("member %d does not hold the lease although all faults are over", i)
		}
	}
	return m.answers, m.refusals
}

// The environment variable LEASE_RUNS sets the number of seeds. The last events of a
// failing seed are logged.
func TestContactLeaseImpliesMajorityUnderPartitionsAndPauses(t *testing.T) {
	runs := defaultSeeds
	if n, err := strconv.Atoi(os.Getenv("LEASE_RUNS")); err == nil {
		runs = n
	}
	answers, refusals := 0, 0
	for seed := range runs {
		a, r := runContactModel(t, uint64(seed))
		answers, refusals = answers+a, refusals+r
	}
	must.Greater(t, refusals, answers, must.Sprint("more answers are sent than refused"))
	must.Greater(t, 0, refusals, must.Sprint("some answers are delayed by a pause and refused"))
	t.Logf("%d answers sent, %d refused", answers, refusals)
}

func TestSingleMemberAlwaysHoldsContact(t *testing.T) {
	c := Contact{Self: "a"}
	must.True(t, c.Holds([]string{"a"}, 1))
	must.False(t, c.Holds([]string{"b"}, 1))
	must.False(t, c.Holds(nil, 1), must.Sprint("an empty group has no majority"))
}

func TestContactIgnoresAnswersOfOtherIncarnations(t *testing.T) {
	c := Contact{Self: "a/0"}
	c.RecordAnswer("b/new", 5)
	must.False(t, c.Holds([]string{"a/0", "b/0", "c/0"}, 6))
	c.RecordAnswer("b/0", 5)
	must.True(t, c.Holds([]string{"a/0", "b/0", "c/0"}, 6))
	must.False(t, c.Holds([]string{"a/0", "b/0", "c/0"}, 5+ContactUs))
}

// An answer that required no work of a majority, such as the rejection of a malformed
// request, requires the lease too.
func TestMayAnswerRequiresContactLeaseForRecentWork(t *testing.T) {
	c, group := Contact{Self: "a"}, []string{"a", "b", "c"}
	must.False(t, c.MayAnswer(group, 5, 6))
	c.RecordMajorityWork(5)
	must.True(t, c.MayAnswer(group, 5, 6))
	must.False(t, c.MayAnswer(group, 5, 5+ContactUs))
}
