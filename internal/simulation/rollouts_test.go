package simulation

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestRolloutSeedsViolateNoCheck(t *testing.T) {
	rollouts := Range{Model: "rollouts", Count: 150, Parallel: 3}
	counts := Run(rollouts, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Eq(t, int64(rollouts.Count), counts.RolloutHistories)
	must.Positive(t, counts.RolloutRequestsStarted)
	must.Greater(t, counts.RolloutHistories, counts.Orders)
	must.Positive(t, counts.LeaseTakeovers)
}

func TestRolloutSameSeedReproducesHistory(t *testing.T) {
	for seed := range uint64(10) {
		a, b := PlayRollouts(seed, Options{Record: true}), PlayRollouts(seed, Options{Record: true})
		must.Eq(t, strings.Join(a.History, "\n"), strings.Join(b.History, "\n"))
	}
}

// A new lease holder continues where the previous one stopped: every runner loads the weights
// after exactly one order, within the takeover time. That is the detection of the lost holder
// (1.2 s), the delay by candidate rank (0.3 s each), the wait for the lease (4.2 s) and late
// steps.
func TestRolloutContinuesAfterHolderLossAtEveryStep(t *testing.T) {
	const takeoverUs = 8 * Second
	for name, strike := range map[string]func(*rolloutHistory, *coordinator, int64){
		"killed": (*rolloutHistory).kill, "frozen": (*rolloutHistory).freeze, "cut off": (*rolloutHistory).cutOff,
	} {
		t.Run(name, func(t *testing.T) {
			for step := range int64(60) {
				atUs := step * 100 * Millisecond
				k := NewKernel(uint64(step), true)
				h := newRolloutHistory(k, Defects{}, 3, 9)
				h.enforceVersionBound = true
				k.After(rolloutWarmupUs, func() { h.setVersion(2) })
				for !h.checks.isAcknowledged(2) {
					k.RunUntil(k.NowUs() + Millisecond)
				}
				k.RunUntil(k.NowUs() + 5*Millisecond + atUs)
				holder := h.holder()
				must.NotNil(t, holder)
				strike(h, holder, 10*Second)
				k.RunUntil(k.NowUs() + takeoverUs)
				h.checks.checkOrdered()
				k.RunUntil(k.NowUs() + completedUs)
				h.checks.checkCompleted()
				must.Eq(t, "", k.failure, must.Sprintf("holder lost %d us after the version was acknowledged\n%s", atUs, strings.Join(k.history, "\n")))
				for _, e := range h.engines {
					must.Eq(t, 1, e.accepted, must.Sprintf("orders accepted by %s; holder lost %d us after the version was acknowledged", e.id(), atUs))
				}
			}
		})
	}
}

// Each injected defect must be detected by a check.
func TestRolloutChecksDetectDefects(t *testing.T) {
	for _, c := range []struct {
		name    string
		defects Defects
		finds   string
	}{
		{"lease without waits", Defects{ActWithoutWaiting: true}, "us after"},
		{"no bound on sending orders", Defects{OrderWithoutBound: true}, "later than versionMs"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(maxSeedsToDetect) {
				if r := PlayRollouts(seed, Options{Defects: c.defects}); r.Failure != "" {
					t.Logf("detected by seed %d: %s", seed, r.Failure)
					must.StrContains(t, r.Failure, c.finds)
					return
				}
			}
			t.Error("no seed detects the defect")
		})
	}
}
