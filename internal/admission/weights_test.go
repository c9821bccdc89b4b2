package admission

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const versionUs = 8_000_000

func age(version, us int64) []messages.TargetAge {
	return []messages.TargetAge{{Model: "m", Version: version, AgeUs: us}}
}

// boundDoor has runners with weights 1, and version 2 was acknowledged at 0.
func boundDoor(ids ...string) *Admitter {
	d := door(ids...)
	d.Bound = WeightsBound{VersionUs: versionUs, ContactLossUs: 3_000_000}
	d.Contact(1)
	d.ObserveTargets(age(2, 1), 1)
	return d
}

// withVersion replaces the runner x by one with a version of the weights, 0 for
// one of which nothing is known.
func withVersion(d *Admitter, version int64) {
	n := note("x")
	n.Models = nil
	if version > 0 {
		n.Models = []messages.Target{{Model: "m", Version: version}}
	}
	d.SetService("s", []messages.RunnerRecord{n}, memory, 2)
}

func TestOldWeightsBoundIgnoresCoreChanges(t *testing.T) {
	d := boundDoor("x")
	const bound = versionUs - leastSendMarginUs
	for us := int64(250_000); us < bound; us += 250_000 {
		d.Contact(us) // word comes from ever other controllers, each new to this node
		d.ObserveTargets(age(2, 0), us)
		d.ObserveTargets(age(2, -1), us)
		d.AssumeTarget("m", 2, us)
		must.Len(t, 1, d.Candidates(ask(16, 1), us))
	}
	must.SliceEmpty(t, d.Candidates(ask(16, 1), bound))
	withVersion(d, 2)
	r := d.Submit(ask(16, 1), bound)
	must.NotNil(t, r.Admit)
	must.Eq(t, "w2", r.Admit.Salt)
}

func TestBoundSurvivesRouterRestart(t *testing.T) {
	before := boundDoor("x")
	const restart = 3_000_000
	after := door("x")
	after.Bound = before.Bound
	after.Contact(1)
	after.ObserveTargets(before.TargetAges(restart), 1)
	must.Len(t, 1, after.Candidates(ask(16, 1), 1))
	must.SliceEmpty(t, after.Candidates(ask(16, 1), versionUs-leastSendMarginUs-restart+1))
}

func TestTargetOfUnknownAgeIsPastTheBound(t *testing.T) {
	d := door("x")
	d.ObserveTargets(age(2, -1), 1)
	must.SliceEmpty(t, d.Candidates(ask(16, 1), 1))
	d.ObserveTargets(age(2, 1_000_000), 2)
	must.Len(t, 1, d.Candidates(ask(16, 1), 2))
}

func TestUnknownVersionNotAllowedPastBound(t *testing.T) {
	d := boundDoor("x")
	withVersion(d, 0)
	const bound = versionUs - leastSendMarginUs
	d.Contact(bound)
	must.Len(t, 1, d.Candidates(ask(16, 1), bound-1))
	must.SliceEmpty(t, d.Candidates(ask(16, 1), bound))
	other := ask(16, 1)
	other.Model = "of which no version was named"
	must.Len(t, 1, d.Candidates(other, bound))
}

func TestLossOfContactSuspendsTheBoundAndItsReturnRestoresIt(t *testing.T) {
	d := boundDoor("x")
	d.Contact(versionUs)
	must.SliceEmpty(t, d.Candidates(ask(16, 1), versionUs+2_999_999))
	must.Len(t, 1, d.Candidates(ask(16, 1), versionUs+3_000_000))
	d.Contact(versionUs + 3_000_001)
	must.SliceEmpty(t, d.Candidates(ask(16, 1), versionUs+3_000_001))
}

func TestWaitAtTheRunnerBringsItsBoundForward(t *testing.T) {
	d := boundDoor("x", "y")
	const shortly = versionUs - leastSendMarginUs - 500_000
	d.Contact(shortly)
	must.Len(t, 2, d.Candidates(ask(16, 1), shortly))
	d.Report(messages.ReportNote{ID: "x", Queued: 2}, shortly)
	list := d.Candidates(ask(16, 1), shortly)
	must.Len(t, 1, list)
	must.Eq(t, "y", list[0].ID)
	must.Len(t, 2, d.Candidates(ask(16, 1), shortly-500_000))
}

func TestAdmittedRequestIsLookedAtAgainWhenItIsSent(t *testing.T) {
	d := boundDoor("x")
	const bound = versionUs - leastSendMarginUs
	d.Contact(bound)
	adm := d.Submit(ask(16, 1), bound-1).Admit
	must.NotNil(t, adm)
	must.True(t, d.WeightsAllowed(adm, bound-1_000_000))
	must.False(t, d.WeightsAllowed(adm, bound))
	withVersion(d, 2)
	must.False(t, d.WeightsAllowed(adm, bound), must.Sprint("its salt is that of the old weights"))
	must.True(t, d.WeightsAllowed(d.Submit(ask(16, 1), bound).Admit, bound))
}

func TestRequestThatHasNotBegunIsWithdrawnBeforeTheBound(t *testing.T) {
	d := boundDoor("x")
	adm := d.Submit(ask(16, 1), 1_000_000).Admit
	must.NotNil(t, adm)
	const withdraw = versionUs - withdrawMarginUs
	d.Contact(withdraw)
	must.False(t, d.MustWithdraw(adm, withdraw-1))
	must.True(t, d.MustWithdraw(adm, withdraw))
	must.False(t, d.MustWithdraw(adm, withdraw+3_000_000), must.Sprint("out of contact"))
	withVersion(d, 2)
	must.False(t, d.MustWithdraw(adm, withdraw), must.Sprint("it begins on the new weights there"))
}

func TestWeightsNamedAgainBeginNoNewTermForOlderOnes(t *testing.T) {
	d := boundDoor("x")
	const bound = versionUs - leastSendMarginUs
	d.Contact(bound)
	d.ObserveTargets(age(3, 1_000_000), bound)
	d.ObserveTargets(age(4, 0), bound)
	must.SliceEmpty(t, d.Candidates(ask(16, 1), bound), must.Sprint("version 1, of which 2 is past its term"))
	withVersion(d, 2)
	must.Len(t, 1, d.Candidates(ask(16, 1), bound))
	d.Contact(2 * bound)
	must.SliceEmpty(t, d.Candidates(ask(16, 1), 2*bound))
}
