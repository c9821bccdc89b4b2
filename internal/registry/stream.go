package registry

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Controllers send their records to each other and to the routers as a stream of changes
// keyed by runner id. The caller owns the stream and guards it against concurrent use.

// Publish writes the current records of the given runners to a stream.
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

// Sync adds to a stream the records that it does not have yet, and deletes those of runners
// whose entries have expired. Records that are in the stream already are not updated.
func (r *Registry) Sync(stream *statesync.Entries) error {
	current := map[string]bool{}
	for _, n := range r.All() {
		current[n.ID] = true
		if _, published := stream.Get(n.ID); published {
			continue
		}
		if err := putRecord(stream, n); err != nil {
			return err
		}
	}
	var expired []string
	stream.Each(func(id, _ string) {
		if !current[id] {
			expired = append(expired, id)
		}
	})
	for _, id := range expired {
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

// MergeChange merges the records of a change of another controller's stream, in the order
// of their ids. It returns the ids of the runners that changed here and the number of
// records that could not be decoded. Deleted records are ignored: every controller expires
// its own entries.
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
