package router

import (
	"testing"

	"github.com/shoenig/test/must"
)

const (
	testStartUs = 5_000_000
	testGraceUs = 8_000_000
)

func TestShutdownPlanPhasesInOrder(t *testing.T) {
	plan := newShutdownPlan(testStartUs, testGraceUs)
	for _, tc := range []struct {
		atUs int64
		want shutdownPhase
	}{
		{testStartUs, phaseNotice},
		{testStartUs + noticeUs - 1, phaseNotice},
		{testStartUs + noticeUs, phaseDrain},
		{testStartUs + testGraceUs - exitMarginUs - finalPhaseUs - 1, phaseDrain},
		{testStartUs + testGraceUs - exitMarginUs - finalPhaseUs, phaseFinal},
		{testStartUs + testGraceUs - exitMarginUs - 1, phaseFinal},
		{testStartUs + testGraceUs - exitMarginUs, phaseOver},
		{testStartUs + testGraceUs, phaseOver},
	} {
		must.Eq(t, tc.want, plan.phase(tc.atUs), must.Sprint(tc.atUs))
	}
}

// A grace period shorter than the notice phase must still end the router in time.
func TestShutdownPlanEndsWithinShortGracePeriod(t *testing.T) {
	for _, graceUs := range []int64{0, exitMarginUs / 2, exitMarginUs, noticeUs / 2, noticeUs} {
		plan := newShutdownPlan(testStartUs, graceUs)
		must.Eq(t, phaseOver, plan.phase(testStartUs+graceUs), must.Sprint(graceUs))
	}
}

func TestShutdownPlanForwardsRequestsThatEndInTime(t *testing.T) {
	plan := newShutdownPlan(testStartUs, testGraceUs)
	last := int64(testStartUs + testGraceUs - exitMarginUs - finalPhaseUs)
	must.True(t, plan.mayForward(last))
	must.False(t, plan.mayForward(last+1))
	must.Eq(t, phaseFinal, plan.phase(last), must.Sprint("the last response must still be awaited"))
	var running *shutdownPlan
	must.True(t, running.mayForward(1<<62), must.Sprint("a router that is not draining forwards everything"))
}
