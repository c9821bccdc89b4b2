// The state that admission keeps for one runner: what this node has in flight there,
// what the other nodes report to have there, what the runner itself reported, its prefill
// rate, and its health.

package admission

import (
	"math"

	"beechtide.org/beechtide/internal/messages"
)

type loadReport struct {
	blocks, prefill, count int
	flow                   float64 // prompt tokens per second sent there, as a decaying average
	atUs                   int64
}

type runner struct {
	record          messages.RunnerRecord
	capacity        int
	blocks          int // memory in blocks; 0 if unknown
	own             loadReport
	recent          []recentRequest
	pins            map[uint64]int
	peers           loadReport // load of the other nodes, added up
	report          loadReport
	reported        bool
	queued          int // requests that wait at the runner, as it reported
	rate            float64
	cordonedSinceUs int64 // since when it has been cordoned; 0: it is not
	busyKV          bool
	busyPrefill     bool
	avoidUntilUs    int64 // gets requests before then only if no other runner is left
	pauseUs         int64
	health          health
	absence         absence
	warmup          warmup
}

type recentRequest struct {
	atUs   int64
	blocks int
}

// maxCordonUs is how long a cordon is respected, in microseconds: an order that the
// controller could not finish must not withdraw a runner forever.
const maxCordonUs = 10_000_000

func (r *runner) cordoned(nowUs int64) bool {
	if !r.record.Cordoned {
		r.cordonedSinceUs = 0
		return false
	}
	if r.cordonedSinceUs == 0 {
		r.cordonedSinceUs = nowUs
	}
	return nowUs-r.cordonedSinceUs < maxCordonUs
}

func newRunner() *runner {
	return &runner{pins: map[uint64]int{}}
}

// usedBlocks estimates the memory in use: from the runner's recent report and what was
// sent since, else from the loads of all nodes, else from this node's own load, as if
// every other node had as much there.
func (r *runner) usedBlocks(t *Tuning, nowUs int64, nodes int, peersKnown bool) int {
	if r.reported && nowUs-r.report.atUs < t.ReportFreshUs {
		since := 0
		for _, s := range r.recent {
			if s.atUs > r.report.atUs-500_000 {
				since += s.blocks
			}
		}
		return max(r.own.blocks, r.report.blocks+since)
	}
	if !peersKnown && nodes > 1 {
		return r.own.blocks * nodes
	}
	return r.own.blocks + r.peers.blocks
}

// setPeerLoad records the load of the other nodes here.
func (r *runner) setPeerLoad(l messages.RunnerLoad) {
	r.health.hint = outcomes{max(l.Tried, 0), max(l.Failed, 0)}
	r.peers = loadReport{blocks: max(l.Blocks, 0), prefill: max(l.Prefill, 0), count: max(l.Count, 0), flow: max(float64(l.Flow), 0)}
	if l.Rate > 0 && r.rate <= 0 {
		r.rate = l.Rate
	}
}

func (r *runner) active(t *Tuning, nowUs int64) int {
	sum := r.own.count + r.peers.count
	if r.reported && nowUs-r.report.atUs < t.ReportFreshUs {
		return max(sum, r.report.count)
	}
	return sum
}

func (r *runner) prefill() int { return r.own.prefill + r.peers.prefill }

// flowUs is the time constant of the flow of prompt tokens, in microseconds.
const flowUs = 2_000_000

// sent adds to the flow of prompt tokens to this runner.
func (r *runner) sent(tokens int, nowUs int64) {
	r.own.flow = r.ownFlow(nowUs) + float64(tokens)*1e6/flowUs
	r.own.atUs = nowUs
}

func (r *runner) ownFlow(nowUs int64) float64 {
	return r.own.flow * math.Exp(-float64(nowUs-r.own.atUs)/flowUs)
}

// prefillLoad returns the part of its time that the runner needs for the prefill of the
// prompts that all nodes send it.
func (r *runner) prefillLoad(t *Tuning, nowUs int64) float64 {
	return (r.ownFlow(nowUs) + r.peers.flow) / 1e6 / r.prefillRate(t)
}

func (r *runner) prefillRate(t *Tuning) float64 {
	if r.rate <= 0 {
		return t.RateStart
	}
	return max(r.rate, t.RateFloor)
}

// updateBusy updates the two busy flags, each with its hysteresis, and returns the memory
// use from 0 to 1.
func (r *runner) updateBusy(t *Tuning, nowUs int64, nodes int, peersKnown bool) (use float64) {
	if r.blocks > 0 {
		use = float64(r.usedBlocks(t, nowUs, nodes, peersKnown)) / float64(r.blocks)
		if use >= t.BusyAt {
			r.busyKV = true
		} else if use <= t.FreeAt {
			r.busyKV = false
		}
	}
	wait := float64(r.prefill()) / r.prefillRate(t)
	if wait >= float64(t.PrefillUs) {
		r.busyPrefill = true
	} else if wait <= float64(t.PrefillUs)*t.PrefillFree {
		r.busyPrefill = false
	}
	return use
}

func (r *runner) trimRecent(nowUs int64) {
	i := 0
	for i < len(r.recent) && nowUs-r.recent[i].atUs > 2_000_000 {
		i++
	}
	r.recent = r.recent[i:]
}
