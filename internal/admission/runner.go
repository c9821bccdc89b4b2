// The state of one runner: the load of this node there, the loads reported by the other
// nodes and by the runner itself, its prefill rate, and its health.

package admission

import (
	"math"

	"beechtide.org/beechtide/internal/messages"
)

// runnerLoad is a load at a runner: memory blocks, prompt tokens that wait for prefill,
// requests, and the rate of prompt tokens.
type runnerLoad struct {
	blocks, prefill, count int
	promptRate             float64 // prompt tokens per second sent there, as a decaying average
	updatedUs              int64
}

// runner is the admission state of one runner.
type runner struct {
	record          messages.RunnerRecord
	capacity        int
	blocks          int // memory in blocks; 0 if unknown
	ownLoad         runnerLoad
	recentRequests  []recentRequest
	pins            map[uint64]int
	peerLoad        runnerLoad // total load of the other nodes
	reportedLoad    runnerLoad
	hasReport       bool
	queued          int // requests queued at the runner, from its last report
	measuredRate    float64
	cordonedSinceUs int64 // start of the cordon; 0: not cordoned
	memoryBusy      bool
	prefillBusy     bool
	avoidUntilUs    int64 // until then the runner is used only as a last resort
	backoffUs       int64
	health          health
	absence         absence
	warmup          warmup
}

// recentRequest is a request sent recently, which the runner's last report may not include,
// and the blocks that it needs.
type recentRequest struct {
	sentUs int64
	blocks int
}

// maxCordonUs is the time after which a cordon expires, in microseconds: an operation that
// the controller could not complete must not exclude a runner forever.
const maxCordonUs = 10_000_000

// cordoned reports whether the runner is cordoned, and its cordon has not expired.
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

// usedBlocks estimates the memory in use. If the runner's report is recent, it adds the
// requests that this node has sent since 0.5 s before the report, with this node's load as
// the minimum. Otherwise it uses the loads of all nodes, if those are recent, or else this
// node's load multiplied by the number of nodes.
func (r *runner) usedBlocks(t *Tuning, nowUs int64, nodes int, peersKnown bool) int {
	if r.hasReport && nowUs-r.reportedLoad.updatedUs < t.ReportValidUs {
		sinceBlocks := 0
		for _, request := range r.recentRequests {
			if request.sentUs > r.reportedLoad.updatedUs-500_000 {
				sinceBlocks += request.blocks
			}
		}
		return max(r.ownLoad.blocks, r.reportedLoad.blocks+sinceBlocks)
	}
	if !peersKnown && nodes > 1 {
		return r.ownLoad.blocks * nodes
	}
	return r.ownLoad.blocks + r.peerLoad.blocks
}

// setPeerLoad sets the total load of the other nodes at this runner. Negative values,
// which sums without some nodes' loads may have, count as 0.
func (r *runner) setPeerLoad(l messages.RunnerLoad) {
	r.health.peers = outcomes{max(l.Tried, 0), max(l.Failed, 0)}
	r.peerLoad = runnerLoad{blocks: max(l.Blocks, 0), prefill: max(l.Prefill, 0), count: max(l.Count, 0), promptRate: max(float64(l.Flow), 0)}
	if l.Rate > 0 && r.measuredRate <= 0 {
		r.measuredRate = l.Rate
	}
}

// active returns the number of requests in progress at the runner: the sum over all
// nodes, or the runner's own count if that is recent and greater.
func (r *runner) active(t *Tuning, nowUs int64) int {
	sum := r.ownLoad.count + r.peerLoad.count
	if r.hasReport && nowUs-r.reportedLoad.updatedUs < t.ReportValidUs {
		return max(sum, r.reportedLoad.count)
	}
	return sum
}

// prefill returns the prompt tokens of all nodes that wait for prefill at the runner.
func (r *runner) prefill() int { return r.ownLoad.prefill + r.peerLoad.prefill }

// promptRateDecayUs is the decay time constant of the prompt token rate, in microseconds.
const promptRateDecayUs = 2_000_000

// recordSent adds the tokens of a prompt to this node's prompt token rate at the runner.
func (r *runner) recordSent(tokens int, nowUs int64) {
	r.ownLoad.promptRate = r.ownPromptRate(nowUs) + float64(tokens)*1e6/promptRateDecayUs
	r.ownLoad.updatedUs = nowUs
}

// ownPromptRate returns this node's prompt token rate at the runner, in tokens per second,
// decayed to nowUs.
func (r *runner) ownPromptRate(nowUs int64) float64 {
	return r.ownLoad.promptRate * math.Exp(-float64(nowUs-r.ownLoad.updatedUs)/promptRateDecayUs)
}

// prefillLoad returns the share of the runner's time spent on the prefill of the prompts
// of all nodes.
func (r *runner) prefillLoad(t *Tuning, nowUs int64) float64 {
	return (r.ownPromptRate(nowUs) + r.peerLoad.promptRate) / 1e6 / r.prefillRate(t)
}

// prefillRate returns the measured prefill rate in tokens per microsecond, or a default
// until there is a measurement.
func (r *runner) prefillRate(t *Tuning) float64 {
	if r.measuredRate <= 0 {
		return t.InitialRate
	}
	return max(r.measuredRate, t.MinRate)
}

// updateBusy updates the two busy flags, each with hysteresis, and returns the memory use,
// which is 0 if the runner's memory is unknown and normally at most 1.
func (r *runner) updateBusy(t *Tuning, nowUs int64, nodes int, peersKnown bool) (memoryUse float64) {
	if r.blocks > 0 {
		memoryUse = float64(r.usedBlocks(t, nowUs, nodes, peersKnown)) / float64(r.blocks)
		if memoryUse >= t.BusyUse {
			r.memoryBusy = true
		} else if memoryUse <= t.FreeUse {
			r.memoryBusy = false
		}
	}
	prefillWaitUs := float64(r.prefill()) / r.prefillRate(t)
	if prefillWaitUs >= float64(t.BusyPrefillUs) {
		r.prefillBusy = true
	} else if prefillWaitUs <= float64(t.BusyPrefillUs)*t.PrefillFreeShare {
		r.prefillBusy = false
	}
	return memoryUse
}

// trimRecentRequests removes requests older than two seconds.
func (r *runner) trimRecentRequests(nowUs int64) {
	i := 0
	for i < len(r.recentRequests) && nowUs-r.recentRequests[i].sentUs > 2_000_000 {
		i++
	}
	r.recentRequests = r.recentRequests[i:]
}
