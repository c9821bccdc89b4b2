package router

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// setEvacuated applies a register update that begins or ends the evacuation of the runners' zone.
func (r *Router) setEvacuated(t *testing.T, evacuated bool, version int64) {
	t.Helper()
	body := messages.LeaseBody{Targets: []messages.Target{}, Evacuations: []messages.Evacuation{{Zone: "a", Changes: version, Evacuated: evacuated}}}
	b, err := body.MarshalMsg(nil)
	must.NoError(t, err)
	r.applyFeed("", messages.Feed{Parts: []messages.RegisterUpdate{{Part: 2, Version: version, Body: b}}})
}

func TestEvacuatedZoneReceivesNoRequests(t *testing.T) {
	r := newRunner(t)
	c, front, _ := start(t, r)
	a, _, err := roundTrip(t, front, request("/pay/1", ""))
	must.NoError(t, err)
	must.Eq(t, 200, a.StatusCode)
	before := r.requestCount()
	c.setEvacuated(t, true, 4)
	must.Eq(t, []string{"a"}, c.condition().Partition.Evacuated)
	a, _, err = roundTrip(t, front, request("/pay/1", ""))
	must.NoError(t, err)
	must.Eq(t, 503, a.StatusCode)
	c.setEvacuated(t, false, 3) // an older version
	must.Eq(t, []string{"a"}, c.condition().Partition.Evacuated)
	must.Eq(t, before, r.requestCount())
	c.setEvacuated(t, false, 5)
	a, _, err = roundTrip(t, front, request("/pay/1", ""))
	must.NoError(t, err)
	must.Eq(t, 200, a.StatusCode)
}
