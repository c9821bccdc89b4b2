package router

import (
	"testing"

	"github.com/shoenig/test/must"
)

const (
	testBeganUs = 5_000_000
	testGraceUs = 8_000_000
)

func TestShutdownPlanGoesThroughItsPhasesInOrder(t *testing.T) {
	plan := newShutdownPlan(testBeganUs, testGraceUs)
	for _, tc := range []struct {
		atUs int64
		want shutdownPhase
	}{
		{testBeganUs, phaseNotice},
		{testBeganUs + noticeUs - 1, phaseNotice},
		{testBeganUs + noticeUs, phaseDrain},
		{testBeganUs + testGraceUs - exitMarginUs - finalPhaseUs - 1, phaseDrain},
		{testBeganUs + testGraceUs - exitMarginUs - finalPhaseUs, phaseFinal},
		{testBeganUs + testGraceUs - exitMarginUs - 1, phaseFinal},
		{testBeganUs + testGraceUs - exitMarginUs, phaseOver},
		{testBeganUs + testGraceUs, phaseOver},
	} {
		must.Eq(t, tc.want, plan.phase(tc.atUs), must.Sprint(tc.atUs))
	}
}

// A grace period that is over before the platform has noticed ends the router in time.
func TestShutdownPlanEndsWithinAShortGrace(t *testing.T) {
	for _, graceUs := range []int64{0, exitMarginUs / 2, exitMarginUs, noticeUs / 2, noticeUs} {
		plan := newShutdownPlan(testBeganUs, graceUs)
		must.Eq(t, phaseOver, plan.phase(testBeganUs+graceUs), must.Sprint(graceUs))
	}
}

func TestShutdownPlanForwardsWhatEndsBeforeTheProcess(t *testing.T) {
	plan := newShutdownPlan(testBeganUs, testGraceUs)
	last := int64(testBeganUs + testGraceUs - exitMarginUs - finalPhaseUs)
	must.True(t, plan.mayForward(last))
	must.False(t, plan.mayForward(last+1))
	must.Eq(t, phaseFinal, plan.phase(last), must.Sprint("its last answer is waited for"))
	var running *shutdownPlan
	must.True(t, running.mayForward(1<<62), must.Sprint("a router that is not draining forwards everything"))
}
