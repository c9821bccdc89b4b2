// Package reachability tells which zones a node cannot reach. It pings nodes of each other
// zone, few while they answer and several at once when one does not, so that a zone whose way
// is cut is known within a second, and one dead node says nothing of its zone. It is pure: the
// owner gives it the time and the nodes, sends the pings and hands the answers over.
//
// # What it guarantees
//
// A zone counts as unreachable only after pings to several of its nodes (all, where there are
// fewer) in a row of rounds went unanswered, and as reachable again after two answers to pings
// that were sent since. A pause of the process itself begins the round anew. A zone of which no
// node is known counts as reachable.
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
	PauseUs    int64 // a time between two ticks from which on the process itself stood still
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
	tickUs int64
}

// zone is what is known of one zone.
type zone struct {
	nodes    []string
	round    int   // rounds that are unanswered, this one included; 0: none is under way
	untilUs  int64 // when the round ends, or the next one begins
	firstSeq int64 // pings before this one do not count any more
	acks     int   // answers since the zone became unreachable
	sinceUs  int64 // since when it is unreachable; 0: it is not
	backUs   int64 // when it was reachable again
}

// NewTracker returns a tracker to which all zones are reachable.
func NewTracker(config Config, random func(n int) int) *Tracker {
	return &Tracker{config: config, random: random, zones: map[string]*zone{}}
}

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

// Tick lets time pass and returns the pings that are due.
func (t *Tracker) Tick(nowUs int64) []Ping {
	stoodStill := t.tickUs > 0 && nowUs-t.tickUs > t.config.PauseUs
	t.tickUs = nowUs
	var pings []Ping
	for _, name := range slices.Sorted(maps.Keys(t.zones)) {
		z := t.zones[name]
		if stoodStill && z.sinceUs == 0 {
			z.round, z.untilUs = 0, nowUs
		}
		if nowUs >= z.untilUs {
			pings = append(pings, t.next(z, nowUs)...)
		}
	}
	return pings
}

// next begins the next round of a zone.
func (t *Tracker) next(z *zone, nowUs int64) []Ping {
	if z.round >= t.config.Rounds && z.sinceUs == 0 {
		z.sinceUs, z.acks = nowUs, 0
		z.firstSeq = t.seq + 1
	}
	count := t.config.ConfirmBy
	if z.round == 0 {
		count = 1
	}
	if z.sinceUs == 0 {
		z.round++
	}
	z.untilUs = nowUs + t.config.RoundUs
	return t.ping(z, count)
}

// ping chooses nodes at random.
func (t *Tracker) ping(z *zone, count int) []Ping {
	nodes := slices.Clone(z.nodes)
	var pings []Ping
	for range min(count, len(nodes)) {
		i := t.random(len(nodes))
		t.seq++
		pings = append(pings, Ping{To: nodes[i], Seq: t.seq})
		nodes = slices.Delete(nodes, i, i+1)
	}
	return pings
}

// Acked records an answer to a ping by a node of a zone.
func (t *Tracker) Acked(name string, seq, nowUs int64) {
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
	z.round = 0
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
