// Entries are streams of texts by key: the configuration by route, service and tenant,
// and the runners by id.

package statesync

import "beechtide.org/beechtide/internal/messages"

// Entries is a stream of them.
type Entries = Stream[string, string]

// NewEntries makes an empty one.
func NewEntries() *Entries { return New(HashText) }

// SendEntries is a change as it goes over the wire.
func SendEntries(c Change[string, string]) messages.EntryChange {
	out := messages.EntryChange{Epoch: c.Epoch, From: c.From, To: c.To, Whole: c.Whole, Digest: c.Digest, Entries: make([]messages.Entry, 0, len(c.Puts))}
	for _, p := range c.Puts {
		e := messages.Entry{Key: p.Key, Body: []byte{}}
		if !p.Gone {
			e.Body = []byte(p.Value)
		}
		out.Entries = append(out.Entries, e)
	}
	return out
}

// HearEntries reads one from the wire.
func HearEntries(c messages.EntryChange) Change[string, string] {
	out := Change[string, string]{Epoch: c.Epoch, From: c.From, To: c.To, Whole: c.Whole, Digest: c.Digest}
	for _, e := range c.Entries {
		out.Puts = append(out.Puts, Put[string, string]{Key: e.Key, Value: string(e.Body), Gone: len(e.Body) == 0})
	}
	return out
}
