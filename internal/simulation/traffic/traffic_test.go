package traffic

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// If all routers compared all runners, the runners that were idle in the last load update
// would get all requests until the next one: nearly five times the mean.
func TestDelayedLoadsKeepRunnersBalanced(t *testing.T) {
	for _, delay := range []time.Duration{30 * time.Millisecond, 250 * time.Millisecond, time.Second} {
		options := Defaults()
		options.LoadDelay = delay
		result := Run(options, 1)
		t.Logf("loads %v old\n%v", delay, &result)
		must.Less(t, 2.8, result.Imbalance())
		must.Greater(t, 0.8, result.Classes[0].OnTimeShare())
		must.Greater(t, 0.9, result.Classes[1].OnTimeShare())
		must.Zero(t, result.DecidedTwice)
	}
}

func TestSmallFleetMeetsFirstTokenTarget(t *testing.T) {
	options := Defaults()
	options.Routers, options.Runners, options.RequestsPerSecond = 23, 15, 42
	options.Duration, options.LoadDelay = 10*time.Second, 120*time.Millisecond
	options.Classes[0].Subjects, options.Classes[1].Subjects, options.Classes[1].Heads = 173, 82, 4
	result := Run(options, 1)
	t.Logf("%v", &result)
	for i := range result.Classes {
		must.Greater(t, 0.95, result.Classes[i].OnTimeShare())
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	options := Defaults()
	options.Routers, options.Runners, options.RequestsPerSecond, options.Duration = 10, 20, 60, time.Second
	first, second := Run(options, 7), Run(options, 7)
	must.Eq(t, first.String(), second.String())
}
