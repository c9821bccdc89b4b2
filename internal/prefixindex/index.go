// Package prefixindex is the index of cached prefixes: which runner has which blocks
// of which prompts in its cache.
//
// A block is found by a key of salt, model and block id (Key). Salts keep tenants,
// regimes and weights versions apart, so a wrong entry costs time and never breaks
// isolation. The index is fed by the cache events of the runners and lists after a gap
// (Shelf, Hear), and by what this node expects of its own requests (Expect, Put,
// Forget). Since gives what another node lacks.
//
// The index may be wrong at any time: a runner evicts blocks before its event arrives.
// An Index is not safe for concurrent use; the router guards its own with the mutex of
// the admitter, the controller with a mutex beside it. The package starts no
// goroutine.
package prefixindex

import (
	"strconv"
	"strings"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// maxParts bounds what is held for one runner.
const maxParts = 16384

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// ParseParts reads the header that names the parts of a prompt.
func ParseParts(s string) []Part {
	if s == "" {
		return nil
	}
	var out []Part
	for item := range strings.SplitSeq(s, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.Atoi(n)
		if !ok || err != nil || tokens < 0 || id == "" {
			return out
		}
		out = append(out, Part{id, tokens})
	}
	return out
}

// Key hashes a part under its salt and model.
func Key(salt, model, id string) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range [3]string{salt, model, id} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
		h = (h ^ 0xff) * 1099511628211
	}
	return h
}

// Keys hashes all parts of a prompt.
func Keys(salt, model string, parts []Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = Key(salt, model, p.ID)
	}
	return out
}

// CachedPrefixes is what a runner keeps by its own word, as a stream: its epoch and its
// versions are those of the runner's events, so that whoever reads the runner
// next goes on where the one before stopped.
type CachedPrefixes = statesync.Stream[uint64, int32]

func hashPart(k uint64, tokens int32) uint64 {
	return statesync.Mix(k ^ statesync.Mix(uint64(tokens)+1))
}

// seen is what this node makes of its own requests until the runner's word on
// the part comes: it has been read there, or it is coming.
type seen struct {
	tokens int32
	read   bool
}

// Index is not safe for concurrent use.
type Index struct {
	shelves map[string]*CachedPrefixes
	seen    map[string]map[uint64]seen
}

// NewIndex makes an empty one.
func NewIndex() *Index {
	return &Index{shelves: map[string]*CachedPrefixes{}, seen: map[string]map[uint64]seen{}}
}

// CachedPrefixes gives the stream of a runner.
func (x *Index) CachedPrefixes(runner string) *CachedPrefixes {
	s := x.shelves[runner]
	if s == nil {
		s = statesync.New(hashPart)
		x.shelves[runner] = s
	}
	return s
}

// Encode is a change of a runner's shelf as it goes over the wire.
func Encode(runner string, c statesync.Change[uint64, int32]) messages.KeptChange {
	out := messages.KeptChange{ID: runner, Epoch: c.Epoch, From: c.From, To: c.To, Whole: c.Snapshot, Digest: c.Digest, Parts: make([]messages.KeptPart, 0, len(c.Puts))}
	for _, p := range c.Puts {
		n := p.Value
		if p.Deleted {
			n = 0
		}
		out.Parts = append(out.Parts, messages.KeptPart{Key: p.Key, Tokens: n})
	}
	return out
}

// Apply takes a change of a runner's shelf.
func (x *Index) Apply(c messages.KeptChange) statesync.Result {
	in := statesync.Change[uint64, int32]{Epoch: c.Epoch, From: c.From, To: c.To, Snapshot: c.Whole, Digest: c.Digest}
	for _, p := range c.Parts {
		in.Puts = append(in.Puts, statesync.Put[uint64, int32]{Key: p.Key, Value: p.Tokens, Deleted: p.Tokens <= 0})
	}
	r := x.CachedPrefixes(c.ID).Apply(in)
	if r == statesync.Applied {
		m := x.seen[c.ID]
		for _, p := range c.Parts {
			delete(m, p.Key)
		}
	}
	return r
}

