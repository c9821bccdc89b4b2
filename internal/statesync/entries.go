// Streams of encoded values by key: the configuration by route, service and tenant, and
// the runner records by id.

package statesync

import "beechtide.org/beechtide/internal/messages"

// Entries is a stream of encoded values by key.
type Entries = Stream[string, string]

// NewEntries returns an empty stream of entries.
func NewEntries() *Entries { return New(HashText) }

// EncodeEntries converts a change to its message. An empty body deletes the key.
func EncodeEntries(c Change[string, string]) messages.EntryChange {
	out := messages.EntryChange{Epoch: c.Epoch, From: c.From, To: c.To, Snapshot: c.Snapshot, Digest: c.Digest, Entries: make([]messages.Entry, 0, len(c.Puts))}
	for _, p := range c.Puts {
		e := messages.Entry{Key: p.Key, Body: []byte{}}
		if !p.Deleted {
			e.Body = []byte(p.Value)
		}
		out.Entries = append(out.Entries, e)
	}
	return out
}

// DecodeEntries converts a message to a change. An empty body deletes the key.
func DecodeEntries(c messages.EntryChange) Change[string, string] {
	out := Change[string, string]{Epoch: c.Epoch, From: c.From, To: c.To, Snapshot: c.Snapshot, Digest: c.Digest}
	for _, e := range c.Entries {
		out.Puts = append(out.Puts, Put[string, string]{Key: e.Key, Value: string(e.Body), Deleted: len(e.Body) == 0})
	}
	return out
}
