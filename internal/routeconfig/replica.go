// Replica is the configuration of one node: a stream of entries, the configuration
// assembled from them, and the table compiled from that. Controllers commit versions
// to theirs, routers apply the changes that they receive. Both send others what they
// lack. The version in force never goes back.

package routeconfig

import (
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Epoch is that of the configuration's stream: its versions are the register's,
// the same at every node and in every life.
const Epoch = 1

// ErrUnreadable means that a change holds an entry that this program can't read.
var ErrUnreadable = errors.New("routeconfig: a change of the configuration cannot be read")

// Replica is not safe for concurrent use; the table it hands out is never changed.
type Replica struct {
	stream   *statesync.Entries
	assembly Assembly
	table    *Table
}

// NewReplica makes one that holds no configuration yet.
func NewReplica() *Replica { return &Replica{stream: statesync.NewEntries()} }

// Version is the register's version that is in force, 0 for none.
func (r *Replica) Version() int64 { return r.stream.Version }

// Table is that of the version in force, nil before the first.
func (r *Replica) Table() *Table { return r.table }

// Cursor returns the epoch and version from which this node requests changes.
func (r *Replica) Cursor() messages.Cursor {
	epoch, version := r.stream.Cursor()
	return messages.Cursor{Epoch: epoch, Version: version}
}

// DeltaSince returns the change that a receiver needs; false where it is as new as this
// node.
func (r *Replica) DeltaSince(held messages.Cursor) (messages.EntryChange, bool) {
	change, behind := r.stream.DeltaSince(held.Epoch, held.Version)
	if !behind || r.stream.Version <= held.Version {
		return messages.EntryChange{}, false
	}
	return statesync.EncodeEntries(change), true
}

// Apply applies a change. It returns the outcome, and whether there is a new table. The
// error is ErrUnreadable and says why a change was not applied.
func (r *Replica) Apply(change messages.EntryChange) (result statesync.Result, renewed bool, err error) {
	if change.Snapshot && !r.mayReplace(change.To) {
		return statesync.Known, false, nil
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
		return statesync.Mismatch, false, errors.Wrap(ErrUnreadable, err.Error())
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

// mayReplace tells whether a snapshot of a version may take the place of what is
// held: a newer one, or the same where what is held is in doubt.
func (r *Replica) mayReplace(version int64) bool {
	return version > r.stream.Version || version == r.stream.Version && r.stream.NeedsSnapshot()
}

// Commit replaces the configuration by a version of the register. It returns the change to
// send to others, or false for a version that is not newer.
func (r *Replica) Commit(version int64, entries map[string]string) (messages.EntryChange, bool) {
	if version <= r.stream.Version {
		return messages.EntryChange{}, false
	}
	r.stream.Replace(entries)
	return statesync.EncodeEntries(r.stream.Commit(version)), true
}

// NewSource makes the replica of a node that commits: it holds version 0 of the
// stream from the start.
func NewSource() *Replica {
	r := NewReplica()
	r.stream.Begin(Epoch, 0)
	return r
}
