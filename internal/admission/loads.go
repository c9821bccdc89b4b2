// Loads: what runners report, and what other nodes have in flight at each runner.

package admission

import (
	"math"
	"sort"

	"beechtide.org/beechtide/internal/messages"
)

// Report takes a runner's own word.
func (a *Admitter) Report(n messages.ReportNote, nowUs int64) {
	for _, p := range a.pools {
		if r := p.runners[n.ID]; r != nil {
			r.report = word{blocks: n.Used / a.T.BlockTokens, count: n.Active + n.Queued, atUs: nowUs}
			r.reported, r.queued = true, n.Queued
			if n.Total > 0 {
				r.blocks = n.Total / a.T.BlockTokens
			}
		}
	}
}

// Coming takes other nodes' word on the parts that they have sent to be read.
func (a *Admitter) Coming(notes []messages.KeptNote) {
	for _, n := range notes {
		for _, part := range n.Parts {
			a.Index.Expect(n.ID, part.Key, part.Tokens)
		}
	}
}

// Others takes what the other nodes have at the runners, added up; a runner
// that is not named has nothing of theirs.
func (a *Admitter) Others(loads func(id string) messages.RunnerLoad, nowUs int64) {
	for _, p := range a.pools {
		for id, r := range p.runners {
			r.other(loads(id))
		}
	}
	a.Told(nowUs)
}

// Other takes it for one runner.
func (a *Admitter) Other(id string, l messages.RunnerLoad) {
	for _, p := range a.pools {
		if r := p.runners[id]; r != nil {
			r.other(l)
		}
	}
}

// Told notes that what is known of the others is of now.
func (a *Admitter) Told(nowUs int64) {
	a.toldUs = nowUs
	for _, p := range a.pools {
		p.eject(nowUs)
	}
}

// forgetOthers lets go of what the others said once it is too old.
func (a *Admitter) forgetOthers(nowUs int64) {
	if a.toldUs == 0 || a.told(nowUs) {
		return
	}
	a.toldUs = 0
	for _, p := range a.pools {
		for _, r := range p.runners {
			r.others = word{}
		}
	}
}

// told tells whether the others' loads are fresh enough to go by.
func (a *Admitter) told(nowUs int64) bool {
	return a.toldUs > 0 && nowUs-a.toldUs < a.T.ReportFreshUs
}

// Blind lists the runners whose thresholds cannot fire as they should: memory
// that is not known, or no report within three times the time one is believed.
func (a *Admitter) Blind(nowUs int64) []string {
	var out []string
	for _, p := range a.pools {
		for _, id := range p.order {
			r := p.runners[id]
			if r.blocks == 0 || !r.reported || nowUs-r.report.atUs > 3*a.T.ReportFreshUs {
				out = append(out, id)
			}
		}
	}
	sort.Strings(out)
	return out
}

// flowStep is to what the flow of prompt tokens is rounded where it is told, so
// that it is no change with every moment.
const flowStep = 250

// Own is what this node has at the runners.
func (a *Admitter) Own(nowUs int64) map[string]messages.RunnerLoad {
	out := map[string]messages.RunnerLoad{}
	for _, p := range a.pools {
		for id, r := range p.runners {
			flow := int(r.ownFlow(nowUs)/flowStep+0.5) * flowStep
			seen := r.health.own(nowUs)
			if r.own.count > 0 || flow > 0 || seen.tried > 0 {
				out[id] = messages.RunnerLoad{ID: id, Tried: seen.tried, Failed: seen.failed, Blocks: r.own.blocks, Prefill: r.own.prefill, Count: r.own.count, Rate: math.Round(r.rate*1e4) / 1e4, Flow: flow}
			}
		}
	}
	return out
}
