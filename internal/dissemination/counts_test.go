package dissemination

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestAnswerCountsSeparateSnapshotsFromDeltas(t *testing.T) {
	var a answerCounts
	a.count(&messages.Feed{Registry: []messages.EntryChange{{}, {Snapshot: true}}}, 100)
	a.count(&messages.Feed{Configuration: []messages.EntryChange{{}}}, 10)
	a.count(&messages.Feed{}, 1)
	must.Eq(t, 1, a.snapshots.Load())
	must.Eq(t, 100, a.snapshotBytes.Load())
	must.Eq(t, 2, a.deltas.Load())
	must.Eq(t, 11, a.deltaBytes.Load())
}

func TestSubscriptionCountsByEndReason(t *testing.T) {
	var c SubscriptionCounts
	c.begin()
	must.True(t, c.end(EndSilent, true))
	must.False(t, c.end(EndCutOff, false))
	must.Eq(t, 1, c.Begun())
	must.Eq(t, map[string]int64{"closed": 0, "silent": 1, "cut_off": 1, "moved": 0, "stopped": 0}, c.Ended())
	var none *SubscriptionCounts
	none.begin()
	must.True(t, none.end(EndMoved, true))
}
