// Package reachability tells which zones a node cannot reach. It pings nodes of each other
// zone, few while they answer and several at once when one does not, so that a zone whose way
// is cut is known within a second, and one dead node says nothing of its zone. It is pure: the
// owner gives it the time and the nodes, sends the pings and hands the answers over.
//
// # What it guarantees
//
// A zone counts as unreachable only after pings to several of its nodes (all, where there are
// fewer) in a row of rounds went unanswered, and as reachable again after two answers to pings
// that were sent since. Whatever else was asked of the zone since the first of these pings, and
// was answered, counts as an answer to them. A zone of which no node is known counts as
// reachable.
//
// Silence says nothing of a zone where the cause may be this node: after a pause of the process
// the rounds begin anew, and so they do where the control pings that go to nodes of the own zone
// beside each further round were not answered by most of them, as on a link that is full.
//
// A Tracker is not safe for concurrent use. Times are microseconds of a monotonic clock.
package reachability

import (
	"maps"
	"slices"
)

// Config holds the intervals of a Tracker, in microseconds, and how many pings are sent.
type Config struct {
	IdleUs     int64 // between pings to a zone that answers
	RoundUs    int64 // how long a round of pings waits for an answer
	PauseUs    int64 // how late a tick is when the process itself has stood still
	ConfirmBy  int   // pings of a further round, to different nodes
	Rounds     int   // rounds without an answer until a zone is unreachable
	ReturnAcks int   // answers until an unreachable zone is reachable again
}

// DefaultConfig finds a cut within 0.6 s on links of up to some 50 ms.
var DefaultConfig = Config{IdleUs: 250_000, RoundUs: 110_000, PauseUs: 200_000, ConfirmBy: 3, Rounds: 3, ReturnAcks: 2}

// Ping is to be sent to a node, which answers with the same number.
type Ping struct {
	To  string
	Seq int64
}

// Tracker is what one node knows of the other zones.
type Tracker struct {
	config Config
	random func(n int) int // a number from 0 to n-1
	zones  map[string]*zone
	seq    int64
	dueUs  int64 // when the next tick was due at the last one; 0: there was none

	ownNodes []string           // other nodes of the own zone
	controls map[int64]*control // by the numbers of their pings
	doubted  int64              // how often the control pings kept a zone from being unreachable
}

// control is the pings to nodes of the own zone that went out beside a round.
type control struct{ sent, acks int }

func (c *control) answered() bool { return 2*c.acks > c.sent }

// zone is what is known of one zone.
type zone struct {
	nodes    []string
	round    int   // rounds that are unanswered, this one included; 0: none is under way
	untilUs  int64 // when the round ends, or the next one begins
	firstSeq int64 // pings before this one do not count any more
	beganUs  int64 // when the first of the unanswered rounds began
	controls []*control
	acks     int   // answers since the zone became unreachable
	sinceUs  int64 // since when it is unreachable; 0: it is not
	backUs   int64 // when it was reachable again
}

// NewTracker returns a tracker to which all zones are reachable.
func NewTracker(config Config, random func(n int) int) *Tracker {
	return &Tracker{config: config, random: random, zones: map[string]*zone{}, controls: map[int64]*control{}}
}

// SetOwnNodes sets the other nodes of the own zone, which get the control pings. Where there are
// fewer than Config.ConfirmBy none are sent.
func (t *Tracker) SetOwnNodes(nodes []string) { t.ownNodes = nodes }

// Doubted returns how often a zone would have been unreachable but for the control pings.
func (t *Tracker) Doubted() int64 { return t.doubted }

// SetIdle sets the time between two rounds while all is well, Config.IdleUs anew.
func (t *Tracker) SetIdle(us int64) { t.config.IdleUs = us }

// SetNodes sets the nodes of the other zones.
func (t *Tracker) SetNodes(byZone map[string][]string) {
	for name := range t.zones {
		if len(byZone[name]) == 0 {
			delete(t.zones, name)
		}
	}
	for name, nodes := range byZone {
		z := t.zones[name]
		if z == nil {
			z = &zone{}
			t.zones[name] = z
		}
		z.nodes = nodes
	}
}

// NextUs returns when Tick is next to be called; 0 where no node of another zone is known.
func (t *Tracker) NextUs() int64 {
	next := int64(0)
	for _, z := range t.zones {
		if next == 0 || z.untilUs < next {
			next = max(z.untilUs, 1)
		}
	}
	return next
}