// Cursors tells how much of every shelf is here.
func (x *Index) Cursors() []messages.StreamHold {
	out := make([]messages.StreamHold, 0, len(x.shelves))
	for id, s := range x.shelves {
		if epoch, version := s.Cursor(); epoch != 0 {
			out = append(out, messages.StreamHold{ID: id, Epoch: epoch, Version: version})
		}
	}
	return out
}

// DeltasSince gives what a receiver with these holds lacks, for the runners that
// pick says yes to.
func (x *Index) DeltasSince(holds []messages.StreamHold, pick func(runner string) bool) []messages.KeptChange {
	have := make(map[string]messages.StreamHold, len(holds))
	for _, h := range holds {
		have[h.ID] = h
	}
	var out []messages.KeptChange
	for id, s := range x.shelves {
		if s.Epoch == 0 || !pick(id) {
			continue
		}
		h := have[id]
		if h.Epoch == s.Epoch && h.Version > s.Version {
			continue
		}
		if c, lacks := s.DeltaSince(h.Epoch, h.Version); lacks {
			out = append(out, Encode(id, c))
		}
	}
	return out
}

// Reset forgets all about a runner.
func (x *Index) Reset(runner string) {
	delete(x.shelves, runner)
	delete(x.seen, runner)
}

func (x *Index) note(runner string, key uint64, n seen) {
	m := x.seen[runner]
	if m == nil {
		m = map[uint64]seen{}
		x.seen[runner] = m
	}
	if len(m) >= maxParts {
		clear(m)
	}
	m[key] = n
}

// Expect notes a part that a runner will keep once it has read it.
func (x *Index) Expect(runner string, key uint64, tokens int32) {
	if old := x.seen[runner][key]; !old.read {
		x.note(runner, key, seen{tokens, false})
	}
}

// Forget takes back what Expect noted.
func (x *Index) Forget(runner string, key uint64) {
	if m := x.seen[runner]; !m[key].read {
		delete(m, key)
	}
}

// Put notes that a runner has read a part, as this node saw it; the runner's
// own word on the part goes before it.
func (x *Index) Put(runner string, key uint64, tokens int32) {
	if tokens <= 0 {
		delete(x.seen[runner], key)
		return
	}
	if s := x.shelves[runner]; s != nil {
		if have, ok := s.Get(key); ok && have >= tokens {
			delete(x.seen[runner], key)
			return
		}
	}
	x.note(runner, key, seen{tokens, true})
}

// Cached counts the tokens of a prompt that a runner need not read again: whole
// parts from the first on, and the kept beginning of the next.
func (x *Index) Cached(runner string, keys []uint64, parts []Part) int {
	kept, _ := x.CachedAndExpected(runner, keys, parts)
	return kept
}

// Expected counts like Kept, with the parts that are coming.
func (x *Index) Expected(runner string, keys []uint64, parts []Part) int {
	_, expected := x.CachedAndExpected(runner, keys, parts)
	return expected
}

// CachedAndExpected gives Kept and Expected in one pass.
func (x *Index) CachedAndExpected(runner string, keys []uint64, parts []Part) (kept, expected int) {
	s, m := x.shelves[runner], x.seen[runner]
	if s == nil && len(m) == 0 {
		return 0, 0
	}
	still := true
	for i, k := range keys {
		have := int32(0)
		if s != nil {
			have, _ = s.Get(k)
		}
		sure := have
		if n, ok := m[k]; ok {
			have = max(have, n.tokens)
			if n.read {
				sure = have
			}
		}
		want := parts[i].Tokens
		if still {
			kept += min(int(sure), want)
			still = int(sure) >= want
		}
		expected += min(int(have), want)
		if int(have) < want {
			break
		}
	}
	return kept, expected
}

// Retain forgets runners for which keep says no.
func (x *Index) Retain(keep func(runner string) bool) {
	for r := range x.shelves {
		if !keep(r) {
			x.Reset(r)
		}
	}
	for r := range x.seen {
		if !keep(r) {
			x.Reset(r)
		}
	}
}
