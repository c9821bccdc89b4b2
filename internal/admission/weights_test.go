package admission

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const testVersionUs = 8_000_000

// targetAge returns the age of one target version of the test model.
func targetAge(version, us int64) []messages.TargetAge {
	return []messages.TargetAge{{Model: "m", Version: version, AgeUs: us}}
}

// newBoundAdmitter returns an admitter whose runners have weights version 1, while version 2
// was acknowledged at time 0.
func newBoundAdmitter(ids ...string) *Admitter {
	admitter := newAdmitter(ids...)
	admitter.WeightsBound = WeightsBound{VersionUs: testVersionUs, ContactLossUs: 3_000_000}
	admitter.RecordContact(1)
	admitter.ObserveTargets(targetAge(2, 1), 1)
	return admitter
}

// setRunnerVersion replaces all runners by a runner x with the given weights version; 0
// means an unknown version.
func setRunnerVersion(admitter *Admitter, version int64) {
	n := testRecord("x")
	n.Models = nil
	if version > 0 {
		n.Models = []messages.Target{{Model: "m", Version: version}}
	}
	admitter.SetService("s", []messages.RunnerRecord{n}, testMemoryTokens, 2)
}

func TestOldWeightsBoundIgnoresCoreChanges(t *testing.T) {
	admitter := newBoundAdmitter("x")
	const bound = testVersionUs - minSendMarginUs
	for us := int64(250_000); us < bound; us += 250_000 {
		admitter.RecordContact(us) // messages arrive from different controllers, each new to this node
		admitter.ObserveTargets(targetAge(2, 0), us)
		admitter.ObserveTargets(targetAge(2, -1), us)
		admitter.AssumeTarget("m", 2, us)
		must.Len(t, 1, admitter.Candidates(newRequest(16, 1), us))
	}
	must.SliceEmpty(t, admitter.Candidates(newRequest(16, 1), bound))
	setRunnerVersion(admitter, 2)
	r := admitter.Submit(newRequest(16, 1), bound)
	must.NotNil(t, r.Admission)
	must.Eq(t, "w2", r.Admission.CacheSalt)
}

func TestBoundSurvivesRouterRestart(t *testing.T) {
	before := newBoundAdmitter("x")
	const restartUs = 3_000_000
	after := newAdmitter("x")
	after.WeightsBound = before.WeightsBound
	after.RecordContact(1)
	after.ObserveTargets(before.TargetAges(restartUs), 1)
	must.Len(t, 1, after.Candidates(newRequest(16, 1), 1))
	must.SliceEmpty(t, after.Candidates(newRequest(16, 1), testVersionUs-minSendMarginUs-restartUs+1))
}

func TestTargetOfUnknownAgeIsPastBound(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.ObserveTargets(targetAge(2, -1), 1)
	must.SliceEmpty(t, admitter.Candidates(newRequest(16, 1), 1))
	admitter.ObserveTargets(targetAge(2, 1_000_000), 2)
	must.Len(t, 1, admitter.Candidates(newRequest(16, 1), 2))
}

func TestUnknownVersionNotAllowedPastBound(t *testing.T) {
	admitter := newBoundAdmitter("x")
	setRunnerVersion(admitter, 0)
	const bound = testVersionUs - minSendMarginUs
	admitter.RecordContact(bound)
	must.Len(t, 1, admitter.Candidates(newRequest(16, 1), bound-1))
	must.SliceEmpty(t, admitter.Candidates(newRequest(16, 1), bound))
	other := newRequest(16, 1)
	other.Model = "model without a target version"
	must.Len(t, 1, admitter.Candidates(other, bound))
}

func TestLossOfContactSuspendsBoundUntilContactReturns(t *testing.T) {
	admitter := newBoundAdmitter("x")
	admitter.RecordContact(testVersionUs)
	must.SliceEmpty(t, admitter.Candidates(newRequest(16, 1), testVersionUs+2_999_999))
	must.Len(t, 1, admitter.Candidates(newRequest(16, 1), testVersionUs+3_000_000))
	admitter.RecordContact(testVersionUs + 3_000_001)
	must.SliceEmpty(t, admitter.Candidates(newRequest(16, 1), testVersionUs+3_000_001))
}

func TestExpectedWaitAtRunnerAdvancesBound(t *testing.T) {
	admitter := newBoundAdmitter("x", "y")
	const beforeBoundUs = testVersionUs - minSendMarginUs - 500_000
	admitter.RecordContact(beforeBoundUs)
	must.Len(t, 2, admitter.Candidates(newRequest(16, 1), beforeBoundUs))
	admitter.RecordRunnerReport(messages.RunnerReport{ID: "x", Queued: 2}, beforeBoundUs)
	list := admitter.Candidates(newRequest(16, 1), beforeBoundUs)
	must.Len(t, 1, list)
	must.Eq(t, "y", list[0].ID)
	must.Len(t, 2, admitter.Candidates(newRequest(16, 1), beforeBoundUs-500_000))
}

func TestAdmittedRequestIsRecheckedWhenSent(t *testing.T) {
	admitter := newBoundAdmitter("x")
	const bound = testVersionUs - minSendMarginUs
	admitter.RecordContact(bound)
	adm := admitter.Submit(newRequest(16, 1), bound-1).Admission
	must.NotNil(t, adm)
	must.True(t, admitter.WeightsAllowed(adm, bound-1_000_000))
	must.False(t, admitter.WeightsAllowed(adm, bound))
	setRunnerVersion(admitter, 2)
	must.False(t, admitter.WeightsAllowed(adm, bound), must.Sprint("the cache salt of the admission belongs to the old weights"))
	must.True(t, admitter.WeightsAllowed(admitter.Submit(newRequest(16, 1), bound).Admission, bound))
}

func TestUnstartedRequestIsWithdrawnBeforeBound(t *testing.T) {
	admitter := newBoundAdmitter("x")
	adm := admitter.Submit(newRequest(16, 1), 1_000_000).Admission
	must.NotNil(t, adm)
	const withdrawUs = testVersionUs - withdrawMarginUs
	admitter.RecordContact(withdrawUs)
	must.False(t, admitter.MustWithdraw(adm, withdrawUs-1))
	must.True(t, admitter.MustWithdraw(adm, withdrawUs))
	must.False(t, admitter.MustWithdraw(adm, withdrawUs+3_000_000), must.Sprint("out of contact"))
	setRunnerVersion(admitter, 2)
	must.False(t, admitter.MustWithdraw(adm, withdrawUs), must.Sprint("the request begins on the new weights at the runner"))
}

func TestLaterTargetDoesNotExtendBoundOfOlderWeights(t *testing.T) {
	admitter := newBoundAdmitter("x")
	const bound = testVersionUs - minSendMarginUs
	admitter.RecordContact(bound)
	admitter.ObserveTargets(targetAge(3, 1_000_000), bound)
	admitter.ObserveTargets(targetAge(4, 0), bound)
	must.SliceEmpty(t, admitter.Candidates(newRequest(16, 1), bound), must.Sprint("version 2 was acknowledged longer ago than the bound"))
	setRunnerVersion(admitter, 2)
	must.Len(t, 1, admitter.Candidates(newRequest(16, 1), bound))
	admitter.RecordContact(2 * bound)
	must.SliceEmpty(t, admitter.Candidates(newRequest(16, 1), 2*bound))
}
