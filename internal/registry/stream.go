package registry

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Controllers send each other and the routers their records as a stream of changes,
// keyed by the runner's id. The stream belongs to the caller, who guards it.

// Publish puts the records of the given runners into a stream as they are now.
func (r *Registry) Publish(stream *statesync.Entries, ids ...string) error {
	for _, id := range ids {
		if n, ok := r.Record(id); ok {
			if err := putRecord(stream, n); err != nil {
				return err
			}
		}
	}
	return nil
}

// Sync brings a stream up to date with the registry: records that it does not have are
// added, those of runners that are no longer kept are dropped.
func (r *Registry) Sync(stream *statesync.Entries) error {
	known := map[string]bool{}
	for _, n := range r.All() {
		known[n.ID] = true
		if _, published := stream.Get(n.ID); published {
			continue
		}
		if err := putRecord(stream, n); err != nil {
			return err
		}
	}
	var forgotten []string
	stream.Each(func(id, _ string) {
		if !known[id] {
			forgotten = append(forgotten, id)
		}
	})
	for _, id := range forgotten {
		stream.Drop(id)
	}
	return nil
}

func putRecord(stream *statesync.Entries, n messages.RunnerRecord) error {
	raw, err := n.MarshalMsg(nil)
	if err != nil {
		return err
	}
	stream.Put(n.ID, string(raw))
	return nil
}

// MergeChange merges the records of a change of another controller's stream, in
// the order of their ids. It returns the ids of runners that changed here, and
// how many records could not be read. A record that was dropped there says
// nothing: every controller forgets on its own.
func (r *Registry) MergeChange(change statesync.Change[string, string], nowUs int64) (changed []string, malformed int) {
	puts := slices.Clone(change.Puts)
	slices.SortFunc(puts, func(a, b statesync.Put[string, string]) int { return cmp.Compare(a.Key, b.Key) })
	for _, p := range puts {
		if p.Deleted {
			continue
		}
		var n messages.RunnerRecord
		if _, err := n.UnmarshalMsg([]byte(p.Value)); err != nil {
			malformed++
			continue
		}
		if r.Merge(n, nowUs) {
			changed = append(changed, n.ID)
		}
	}
	return changed, malformed
}
