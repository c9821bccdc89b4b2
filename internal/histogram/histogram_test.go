package histogram

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSnapshotCountsDurationsUpToEachBound(t *testing.T) {
	var d Durations
	for _, duration := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond, 400 * time.Millisecond, time.Minute} {
		d.Observe(duration)
	}
	s := d.Snapshot()
	must.Eq(t, 5, s.Count)
	must.Eq(t, 60.403, s.SumSeconds)
	for bound, want := range map[float64]uint64{0.001: 2, 0.005: 3, 0.25: 3, 0.5: 4, 10: 4} {
		must.Eq(t, want, s.Cumulative[bound], must.Sprint(bound))
	}
}
