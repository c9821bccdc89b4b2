package router

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Each router reports less often in a larger fleet, within bounds.
func TestReportBatchDelayGrowsWithRouterCount(t *testing.T) {
	c := &Router{}
	for _, row := range []struct {
		routers int
		report  time.Duration
	}{
		{0, reportDelay},
		{78, reportDelay},
		{200, 128 * time.Millisecond},
		{5000, maxReportDelay},
	} {
		c.nodes.Store(int64(row.routers))
		must.Eq(t, row.report, c.reportBatchDelay())
	}
}

func TestFleetSizeOfStartingRouterIsAtLeastTwo(t *testing.T) {
	must.Eq(t, 2, fleetSize(1, 0))
	must.Eq(t, 2, fleetSize(0, startupUs-1))
	must.Eq(t, 300, fleetSize(300, 0))
	must.Eq(t, 1, fleetSize(1, startupUs))
	must.Eq(t, 1, fleetSize(0, startupUs))
}
