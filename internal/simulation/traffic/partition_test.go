package traffic

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// cutFleet returns options of a fleet in which one of five zones is partitioned off for 5 s.
func cutFleet(unaware bool) Options {
	options := Defaults()
	options.Routers, options.Runners, options.RequestsPerSecond = 50, 80, 180
	options.Duration = 14 * time.Second
	options.Classes[0].Subjects, options.Classes[1].Subjects = 900, 600
	options.Cut = Cut{Zone: "c", From: 2 * time.Second, For: 5 * time.Second, Unaware: unaware}
	return options
}

func TestPartitionKeepsFirstTokensOnTimeWithPings(t *testing.T) {
	aware, unaware := Run(cutFleet(false), 1), Run(cutFleet(true), 1)
	t.Logf("routers that ping:\n%v\nthat do not:\n%v", &aware, &unaware)
	must.Greater(t, 0.95, aware.Cut.OnTimeShare())
	must.Greater(t, 0.95, aware.Cut.AfterOnTimeShare())
	must.Less(t, aware.Cut.OnTimeShare()-0.05, unaware.Cut.OnTimeShare(), must.Sprint("without pings fewer requests must be on time"))
	must.Zero(t, aware.DecidedTwice)
}

func TestValidateRejectsInvalidCuts(t *testing.T) {
	options := cutFleet(false)
	must.NoError(t, options.Validate())
	options.Cut.Zone = "z"
	must.Error(t, options.Validate())
	options = cutFleet(false)
	options.Cut.For = -1
	must.Error(t, options.Validate())
}
