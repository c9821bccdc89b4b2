package router

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/reachability"
)

// What each router does by itself is done less often in a large fleet, within bounds.
func TestPausesGrowWithTheFleet(t *testing.T) {
	c := &Router{}
	for _, row := range []struct {
		routers int
		idleUs  int64
		report  time.Duration
	}{
		{0, reachability.DefaultConfig.IdleUs, reportDelay},
		{78, reachability.DefaultConfig.IdleUs, reportDelay},
		{200, 400_000, 128 * time.Millisecond},
		{5000, maxZoneIdleUs, maxReportDelay},
	} {
		c.nodes.Store(int64(row.routers))
		must.Eq(t, row.idleUs, zoneIdleUs(row.routers))
		must.Eq(t, row.report, c.reportPause())
	}
}

func TestRouterThatHasJustStartedDoesNotTakeItselfForTheOnlyOne(t *testing.T) {
	must.Eq(t, 2, fleetSize(1, 0))
	must.Eq(t, 2, fleetSize(0, joiningUs-1))
	must.Eq(t, 300, fleetSize(300, 0))
	must.Eq(t, 1, fleetSize(1, joiningUs))
	must.Eq(t, 1, fleetSize(0, joiningUs))
}
