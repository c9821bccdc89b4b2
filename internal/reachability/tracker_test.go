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

// testNetwork simulates the nodes that answer the pings of a tracker.
type testNetwork struct {
	tracker       *Tracker
	random        *rand.Rand
	nowUs         int64
	zoneOf        map[string]string
	cutZones      map[string]bool // zones that do not answer
	deadNodes     map[string]bool // nodes that do not answer
	lossRate      float64         // share of the answers that are lost
	pings         int             // number of pings sent
	runnersAnswer bool            // runners of other zones answer requests, even if their zone is cut
}

func newTestNetwork(seed uint64, zones, nodes int) *testNetwork {
	w := &testNetwork{random: rand.New(rand.NewPCG(seed, 0)), zoneOf: map[string]string{}, cutZones: map[string]bool{}, deadNodes: map[string]bool{}}
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

// addOwnNodes adds other nodes to the zone of the tracker's node.
func (w *testNetwork) addOwnNodes(nodes int) {
	var own []string
	for n := range nodes {
		node := fmt.Sprint("own-", n)
		own = append(own, node)
		w.zoneOf[node] = ownZone
	}
	w.tracker.SetOwnNodes(own)
}

// run advances the time and calls each with the unreachable zones after every tick.
func (w *testNetwork) run(forUs int64, each func(unreachable map[string]int64)) {
	for endUs := w.nowUs + forUs; w.nowUs < endUs; w.nowUs += tickUs {
		for _, p := range w.tracker.Tick(w.nowUs) {
			w.pings++
			zone := w.zoneOf[p.To]
			if w.runnersAnswer && zone != ownZone {
				w.tracker.RecordAnswer(zone, w.nowUs, w.nowUs+answerUs)
			}
			if !w.cutZones[zone] && !w.deadNodes[p.To] && w.random.Float64() >= w.lossRate {
				w.tracker.RecordAck(zone, p.Seq, w.nowUs+answerUs)
			}
		}
		each(w.tracker.Unreachable())
	}
}

func TestCutZoneIsDetectedAndRecoversWithinBound(t *testing.T) {
	for seed := range uint64(50) {
		w := newTestNetwork(seed, 3, 20)
		w.addOwnNodes(int(seed % 8))
		w.run(2*second+int64(seed)*7_000, func(u map[string]int64) { must.MapEmpty(t, u) })
		w.cutZones["z1"] = true
		cutUs, detectedUs := w.nowUs, int64(0)
		w.run(2*second, func(u map[string]int64) {
			must.MapNotContainsKey(t, u, "z0")
			if u["z1"] > 0 && detectedUs == 0 {
				detectedUs = w.nowUs
			}
		})
		must.Positive(t, detectedUs)
		must.LessEq(t, 800_000, detectedUs-cutUs)
		w.cutZones["z1"] = false
		healedUs, recoveredUs := w.nowUs, int64(0)
		w.run(2*second, func(u map[string]int64) {
			if u["z1"] == 0 && recoveredUs == 0 {
				recoveredUs = w.nowUs
			}
		})
		must.LessEq(t, 400_000, recoveredUs-healedUs)
	}
}

func TestDeadNodesDoNotMakeZoneUnreachable(t *testing.T) {
	w := newTestNetwork(1, 2, 20)
	for n := range 8 {
		w.deadNodes[fmt.Sprintf("n0-%d", n)] = true
	}
	w.run(60*second, func(u map[string]int64) { must.MapEmpty(t, u) })
}

func TestPacketLossDoesNotMakeZoneUnreachable(t *testing.T) {
	w := newTestNetwork(2, 3, 20)
	w.lossRate = 0.2
	w.run(120*second, func(u map[string]int64) { must.MapEmpty(t, u) })
}

func TestProcessPauseDoesNotMakeZoneUnreachable(t *testing.T) {
	w := newTestNetwork(3, 3, 5)
	for range 20 {
		w.run(second+int64(w.random.IntN(400_000)), func(u map[string]int64) { must.MapEmpty(t, u) })
		_ = w.tracker.Tick(w.nowUs) // answered late, if at all
		w.nowUs += 3 * second
	}
}

func TestUnreachableZoneRecoversAfterTwoAcks(t *testing.T) {
	w := newTestNetwork(4, 1, 3)
	w.cutZones["z0"] = true
	w.run(2*second, func(map[string]int64) {})
	must.MapContainsKey(t, w.tracker.Unreachable(), "z0")
	w.tracker.RecordAck("z0", 1, w.nowUs) // answers to pings from before the cut
	w.tracker.RecordAck("z0", 2, w.nowUs)
	must.MapContainsKey(t, w.tracker.Unreachable(), "z0")
	w.tracker.RecordAck("z0", w.tracker.seq, w.nowUs)
	must.MapContainsKey(t, w.tracker.Unreachable(), "z0")
	w.tracker.RecordAck("z0", w.tracker.seq, w.nowUs)
	must.MapEmpty(t, w.tracker.Unreachable())
}

func TestReachableZoneGetsFewPings(t *testing.T) {
	w := newTestNetwork(5, 14, 25)
	w.run(10*second, func(map[string]int64) {})
	must.LessEq(t, 14*10*4, w.pings)
}

func TestZoneWithoutNodesIsRemoved(t *testing.T) {
	w := newTestNetwork(6, 1, 3)
	w.cutZones["z0"] = true
	w.run(2*second, func(map[string]int64) {})
	w.tracker.SetNodes(nil)
	must.MapEmpty(t, w.tracker.Unreachable())
}

// A node whose own link loses most datagrams, for example during a large update, gets no answers
// from its own zone either, so the other zones must not become unreachable.
func TestSaturatedOwnLinkDoesNotMakeZonesUnreachable(t *testing.T) {
	for seed := range uint64(50) {
		w := newTestNetwork(seed, 4, 20)
		w.addOwnNodes(20)
		for range 10 {
			w.run(second, func(u map[string]int64) { must.MapEmpty(t, u) })
			w.lossRate = 0.97
			w.run(second, func(u map[string]int64) { must.MapEmpty(t, u, must.Sprint("seed ", seed)) })
			w.lossRate = 0
		}
		must.Positive(t, w.tracker.SuppressedCount())
	}
}

func TestCutIsDetectedDespiteDeadNodeInOwnZone(t *testing.T) {
	for seed := range uint64(50) {
		w := newTestNetwork(seed, 2, 10)
		w.addOwnNodes(6)
		w.deadNodes["own-0"] = true
		w.cutZones["z1"] = true
		w.run(2*second, func(map[string]int64) {})
		must.MapContainsKey(t, w.tracker.Unreachable(), "z1")
	}
}

func TestRunnerAnswersKeepZoneReachable(t *testing.T) {
	w := newTestNetwork(7, 2, 10)
	w.addOwnNodes(6)
	w.cutZones["z1"], w.runnersAnswer = true, true
	w.run(10*second, func(u map[string]int64) { must.MapEmpty(t, u) })
	w.runnersAnswer = false
	w.run(2*second, func(map[string]int64) {})
	must.MapContainsKey(t, w.tracker.Unreachable(), "z1")
	w.tracker.RecordAnswer("z1", w.nowUs, w.nowUs)
	must.MapContainsKey(t, w.tracker.Unreachable(), "z1", must.Sprint("only answers to pings make it reachable again"))
}

func TestAnswerToRequestBeforeFirstRoundIsIgnored(t *testing.T) {
	w := newTestNetwork(8, 1, 10)
	w.run(second, func(map[string]int64) {})
	w.cutZones["z0"] = true
	sentUs := w.nowUs
	w.run(2*second, func(map[string]int64) { w.tracker.RecordAnswer("z0", sentUs-1, w.nowUs) })
	must.MapContainsKey(t, w.tracker.Unreachable(), "z0")
}
