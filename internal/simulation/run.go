// Running a range of seeds, several in parallel.

package simulation

import "sync"

// Models maps the name of each simulation model to the function that runs one seed of it.
var Models = map[string]func(seed uint64, options Options) Result{
	"registers": Play, "registers-memory": PlayWithMemory, "runners": PlayFleet, "runners-partial": PlayFleetPartial,
	"rollouts": PlayRollouts, "distribution": PlayDistribution, "usage": PlayUsage,
	"quota": PlayQuota, "tallies": PlayTallies, "tallies-memory": PlayTalliesWithMemory, "requests": PlayRequests, "loads": PlayLoads, "versions": PlayVersions,
}

// Range selects the model and the seeds to run, and how many run in parallel.
type Range struct {
	Model        string
	First, Count uint64
	Parallel     int
}

// Run runs a range of seeds and returns the sum of their counts. A seed that violates
// a check runs a second time with recording on, and failed is called with that result,
// one call at a time.
func Run(r Range, options Options, failed func(Result)) Counts {
	play := Models[r.Model]
	seeds := make(chan uint64)
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		counts Counts
	)
	for range max(r.Parallel, 1) {
		wg.Go(func() {
			for seed := range seeds {
				result := play(seed, options)
				if result.Failure != "" {
					recordOptions := options
					recordOptions.Record = true
					result = play(seed, recordOptions)
				}
				mu.Lock()
				counts.Add(result.Counts)
				if result.Failure != "" {
					failed(result)
				}
				mu.Unlock()
			}
		})
	}
	for seed := r.First; seed < r.First+r.Count; seed++ {
		seeds <- seed
	}
	close(seeds)
	wg.Wait()
	return counts
}
