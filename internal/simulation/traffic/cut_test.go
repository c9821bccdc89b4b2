package traffic

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// cutFleet is a fleet of which one zone of five is cut off for a while.
func cutFleet(unaware bool) Options {
	options := Defaults()
	options.Routers, options.Runners, options.RequestsPerSecond = 50, 80, 180
	options.Duration = 14 * time.Second
	options.Classes[0].Subjects, options.Classes[1].Subjects = 900, 600
	options.Cut = Cut{Zone: "c", From: 2 * time.Second, For: 5 * time.Second, Unaware: unaware}
	return options
}

func TestBothSidesOfACutServeOn(t *testing.T) {
	aware, unaware := Play(cutFleet(false), 1), Play(cutFleet(true), 1)
	t.Logf("routers that ping:\n%v\nthat do not:\n%v", &aware, &unaware)
	must.Greater(t, 0.95, aware.Cut.ShareInAim())
	must.Greater(t, 0.95, aware.Cut.AfterInAimShare())
	must.Less(t, aware.Cut.ShareInAim()-0.05, unaware.Cut.ShareInAim(), must.Sprint("without pings it is worse"))
	must.Zero(t, aware.DecidedTwice)
}

func TestCutsAreValidated(t *testing.T) {
	options := cutFleet(false)
	must.NoError(t, options.Validate())
	options.Cut.Zone = "z"
	must.Error(t, options.Validate())
	options = cutFleet(false)
	options.Cut.For = -1
	must.Error(t, options.Validate())
}
