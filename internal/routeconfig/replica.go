// Replica is the configuration of one node: a stream of entries, the configuration
// assembled from them, and the table compiled from it. Controllers commit versions to
// their replicas, routers apply the changes that they receive, and both send missing
// changes to other nodes. The version never decreases.

package routeconfig

import (
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Epoch is the epoch of the configuration stream. It is constant because the versions are
// those of the register, which are the same at every node and across restarts.
const Epoch = 1

// ErrUnreadable is returned for a change with an entry that cannot be decoded.
var ErrUnreadable = errors.New("routeconfig: a change of the configuration cannot be read")

// Replica is not safe for concurrent use; the tables that it returns are immutable.
type Replica struct {
	stream   *statesync.Entries
	assembly Assembly
	table    *Table
}

// NewReplica returns a replica without a configuration.
func NewReplica() *Replica { return &Replica{stream: statesync.NewEntries()} }

// Version returns the active version of the register, 0 for none.
func (r *Replica) Version() int64 { return r.stream.Version }

// Table returns the table of the active version, nil before the first.
func (r *Replica) Table() *Table { return r.table }

// Cursor returns the epoch and version from which this node requests changes.
func (r *Replica) Cursor() messages.Cursor {
	epoch, version := r.stream.Cursor()
	return messages.Cursor{Epoch: epoch, Version: version}
}

// DeltaSince returns the change that a receiver at the given cursor needs, and false if the
// receiver is at this node's version or a later one.
func (r *Replica) DeltaSince(cursor messages.Cursor) (messages.EntryChange, bool) {
	change, behind := r.stream.DeltaSince(cursor.Epoch, cursor.Version)
	if !behind || r.stream.Version <= cursor.Version {
		return messages.EntryChange{}, false
	}
	return statesync.EncodeEntries(change), true
}

// Apply applies a change. It returns the outcome and whether there is a new table. The
// error is ErrUnreadable with the reason why a change was not applied.
func (r *Replica) Apply(change messages.EntryChange) (result statesync.Result, recompiled bool, err error) {
	if change.Snapshot && !r.acceptsSnapshot(change.To) {
		return statesync.AlreadyApplied, false, nil
	}
	in := statesync.DecodeEntries(change)
	entries := make(map[string]string, len(in.Puts))
	for _, put := range in.Puts {
		entries[put.Key] = ""
		if !put.Deleted {
			entries[put.Key] = put.Value
		}
	}
	before := r.assembly
	if err := r.assembly.Apply(entries, change.Snapshot); err != nil {
		return statesync.DigestMismatch, false, errors.Wrap(ErrUnreadable, err.Error())
	}
	if result = r.stream.Apply(in); result != statesync.Applied {
		r.assembly = before
		return result, false, nil
	}
	if len(entries) == 0 {
		return result, false, nil
	}
	r.table = Compile(r.assembly.Configuration())
	return result, true, nil
}

// acceptsSnapshot reports whether a snapshot of the given version may replace the current state:
// its version is newer, or it is the same and a digest mismatch occurred at that version.
func (r *Replica) acceptsSnapshot(version int64) bool {
	return version > r.stream.Version || version == r.stream.Version && r.stream.NeedsSnapshot()
}

// Commit replaces the configuration with a version of the register. It returns the change
// to send to other nodes, and false for a version that is not newer.
func (r *Replica) Commit(version int64, entries map[string]string) (messages.EntryChange, bool) {
	if version <= r.stream.Version {
		return messages.EntryChange{}, false
	}
	r.stream.Replace(entries)
	return statesync.EncodeEntries(r.stream.Commit(version)), true
}

// NewSource returns the replica of a node that commits versions: its stream starts at
// version 0 of the epoch.
func NewSource() *Replica {
	r := NewReplica()
	r.stream.Begin(Epoch, 0)
	return r
}
