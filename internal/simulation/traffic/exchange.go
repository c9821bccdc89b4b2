// The delayed exchange of data among routers and the reports of runners.

package traffic

import "beechtide.org/beechtide/internal/messages"

// publishExpectedPrefixes sends the prefixes that runners are about to cache to the other
// routers.
func (f *fleet) publishExpectedPrefixes(from int) {
	notes := f.routers[from].TakeExpectedPrefixes()
	if len(notes) == 0 {
		return
	}
	f.kernel.After(f.options.NoticeDelay.Microseconds(), func() {
		for i, a := range f.routers {
			if i != from {
				a.ExpectPrefixes(notes)
			}
		}
	})
}

// publishLoads sends every router the sum of the loads of all the others.
func (f *fleet) publishLoads() {
	if f.kernel.NowUs() > f.endUs {
		return
	}
	f.kernel.After(f.options.LoadInterval.Microseconds(), f.publishLoads)
	sum := map[string]messages.RunnerLoad{}
	own := make([]map[string]messages.RunnerLoad, len(f.routers))
	for i, a := range f.routers {
		own[i] = a.OwnLoads(f.kernel.NowUs())
		for id, load := range own[i] {
			sum[id] = combine(sum[id], load, 1)
		}
	}
	f.kernel.After(f.options.LoadDelay.Microseconds(), func() {
		for i, a := range f.routers {
			a.SetPeerLoads(func(id string) messages.RunnerLoad { return combine(sum[id], own[i][id], -1) }, f.kernel.NowUs())
		}
	})
}

// combine adds a load to a sum, or subtracts it with a sign of -1.
func combine(sum, load messages.RunnerLoad, sign int) messages.RunnerLoad {
	sum.Blocks += sign * load.Blocks
	sum.Prefill += sign * load.Prefill
	sum.Count += sign * load.Count
	sum.Flow += sign * load.Flow
	sum.Tried += sign * load.Tried
	sum.Failed += sign * load.Failed
	sum.Rate = max(sum.Rate, load.Rate)
	return sum
}

// publishReports sends the load reports of the runners to every router.
func (f *fleet) publishReports() {
	if f.kernel.NowUs() > f.endUs {
		return
	}
	f.kernel.After(reportIntervalUs, f.publishReports)
	for _, r := range f.runners {
		note := messages.RunnerReport{ID: r.id, Active: r.active, Queued: len(r.queue), Total: runnerMemoryTokens, Used: r.usedTokens}
		f.kernel.After(reportDelayUs, func() {
			for _, a := range f.routers {
				a.RecordRunnerReport(note, f.kernel.NowUs())
			}
		})
	}
}
