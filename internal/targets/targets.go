// Package targets records, for every model, the lately named versions of its weights
// and how long ago each was acknowledged.
//
// A version may be named before the one before it is in use everywhere; each has a
// bound of its own, so weights are judged by the earliest acknowledged version that is
// newer (Table.OutdatedUs). The moment of an acknowledgement travels between nodes as
// an age, because monotonic clocks of two machines have nothing in common; every node
// turns an age into a moment of its own clock. An age only grows on its way, so of two
// ages the greater is the better one, and a late message never puts a bound off. An
// age that nobody knows counts as past every bound.
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

// UnknownAgeUs stands for an age that the sender does not know.
const UnknownAgeUs = -1

// certainty is how well the moment of the acknowledgement is known. A greater
// one replaces a smaller one.
type certainty int

const (
	assumed certainty = iota // no later than when this process heard of the version
	unknown                  // before the process that recalled it began
	known                    // heard from the process that took it, or from one that saw it committed
)

// Target is a named version of a model's weights.
type Target struct {
	Version   int64
	namedAtUs int64
	certainty certainty
}

// AgeUs is how long ago the version was acknowledged. One whose age nobody knows
// counts as having been named long ago.
func (t Target) AgeUs(nowUs int64) int64 {
	if t.certainty == unknown {
		return math.MaxInt64
	}
	return max(nowUs-t.namedAtUs, 0)
}

// Bounds on what is remembered of a model.
const (
	// forgetUs is after how long a version is forgotten that a newer one follows
	// which is as old: the newer one says as much by then.
	forgetUs = 600_000_000
	// mostRemembered is how many versions are remembered at most.
	mostRemembered = 16
)

// Table holds the targets of all models. The zero value is empty. It is not safe
// for concurrent use.
type Table struct {
	byModel map[string][]Target // in rising order of versions
}

// Newest gives the newest named version of a model; the zero Target where none
// was named.
func (t *Table) Newest(model string) Target {
	list := t.byModel[model]
	if len(list) == 0 {
		return Target{}
	}
	return list[len(list)-1]
}

// Models names the models of which a version is known, in order.
func (t *Table) Models() []string { return slices.Sorted(maps.Keys(t.byModel)) }

// Of lists the versions of a model that are remembered, oldest first.
func (t *Table) Of(model string) []Target { return slices.Clone(t.byModel[model]) }

// OutdatedUs is for how long weights of a version have not been the newest named;
// 0 where none newer was named.
func (t *Table) OutdatedUs(model string, version, nowUs int64) (us int64) {
	for _, target := range t.byModel[model] {
		if target.Version > version {
			us = max(us, target.AgeUs(nowUs))
		}
	}
	return us
}

// Assume notes a version that came without an age, as from a node of an earlier
// format: it counts from now until an age is heard.
func (t *Table) Assume(model string, version, nowUs int64) {
	t.merge(model, Target{Version: version, namedAtUs: nowUs, certainty: assumed}, nowUs)
}

// Named notes that a version has been committed just now.
func (t *Table) Named(model string, version, nowUs int64) {
	t.merge(model, Target{Version: version, namedAtUs: nowUs, certainty: known}, nowUs)
}

// Recall notes a version that was named before this process began.
func (t *Table) Recall(model string, version, nowUs int64) {
	t.merge(model, Target{Version: version, certainty: unknown}, nowUs)
}

// Observe takes the ages that another node has sent.
func (t *Table) Observe(ages []messages.TargetAge, nowUs int64) {
	for _, a := range ages {
		if a.AgeUs < 0 {
			t.Recall(a.Model, a.Version, nowUs)
		} else {
			t.merge(a.Model, Target{Version: a.Version, namedAtUs: nowUs - a.AgeUs, certainty: known}, nowUs)
		}
	}
}

// merge takes a version that is not held as it is. Of one that is held it keeps
// what is more certain, and among equals the earlier moment.
func (t *Table) merge(model string, in Target, nowUs int64) {
	if t.byModel == nil {
		t.byModel = map[string][]Target{}
	}
	list := t.byModel[model]
	i, held := slices.BinarySearchFunc(list, in.Version, func(target Target, version int64) int {
		return cmp.Compare(target.Version, version)
	})
	switch {
	case !held:
		t.byModel[model] = forget(slices.Insert(list, i, in), nowUs)
	case betters(in, list[i]):
		list[i] = in
	}
}

func betters(in, have Target) bool {
	if in.certainty != have.certainty {
		return in.certainty > have.certainty
	}
	return in.namedAtUs < have.namedAtUs
}

// forget drops the oldest versions that are of no more use.
func forget(list []Target, nowUs int64) []Target {
	for len(list) > 1 && (len(list) > mostRemembered || list[1].certainty != unknown && list[1].AgeUs(nowUs) > forgetUs) {
		list = slices.Delete(list, 0, 1)
	}
	return list
}

// Ages gives the ages of all that is remembered as they are now, for another
// node. What this node only assumes is not passed on as a fact.
func (t *Table) Ages(nowUs int64) []messages.TargetAge {
	var out []messages.TargetAge
	for model, list := range t.byModel {
		for _, target := range list {
			a := messages.TargetAge{Model: model, Version: target.Version, AgeUs: UnknownAgeUs}
			switch target.certainty {
			case assumed:
				continue
			case known:
				a.AgeUs = target.AgeUs(nowUs)
			}
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b messages.TargetAge) int {
		return cmp.Or(strings.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}
