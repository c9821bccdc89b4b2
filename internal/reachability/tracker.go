// Package reachability detects which zones a node cannot reach. It pings nodes of each other
// zone: one at a time while they answer, several at once after a missing answer. So a cut zone is
// detected within a second, and a single dead node does not make its zone unreachable. The
// package is pure: the caller supplies the time and the nodes, sends the pings and passes on the
// answers.
//
// # What it guarantees
//
// A zone becomes unreachable only after several consecutive rounds of pings went unanswered, all
// but the first of them to several of its nodes (to all if it has fewer). It becomes reachable
// again after two answers to pings that were sent since. The answer to any other request that was
// sent to the zone since the first of the unanswered pings also ends the rounds. A zone without
// known nodes counts as reachable.
//
// Missing answers are no evidence if their cause may be at this node. The rounds are therefore
// restarted after a pause of the process. They are also restarted if the control pings, which are
// sent to nodes of the node's own zone along with each round after the first, were not answered by
// most of them, as on a saturated link.
//
// A Tracker is not safe for concurrent use. Times are microseconds of a monotonic clock.
package reachability

import (
	"maps"
	"slices"
)

// Config holds the intervals of a Tracker, in microseconds, and how many pings are sent.
type Config struct {
	IdleUs             int64 // between pings to a zone that answers
	RoundTimeoutUs     int64 // how long a round of pings waits for an answer
	MaxTickDelayUs     int64 // delay of a tick above which the process counts as having been paused
	PingsPerRetryRound int   // pings in each round after the first, to different nodes
	UnansweredRounds   int   // unanswered rounds until a zone becomes unreachable
	RecoveryAcks       int   // answers until an unreachable zone becomes reachable again
}

// DefaultConfig detects a cut within 0.6 s on links with a latency of up to about 50 ms.
var DefaultConfig = Config{IdleUs: 250_000, RoundTimeoutUs: 110_000, MaxTickDelayUs: 200_000, PingsPerRetryRound: 3, UnansweredRounds: 3, RecoveryAcks: 2}

// Ping is a ping for the caller to send. The node answers with the same sequence number.
type Ping struct {
	To  string
	Seq int64
}

// Tracker tracks the reachability of the other zones from one node.
type Tracker struct {
	config         Config
	random         func(n int) int // returns a number from 0 to n-1
	zones          map[string]*zone
	seq            int64 // of the last ping
	expectedTickUs int64 // when the next tick is due, as of the last tick; 0 before the first tick

	ownNodes   []string                // other nodes of the node's own zone
	controls   map[int64]*controlPings // by sequence number of their pings
	suppressed int64                   // how often unanswered control pings kept a zone reachable
}

// controlPings counts the control pings, to nodes of the node's own zone, sent along with a round.
type controlPings struct{ sent, acks int }

func (c *controlPings) mostlyAnswered() bool { return 2*c.acks > c.sent }

// zone is the state of one other zone.
type zone struct {
	nodes              []string
	unansweredRounds   int   // consecutive unanswered rounds, including the current one; 0: no current round
	nextRoundUs        int64 // when the current round ends or the next one begins
	minSeq             int64 // answers to pings with lower sequence numbers are ignored
	firstRoundUs       int64 // start of the first of the unanswered rounds
	controls           []*controlPings
	recoveryAcks       int   // answers since the zone became unreachable
	unreachableSinceUs int64 // since when the zone is unreachable; 0: it is reachable
	reachableSinceUs   int64 // when the zone last became reachable again
}

// NewTracker returns a tracker that has no zones yet. random returns a number from 0 to n-1.
func NewTracker(config Config, random func(n int) int) *Tracker {
	return &Tracker{config: config, random: random, zones: map[string]*zone{}, controls: map[int64]*controlPings{}}
}

// SetOwnNodes sets the other nodes of this node's own zone, which receive the control pings. If
// there are fewer than Config.PingsPerRetryRound, no control pings are sent.
func (t *Tracker) SetOwnNodes(nodes []string) { t.ownNodes = nodes }

// SuppressedCount returns how often a zone would have become unreachable if control pings had not
// gone unanswered.
func (t *Tracker) SuppressedCount() int64 { return t.suppressed }

// SetIdleInterval changes Config.IdleUs, the time between two pings to a zone that answers.
func (t *Tracker) SetIdleInterval(us int64) { t.config.IdleUs = us }

// SetNodes sets the nodes of the other zones by zone. Zones without nodes are removed.
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

// NextUs returns when Tick is to be called next; 0 if there are no nodes of other zones.
func (t *Tracker) NextUs() int64 {
	next := int64(0)
	for _, z := range t.zones {
		if next == 0 || z.nextRoundUs < next {
			next = max(z.nextRoundUs, 1)
		}
	}
	return next
}