// Tick lets time pass and returns the pings that are due.
func (t *Tracker) Tick(nowUs int64) []Ping {
	stoodStill := t.dueUs > 0 && nowUs-t.dueUs > t.config.PauseUs
	defer func() { t.dueUs = t.NextUs() }()
	var pings []Ping
	var beside *control // goes out with the first further round of this tick
	for _, name := range slices.Sorted(maps.Keys(t.zones)) {
		z := t.zones[name]
		if stoodStill && z.sinceUs == 0 {
			z.beginAnew()
			z.untilUs = nowUs
		}
		if nowUs < z.untilUs {
			continue
		}
		pings = append(pings, t.next(z, nowUs)...)
		if z.round < 2 || z.sinceUs > 0 || len(t.ownNodes) < t.config.ConfirmBy {
			continue
		}
		if beside == nil {
			var own []Ping
			beside, own = t.beginControl()
			pings = append(pings, own...)
		}
		z.controls = append(z.controls, beside)
	}
	return pings
}

// beginControl pings nodes of the own zone. Earlier control pings that no zone waits for any more
// are forgotten.
func (t *Tracker) beginControl() (*control, []Ping) {
	maps.DeleteFunc(t.controls, func(seq int64, _ *control) bool { return t.seq-seq > mostControlAge })
	pings := t.ping(t.ownNodes, t.config.ConfirmBy)
	c := &control{sent: len(pings)}
	for _, p := range pings {
		t.controls[p.Seq] = c
	}
	return c, pings
}

// mostControlAge is after how many further pings a control ping is forgotten.
const mostControlAge = 1_000

func (z *zone) beginAnew() { z.round, z.controls = 0, nil }

// doubtful reports whether the silence of a zone may have its cause at this node.
func (z *zone) doubtful() bool {
	return slices.ContainsFunc(z.controls, func(c *control) bool { return !c.answered() })
}

// next begins the next round of a zone.
func (t *Tracker) next(z *zone, nowUs int64) []Ping {
	if z.round >= t.config.Rounds && z.sinceUs == 0 {
		if z.doubtful() {
			t.doubted++
			z.beginAnew()
		} else {
			z.sinceUs, z.acks = nowUs, 0
			z.firstSeq = t.seq + 1
		}
	}
	count := t.config.ConfirmBy
	if z.round == 0 {
		count = 1
		z.beganUs = nowUs
	}
	if z.sinceUs == 0 {
		z.round++
	}
	z.untilUs = nowUs + t.config.RoundUs
	return t.ping(z.nodes, count)
}

// ping chooses nodes at random.
func (t *Tracker) ping(from []string, count int) []Ping {
	nodes := slices.Clone(from)
	var pings []Ping
	for range min(count, len(nodes)) {
		i := t.random(len(nodes))
		t.seq++
		pings = append(pings, Ping{To: nodes[i], Seq: t.seq})
		nodes = slices.Delete(nodes, i, i+1)
	}
	return pings
}

// Acked records an answer to a ping by a node of a zone, the own one included.
func (t *Tracker) Acked(name string, seq, nowUs int64) {
	if c := t.controls[seq]; c != nil {
		c.acks++
		delete(t.controls, seq)
		return
	}
	z := t.zones[name]
	if z == nil || seq < z.firstSeq {
		return
	}
	if z.sinceUs > 0 {
		if z.acks++; z.acks < t.config.ReturnAcks {
			return
		}
		z.sinceUs, z.backUs = 0, nowUs
	}
	t.endRounds(z, nowUs)
}

// Answered records that something of a zone, be it a node or a runner, has answered what it was
// asked at askedUs. It does not bring an unreachable zone back: only pings do.
func (t *Tracker) Answered(name string, askedUs, nowUs int64) {
	if z := t.zones[name]; z != nil && z.sinceUs == 0 && z.round > 0 && askedUs >= z.beganUs {
		t.endRounds(z, nowUs)
	}
}

// endRounds ends the unanswered rounds of a zone.
func (t *Tracker) endRounds(z *zone, nowUs int64) {
	z.beginAnew()
	z.firstSeq = t.seq + 1
	z.untilUs = nowUs + t.config.IdleUs
}

// Unreachable returns the zones that are unreachable, and since when.
func (t *Tracker) Unreachable() map[string]int64 {
	var out map[string]int64
	for name, z := range t.zones {
		if z.sinceUs == 0 {
			continue
		}
		if out == nil {
			out = map[string]int64{}
		}
		out[name] = z.sinceUs
	}
	return out
}
