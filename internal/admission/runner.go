// The state that admission keeps for one runner: what this node has in flight there,
// what the other nodes say they have, what the runner itself reported, its prefill
// rate, and its health.

package admission

import (
	"math"

	"beechtide.org/beechtide/internal/messages"
)

type word struct {
	blocks, prefill, count int
	flow                   float64 // prompt tokens a second sent there lately
	atUs                   int64
}

type runner struct {
	note         messages.RunnerRecord
	capacity     int
	blocks       int // memory in blocks; 0 where the runner has none to count
	own          word
	recent       []recentShot
	pins         map[uint64]int
	others       word // what the other nodes have there, added up
	report       word
	reported     bool
	queued       int // requests that wait there, by its own report
	rate         float64
	barredUs     int64 // since when it has been barred; 0: it is not
	busyKV       bool
	busyRead     bool
	avoidUntilUs int64 // until when
	pauseUs      int64
	health       health
	absence      absence
}

type recentShot struct {
	atUs   int64
	blocks int
}

// barredMaxUs is how long a bar holds: an order that its giver could not finish
// must not take a runner away for good.
const barredMaxUs = 10_000_000

func (r *runner) barred(nowUs int64) bool {
	if !r.note.Barred {
		r.barredUs = 0
		return false
	}
	if r.barredUs == 0 {
		r.barredUs = nowUs
	}
	return nowUs-r.barredUs < barredMaxUs
}

func newRunner() *runner {
	return &runner{pins: map[uint64]int{}}
}

// usedBlocks estimates the memory in use: the runner's own fresh report with
// what was sent since, else what the nodes know of each other's requests, else
// this node's own, as though every other had as much there.
func (r *runner) usedBlocks(t *Tuning, nowUs int64, nodes int, told bool) int {
	if r.reported && nowUs-r.report.atUs < t.ReportFreshUs {
		since := 0
		for _, s := range r.recent {
			if s.atUs > r.report.atUs-500_000 {
				since += s.blocks
			}
		}
		return max(r.own.blocks, r.report.blocks+since)
	}
	if !told && nodes > 1 {
		return r.own.blocks * nodes
	}
	return r.own.blocks + r.others.blocks
}

// other takes what the other nodes have here.
func (r *runner) other(l messages.RunnerLoad) {
	r.health.hint = outcomes{max(l.Tried, 0), max(l.Failed, 0)}
	r.others = word{blocks: max(l.Blocks, 0), prefill: max(l.Prefill, 0), count: max(l.Count, 0), flow: max(float64(l.Flow), 0)}
	if l.Rate > 0 && r.rate <= 0 {
		r.rate = l.Rate
	}
}

func (r *runner) active(t *Tuning, nowUs int64) int {
	sum := r.own.count + r.others.count
	if r.reported && nowUs-r.report.atUs < t.ReportFreshUs {
		return max(sum, r.report.count)
	}
	return sum
}

func (r *runner) prefill() int { return r.own.prefill + r.others.prefill }

// flowUs is over which time the flow of prompt tokens is told.
const flowUs = 2_000_000

// sent adds to the flow of prompt tokens to this runner.
func (r *runner) sent(tokens int, nowUs int64) {
	r.own.flow = r.ownFlow(nowUs) + float64(tokens)*1e6/flowUs
	r.own.atUs = nowUs
}

func (r *runner) ownFlow(nowUs int64) float64 {
	return r.own.flow * math.Exp(-float64(nowUs-r.own.atUs)/flowUs)
}

// reading is the part of its time that the runner needs for the prompts that
// all nodes send it.
func (r *runner) reading(t *Tuning, nowUs int64) float64 {
	return (r.ownFlow(nowUs) + r.others.flow) / 1e6 / r.readRate(t)
}

func (r *runner) readRate(t *Tuning) float64 {
	if r.rate <= 0 {
		return t.RateStart
	}
	return max(r.rate, t.RateFloor)
}

// settle moves the two busy versions, each with its hysteresis.
func (r *runner) settle(t *Tuning, nowUs int64, nodes int, told bool) (use float64) {
	if r.blocks > 0 {
		use = float64(r.usedBlocks(t, nowUs, nodes, told)) / float64(r.blocks)
		if use >= t.BusyAt {
			r.busyKV = true
		} else if use <= t.FreeAt {
			r.busyKV = false
		}
	}
	wait := float64(r.prefill()) / r.readRate(t)
	if wait >= float64(t.PrefillUs) {
		r.busyRead = true
	} else if wait <= float64(t.PrefillUs)*t.PrefillFree {
		r.busyRead = false
	}
	return use
}

func (r *runner) trim(nowUs int64) {
	i := 0
	for i < len(r.recent) && nowUs-r.recent[i].atUs > 2_000_000 {
		i++
	}
	r.recent = r.recent[i:]
}