// Tick advances the tracker to nowUs and returns the pings that are due.
func (t *Tracker) Tick(nowUs int64) []Ping {
	wasPaused := t.expectedTickUs > 0 && nowUs-t.expectedTickUs > t.config.MaxTickDelayUs
	defer func() { t.expectedTickUs = t.NextUs() }()
	var pings []Ping
	var control *controlPings // shared by all rounds of this tick that need control pings
	for _, name := range slices.Sorted(maps.Keys(t.zones)) {
		z := t.zones[name]
		if wasPaused && z.unreachableSinceUs == 0 {
			z.resetRounds()
			z.nextRoundUs = nowUs
		}
		if nowUs < z.nextRoundUs {
			continue
		}
		pings = append(pings, t.startRound(z, nowUs)...)
		if z.unansweredRounds < 2 || z.unreachableSinceUs > 0 || len(t.ownNodes) < t.config.PingsPerRetryRound {
			continue
		}
		if control == nil {
			var pingsToOwn []Ping
			control, pingsToOwn = t.startControlPings()
			pings = append(pings, pingsToOwn...)
		}
		z.controls = append(z.controls, control)
	}
	return pings
}

// startControlPings returns control pings to nodes of the node's own zone and their counter. It
// also discards control pings that are too old for any zone to depend on them.
func (t *Tracker) startControlPings() (*controlPings, []Ping) {
	maps.DeleteFunc(t.controls, func(seq int64, _ *controlPings) bool { return t.seq-seq > maxControlAge })
	pings := t.newPings(t.ownNodes, t.config.PingsPerRetryRound)
	c := &controlPings{sent: len(pings)}
	for _, p := range pings {
		t.controls[p.Seq] = c
	}
	return c, pings
}

// maxControlAge is the number of later pings after which a control ping is discarded.
const maxControlAge = 1_000

func (z *zone) resetRounds() { z.unansweredRounds, z.controls = 0, nil }

// localFaultSuspected reports whether the cause of the missing answers may be at this node.
func (z *zone) localFaultSuspected() bool {
	return slices.ContainsFunc(z.controls, func(c *controlPings) bool { return !c.mostlyAnswered() })
}

// startRound begins the next round of a zone. The zone becomes unreachable if
// Config.UnansweredRounds rounds went unanswered and most of the control pings were answered.
func (t *Tracker) startRound(z *zone, nowUs int64) []Ping {
	if z.unansweredRounds >= t.config.UnansweredRounds && z.unreachableSinceUs == 0 {
		if z.localFaultSuspected() {
			t.suppressed++
			z.resetRounds()
		} else {
			z.unreachableSinceUs, z.recoveryAcks = nowUs, 0
			z.minSeq = t.seq + 1
		}
	}
	count := t.config.PingsPerRetryRound
	if z.unansweredRounds == 0 {
		count = 1
		z.firstRoundUs = nowUs
	}
	if z.unreachableSinceUs == 0 {
		z.unansweredRounds++
	}
	z.nextRoundUs = nowUs + t.config.RoundTimeoutUs
	return t.newPings(z.nodes, count)
}

// newPings returns pings to up to count random nodes.
func (t *Tracker) newPings(from []string, count int) []Ping {
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

// RecordAck records the answer to a ping by a node of a zone, which may be the node's own zone.
func (t *Tracker) RecordAck(name string, seq, nowUs int64) {
	if c := t.controls[seq]; c != nil {
		c.acks++
		delete(t.controls, seq)
		return
	}
	z := t.zones[name]
	if z == nil || seq < z.minSeq {
		return
	}
	if z.unreachableSinceUs > 0 {
		if z.recoveryAcks++; z.recoveryAcks < t.config.RecoveryAcks {
			return
		}
		z.unreachableSinceUs, z.reachableSinceUs = 0, nowUs
	}
	t.endRounds(z, nowUs)
}

// RecordAnswer records that a node or a runner of a zone has answered a request that was sent at
// sentUs. It does not make an unreachable zone reachable again: only answers to pings do.
func (t *Tracker) RecordAnswer(name string, sentUs, nowUs int64) {
	if z := t.zones[name]; z != nil && z.unreachableSinceUs == 0 && z.unansweredRounds > 0 && sentUs >= z.firstRoundUs {
		t.endRounds(z, nowUs)
	}
}

// endRounds ends the unanswered rounds of a zone.
func (t *Tracker) endRounds(z *zone, nowUs int64) {
	z.resetRounds()
	z.minSeq = t.seq + 1
	z.nextRoundUs = nowUs + t.config.IdleUs
}

// Unreachable returns the unreachable zones and since when each of them has been unreachable.
func (t *Tracker) Unreachable() map[string]int64 {
	var out map[string]int64
	for name, z := range t.zones {
		if z.unreachableSinceUs == 0 {
			continue
		}
		if out == nil {
			out = map[string]int64{}
		}
		out[name] = z.unreachableSinceUs
	}
	return out
}
