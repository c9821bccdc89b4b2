package rollout

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/targets"
)

func TestRunnersOfIncludesStaleRunnersAndThoseWithoutModels(t *testing.T) {
	carries := []messages.Target{{Model: "m", Version: 1}}
	records := map[string]messages.RunnerRecord{
		"a": {ID: "a", Service: "s", Seq: 9, Models: carries},
		"b": {ID: "b", Service: "s", Seq: 9, Models: carries, Stale: true},
		"c": {ID: "c", Service: "s", Seq: 9},
		"d": {ID: "d", Service: "s", Seq: 9, Models: carries, Draining: true},
		"e": {ID: "e", Service: "s", Seq: 9, Models: []messages.Target{{Model: "other", Version: 1}}},
		"f": {ID: "f", Service: "other", Seq: 9},
		"g": {ID: "g", Service: "s", Seq: 1, Models: carries, Cordoned: true, DrainingLong: true},
	}
	stale, fresh := Runner{ID: "b", Version: 1}, Runner{ID: "g", Version: 1, Cordoned: true, Draining: true, NewlyRegistered: true}
	must.Eq(t, []Runner{{ID: "a", Version: 1}, stale, {ID: "c"}, fresh}, RunnersOf(records, "m", "s"))
	must.Eq(t, []Runner{{ID: "a", Version: 1}, stale, fresh}, RunnersOf(records, "m", ""), must.Sprint("without a configuration"))
}

// A version loaded from disk has an unknown age, which counts as the bound until another
// node sends the actual age.
func TestVersionOfUnknownAgeCountsAsNamedBoundAgo(t *testing.T) {
	var table targets.Table
	table.RecordUnknownAge("m", 2, 11*second)
	table.RecordNamed("m", 3, 20*second)
	must.Eq(t, []NamedVersion{{2, 21*second - boundUs}, {3, 20 * second}}, NamedVersions(&table, "m", boundUs, 21*second))
	must.Eq(t, []NamedVersion{{2, 60*second - boundUs}, {3, 60*second - boundUs}}, NamedVersions(&table, "m", boundUs, 60*second), must.Sprint("no older than the bound"))
	table.MergeAges([]messages.TargetAge{{Model: "m", Version: 2, AgeUs: second}}, 21*second)
	must.Eq(t, []NamedVersion{{2, 20 * second}, {3, 20 * second}}, NamedVersions(&table, "m", boundUs, 21*second))
}
