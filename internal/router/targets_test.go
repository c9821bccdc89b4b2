package router

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/messages"
)

func TestOnlyFeedOfControllerThatReachesCoreRenewsContact(t *testing.T) {
	const versionUs, contactLossUs = 8_000_000, 3_000_000
	c := &Router{admission: admission.New(admission.Defaults, "a", 1)}
	c.admission.WeightsBound = admission.WeightsBound{VersionUs: versionUs, ContactLossUs: contactLossUs}
	record := messages.RunnerRecord{ID: "r0", Service: "s", Capacity: 4, Models: []messages.Target{{Model: "m", Version: 4}}}
	c.admission.SetService("s", []messages.RunnerRecord{record}, 1000, 0)
	adm := c.admission.Submit(admission.Request{Service: "s", Model: "m", TokensIn: 8, TimeLeftUs: 1_000_000}, 1).Admission
	must.NotNil(t, adm)

	c.applyTargetAges(messages.Feed{TargetAges: []messages.TargetAge{{Model: "m", Version: 5, AgeUs: versionUs}}}, 1)
	must.False(t, c.admission.WeightsAllowed(adm, contactLossUs))
	lostUs := int64(1 + contactLossUs)
	must.True(t, c.admission.WeightsAllowed(adm, lostUs))
	for _, f := range []messages.Feed{{CutOff: true}, {FromRelay: true}, {CutOff: true, FromRelay: true}} {
		c.applyTargetAges(f, lostUs)
		must.True(t, c.admission.WeightsAllowed(adm, lostUs), must.Sprintf("%+v", f))
	}
	c.applyTargetAges(messages.Feed{}, lostUs)
	must.False(t, c.admission.WeightsAllowed(adm, lostUs))
}

// A parent that has lost the ages of its targets receives them with this node's sync state, and a
// subscriber receives them with its delta.
func TestTargetAgesAreSentToParentAndSubscribers(t *testing.T) {
	c, _, _ := start(t)
	c.applyFeed("", messages.Feed{TargetAges: []messages.TargetAge{{Model: "m", Version: 5, AgeUs: 1_000_000}}})
	sentToParent := c.syncState().TargetAges
	must.Len(t, 1, sentToParent)
	must.GreaterEq(t, 1_000_000, sentToParent[0].AgeUs)
	subscriber := messages.SyncState{TargetAges: []messages.TargetAge{{Model: "m", Version: 5, AgeUs: 60_000_000}}}
	f := c.deltaSince(subscriber)
	must.True(t, f.FromRelay)
	must.Len(t, 1, f.TargetAges)
	must.GreaterEq(t, 60_000_000, f.TargetAges[0].AgeUs)
}
