// Package targets records, for every model, the target versions of its weights that
// were named recently, and how long ago each was acknowledged. To name a version is to
// commit it as the target that the model's runners have to load.
//
// A version may be named while the previous one is still being rolled out. Each has its
// own bound, so the age of a runner's weights is measured from the earliest acknowledged
// version that is newer than them (Table.OutdatedUs). Nodes exchange the time of an
// acknowledgement as an age, because the monotonic clocks of two machines are
// unrelated; the receiver converts the age to its own clock. Transit time can only make
// a received age too small, so the greater of two ages is the more accurate one, and a
// delayed message never postpones a bound. An unknown age counts as past every bound.
//
// Everything here is pure: times are microseconds of the caller's monotonic clock,
// given as arguments. A Table is not safe for concurrent use.
package targets

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/messages"
)

// UnknownAgeUs is sent in place of an age that the sender does not know.
const UnknownAgeUs = -1

// certainty is how reliably the time of an acknowledgement is known. An entry of a higher
// certainty replaces one of a lower certainty.
type certainty int

const (
	assumed certainty = iota // the time at which this process received the version, an upper limit
	unknown                  // some time before the process that loaded it from disk started
	known                    // measured by the process that acknowledged it or saw it committed
)

// Target is a version that was named for a model's weights.
type Target struct {
	Version   int64
	namedAtUs int64
	certainty certainty
}

// AgeUs returns how long ago the version was acknowledged, in microseconds;
// math.MaxInt64 if that is unknown.
func (t Target) AgeUs(nowUs int64) int64 {
	if t.certainty == unknown {
		return math.MaxInt64
	}
	return max(nowUs-t.namedAtUs, 0)
}

// Limits of a model's history.
const (
	// retentionUs is the age past which a version makes all older ones redundant:
	// weights older than it are past every bound already.
	retentionUs = 600_000_000
	// maxVersions is the number of versions kept for a model.
	maxVersions = 16
)

// Table holds the targets of all models. The zero value is empty. It is not safe
// for concurrent use.
type Table struct {
	byModel map[string][]Target // sorted by version, ascending
}

// Newest returns the newest named version of a model; the zero Target if none was
// named.
func (t *Table) Newest(model string) Target {
	targets := t.byModel[model]
	if len(targets) == 0 {
		return Target{}
	}
	return targets[len(targets)-1]
}

// Models returns the sorted names of the models that have a version.
func (t *Table) Models() []string { return slices.Sorted(maps.Keys(t.byModel)) }

// Targets returns the versions kept for a model, oldest first.
func (t *Table) Targets(model string) []Target { return slices.Clone(t.byModel[model]) }

// OutdatedUs returns for how long a newer version than the given one has been named,
// in microseconds; 0 if none has.
func (t *Table) OutdatedUs(model string, version, nowUs int64) (us int64) {
	for _, target := range t.byModel[model] {
		if target.Version > version {
			us = max(us, target.AgeUs(nowUs))
		}
	}
	return us
}

// RecordAssumedAge records a version that was received without an age, for example from a
// node that sends an earlier format. Its age counts from nowUs until an age from another
// node is merged.
func (t *Table) RecordAssumedAge(model string, version, nowUs int64) {
	t.merge(model, Target{Version: version, namedAtUs: nowUs, certainty: assumed}, nowUs)
}

// RecordNamed records that a version was committed at nowUs.
func (t *Table) RecordNamed(model string, version, nowUs int64) {
	t.merge(model, Target{Version: version, namedAtUs: nowUs, certainty: known}, nowUs)
}

// RecordUnknownAge records a version that was named before this process started. Its age is
// unknown.
func (t *Table) RecordUnknownAge(model string, version, nowUs int64) {
	t.merge(model, Target{Version: version, certainty: unknown}, nowUs)
}

// MergeAges merges the ages received from another node.
func (t *Table) MergeAges(ages []messages.TargetAge, nowUs int64) {
	for _, age := range ages {
		if age.AgeUs < 0 {
			t.RecordUnknownAge(age.Model, age.Version, nowUs)
		} else {
			t.merge(age.Model, Target{Version: age.Version, namedAtUs: nowUs - age.AgeUs, certainty: known}, nowUs)
		}
	}
}

// merge inserts a target whose version is not in the table. Of two targets of the same
// version it keeps the one with the higher certainty, and among equals the one named
// earlier.
func (t *Table) merge(model string, received Target, nowUs int64) {
	if t.byModel == nil {
		t.byModel = map[string][]Target{}
	}
	targets := t.byModel[model]
	i, found := slices.BinarySearchFunc(targets, received.Version, func(target Target, version int64) int {
		return cmp.Compare(target.Version, version)
	})
	switch {
	case !found:
		t.byModel[model] = prune(slices.Insert(targets, i, received), nowUs)
	case supersedes(received, targets[i]):
		targets[i] = received
	}
}

// supersedes reports whether a received target replaces the current one of its version.
func supersedes(received, current Target) bool {
	if received.certainty != current.certainty {
		return received.certainty > current.certainty
	}
	return received.namedAtUs < current.namedAtUs
}

// prune drops the oldest versions that are redundant or exceed maxVersions.
func prune(targets []Target, nowUs int64) []Target {
	for len(targets) > 1 && (len(targets) > maxVersions || targets[1].certainty != unknown && targets[1].AgeUs(nowUs) > retentionUs) {
		targets = slices.Delete(targets, 0, 1)
	}
	return targets
}

// Ages returns the ages at nowUs of all versions in the table, to be sent to another
// node, sorted by model and version. Assumed ages are left out.
func (t *Table) Ages(nowUs int64) []messages.TargetAge {
	var out []messages.TargetAge
	for model, targets := range t.byModel {
		for _, target := range targets {
			age := messages.TargetAge{Model: model, Version: target.Version, AgeUs: UnknownAgeUs}
			switch target.certainty {
			case assumed:
				continue
			case known:
				age.AgeUs = target.AgeUs(nowUs)
			}
			out = append(out, age)
		}
	}
	slices.SortFunc(out, func(a, b messages.TargetAge) int {
		return cmp.Or(strings.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}
