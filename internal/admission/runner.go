// The state that admission keeps for one runner: what this node has in flight there,
// what the other nodes report to have there, what the runner itself reported, its prefill
// rate, and its health.

package admission

import (
	"math"

	"beechtide.org/beechtide/internal/messages"
)

type runnerLoad struct {
	blocks, prefill, count int
	flow                   float64 // prompt tokens per second sent there, as a decaying average
	atUs                   int64
}

type runner struct {
	record          messages.RunnerRecord
	capacity        int
	blocks          int // memory in blocks; 0 if unknown
	ownLoad         runnerLoad
	recentRequests  []recentRequest
	pins            map[uint64]int
	peerLoad        runnerLoad // load of the other nodes, added up
	reportedLoad    runnerLoad
	hasReport       bool
	queued          int // requests that wait at the runner, as it reported
	measuredRate    float64
	cordonedSinceUs int64 // since when it has been cordoned; 0: it is not
	memoryBusy      bool
	prefillBusy     bool
	avoidUntilUs    int64 // gets requests before then only if no other runner is left
	backoffUs       int64
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
	if r.hasReport && nowUs-r.reportedLoad.atUs < t.ReportFreshUs {
		since := 0
		for _, s := range r.recentRequests {
			if s.atUs > r.reportedLoad.atUs-500_000 {
				since += s.blocks
			}
		}
		return max(r.ownLoad.blocks, r.reportedLoad.blocks+since)
	}
	if !peersKnown && nodes > 1 {
		return r.ownLoad.blocks * nodes
	}
	return r.ownLoad.blocks + r.peerLoad.blocks
}

// setPeerLoad records the load of the other nodes here.
func (r *runner) setPeerLoad(l messages.RunnerLoad) {
	r.health.peers = outcomes{max(l.Tried, 0), max(l.Failed, 0)}
	r.peerLoad = runnerLoad{blocks: max(l.Blocks, 0), prefill: max(l.Prefill, 0), count: max(l.Count, 0), flow: max(float64(l.Flow), 0)}
	if l.Rate > 0 && r.measuredRate <= 0 {
		r.measuredRate = l.Rate
	}
}

func (r *runner) active(t *Tuning, nowUs int64) int {
	sum := r.ownLoad.count + r.peerLoad.count
	if r.hasReport && nowUs-r.reportedLoad.atUs < t.ReportFreshUs {
		return max(sum, r.reportedLoad.count)
	}
	return sum
}

func (r *runner) prefill() int { return r.ownLoad.prefill + r.peerLoad.prefill }

// flowUs is the time constant of the flow of prompt tokens, in microseconds.
const flowUs = 2_000_000

// recordSent adds to the flow of prompt tokens to this runner.
func (r *runner) recordSent(tokens int, nowUs int64) {
	r.ownLoad.flow = r.ownFlow(nowUs) + float64(tokens)*1e6/flowUs
	r.ownLoad.atUs = nowUs
}

func (r *runner) ownFlow(nowUs int64) float64 {
	return r.ownLoad.flow * math.Exp(-float64(nowUs-r.ownLoad.atUs)/flowUs)
}

// prefillLoad returns the part of its time that the runner needs for the prefill of the
// prompts that all nodes send it.
func (r *runner) prefillLoad(t *Tuning, nowUs int64) float64 {
	return (r.ownFlow(nowUs) + r.peerLoad.flow) / 1e6 / r.prefillRate(t)
}

func (r *runner) prefillRate(t *Tuning) float64 {
	if r.measuredRate <= 0 {
		return t.RateStart
	}
	return max(r.measuredRate, t.RateFloor)
}

// updateBusy updates the two busy flags, each with its hysteresis, and returns the memory
// use from 0 to 1.
func (r *runner) updateBusy(t *Tuning, nowUs int64, nodes int, peersKnown bool) (memoryUse float64) {
	if r.blocks > 0 {
		memoryUse = float64(r.usedBlocks(t, nowUs, nodes, peersKnown)) / float64(r.blocks)
		if memoryUse >= t.BusyAt {
			r.memoryBusy = true
		} else if memoryUse <= t.FreeAt {
			r.memoryBusy = false
		}
	}
	prefillWaitUs := float64(r.prefill()) / r.prefillRate(t)
	if prefillWaitUs >= float64(t.PrefillUs) {
		r.prefillBusy = true
	} else if prefillWaitUs <= float64(t.PrefillUs)*t.PrefillFree {
		r.prefillBusy = false
	}
	return memoryUse
}

func (r *runner) trimRecentRequests(nowUs int64) {
	i := 0
	for i < len(r.recentRequests) && nowUs-r.recentRequests[i].atUs > 2_000_000 {
		i++
	}
	r.recentRequests = r.recentRequests[i:]
}
