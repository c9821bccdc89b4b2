package reachability

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	tickUs   = int64(50_000)
	second   = int64(1_000_000)
	answerUs = int64(3_000)
)

// world answers the pings of a tracker.
type world struct {
	tracker *Tracker
	random  *rand.Rand
	nowUs   int64
	zoneOf  map[string]string
	cut     map[string]bool // zones that do not answer
	dead    map[string]bool // nodes that do not answer
	lost    float64         // share of the answers
	pings   int
	answers bool // runners of all zones answer all the time, though pings do not arrive
}

func newWorld(seed uint64, zones, nodes int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), zoneOf: map[string]string{}, cut: map[string]bool{}, dead: map[string]bool{}}
	w.tracker = NewTracker(DefaultConfig, w.random.IntN)
	byZone := map[string][]string{}
	for z := range zones {
		for n := range nodes {
			zone, node := fmt.Sprint("z", z), fmt.Sprintf("n%d-%d", z, n)
			byZone[zone] = append(byZone[zone], node)
			w.zoneOf[node] = zone
		}
	}
	w.tracker.SetNodes(byZone)
	return w
}

const ownZone = "own"

// addOwnNodes gives the tracker's node so many others in its own zone.
func (w *world) addOwnNodes(nodes int) {
	var own []string
	for n := range nodes {
		node := fmt.Sprint("own-", n)
		own = append(own, node)
		w.zoneOf[node] = ownZone
	}
	w.tracker.SetOwnNodes(own)
}

// run lets time pass; each gets the unreachable zones after every tick.
func (w *world) run(forUs int64, each func(unreachable map[string]int64)) {
	for endUs := w.nowUs + forUs; w.nowUs < endUs; w.nowUs += tickUs {
		for _, p := range w.tracker.Tick(w.nowUs) {
			w.pings++
			zone := w.zoneOf[p.To]
			if w.answers && zone != ownZone {
				w.tracker.Answered(zone, w.nowUs, w.nowUs+answerUs)
			}
			if !w.cut[zone] && !w.dead[p.To] && w.random.Float64() >= w.lost {
				w.tracker.Acked(zone, p.Seq, w.nowUs+answerUs)
			}
		}
		each(w.tracker.Unreachable())
	}
}

func TestCutZoneIsKnownWithinAndBackWithinABound(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(seed, 3, 20)
		w.addOwnNodes(int(seed % 8))
		w.run(2*second+int64(seed)*7_000, func(u map[string]int64) { must.MapEmpty(t, u) })
		w.cut["z1"] = true
		cutUs, knownUs := w.nowUs, int64(0)
		w.run(2*second, func(u map[string]int64) {
			must.MapNotContainsKey(t, u, "z0")
			if u["z1"] > 0 && knownUs == 0 {
				knownUs = w.nowUs
			}
		})
		must.Positive(t, knownUs)
		must.LessEq(t, 800_000, knownUs-cutUs)
		w.cut["z1"] = false
		healedUs, backUs := w.nowUs, int64(0)
		w.run(2*second, func(u map[string]int64) {
			if u["z1"] == 0 && backUs == 0 {
				backUs = w.nowUs
			}
		})
		must.LessEq(t, 400_000, backUs-healedUs)
	}
}

func TestDeadNodesSayNothingOfTheirZone(t *testing.T) {
	w := newWorld(1, 2, 20)
	for n := range 8 {
		w.dead[fmt.Sprintf("n0-%d", n)] = true
	}
	w.run(60*second, func(u map[string]int64) { must.MapEmpty(t, u) })
}

func TestLossyLinksAreReachable(t *testing.T) {
	w := newWorld(2, 3, 20)
	w.lost = 0.2
	w.run(120*second, func(u map[string]int64) { must.MapEmpty(t, u) })
}

func TestPauseOfTheProcessSaysNothing(t *testing.T) {
	w := newWorld(3, 3, 5)
	for range 20 {
		w.run(second+int64(w.random.IntN(400_000)), func(u map[string]int64) { must.MapEmpty(t, u) })
		_ = w.tracker.Tick(w.nowUs) // answered late, if at all
		w.nowUs += 3 * second
	}
}

func TestOneAnswerDoesNotBringAZoneBack(t *testing.T) {
	w := newWorld(4, 1, 3)
	w.cut["z0"] = true
	w.run(2*second, func(map[string]int64) {})
	must.MapContainsKey(t, w.tracker.Unreachable(), "z0")
	w.tracker.Acked("z0", 1, w.nowUs) // to a ping of before
	w.tracker.Acked("z0", 2, w.nowUs)
	must.MapContainsKey(t, w.tracker.Unreachable(), "z0")
	w.tracker.Acked("z0", w.tracker.seq, w.nowUs)
	must.MapContainsKey(t, w.tracker.Unreachable(), "z0")
	w.tracker.Acked("z0", w.tracker.seq, w.nowUs)
	must.MapEmpty(t, w.tracker.Unreachable())
}

func TestZoneThatAnswersCostsFewPings(t *testing.T) {
	w := newWorld(5, 14, 25)
	w.run(10*second, func(map[string]int64) {})
	must.LessEq(t, 14*10*4, w.pings)
}

func TestZoneWithoutNodesIsForgotten(t *testing.T) {
	w := newWorld(6, 1, 3)
	w.cut["z0"] = true
	w.run(2*second, func(map[string]int64) {})
	w.tracker.SetNodes(nil)
	must.MapEmpty(t, w.tracker.Unreachable())
}

// A node whose own link loses most datagrams, as behind a large update, has no answer of its own
// zone either.
func TestBusyLinkSaysNothingOfOtherZones(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(seed, 4, 20)
		w.addOwnNodes(20)
		for range 10 {
			w.run(second, func(u map[string]int64) { must.MapEmpty(t, u) })
			w.lost = 0.97
			w.run(second, func(u map[string]int64) { must.MapEmpty(t, u, must.Sprint("seed ", seed)) })
			w.lost = 0
		}
		must.Positive(t, w.tracker.Doubted())
	}
}

func TestDeadNodeOfTheOwnZoneDoesNotHideACut(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(seed, 2, 10)
		w.addOwnNodes(6)
		w.dead["own-0"] = true
		w.cut["z1"] = true
		w.run(2*second, func(map[string]int64) {})
		must.MapContainsKey(t, w.tracker.Unreachable(), "z1")
	}
}

func TestAnswersOfRunnersCountAsAnswersToPings(t *testing.T) {
	w := newWorld(7, 2, 10)
	w.addOwnNodes(6)
	w.cut["z1"], w.answers = true, true
	w.run(10*second, func(u map[string]int64) { must.MapEmpty(t, u) })
	w.answers = false
	w.run(2*second, func(map[string]int64) {})
	must.MapContainsKey(t, w.tracker.Unreachable(), "z1")
	w.tracker.Answered("z1", w.nowUs, w.nowUs)
	must.MapContainsKey(t, w.tracker.Unreachable(), "z1", must.Sprint("only pings bring it back"))
}

func TestAnswerToAnEarlierQuestionSaysNothing(t *testing.T) {
	w := newWorld(8, 1, 10)
	w.run(second, func(map[string]int64) {})
	w.cut["z0"] = true
	askedUs := w.nowUs
	w.run(2*second, func(map[string]int64) { w.tracker.Answered("z0", askedUs-1, w.nowUs) })
	must.MapContainsKey(t, w.tracker.Unreachable(), "z0")
}
