// Package prefixindex implements the index of cached prefixes: which runner has which
// parts of which prompts in its cache. A part is a block of a prompt.
//
// A part is identified by a key computed from salt, model and part id (Key). Salts
// separate tenants, regimes and weights versions, so a wrong entry costs time and never
// breaks isolation. The input of the index is the cache events of the runners, with full
// lists after a gap (CachedPrefixes, Apply), and the parts that this node expects to be
// cached because of its own requests
// (Index.ExpectCached, Index.RecordPrefilled, Index.CancelExpected).
// DeltasSince returns the changes that another node needs.
//
// The index may be wrong at any time: a runner evicts parts before its event arrives.
// An Index is not safe for concurrent use: the router guards its Index with the mutex of
// the admitter, the controller with a separate mutex. The package starts no goroutine.
package prefixindex

import (
	"strconv"
	"strings"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// maxObservedParts limits the parts that are recorded for one runner from this node's own
// requests.
const maxObservedParts = 16384

// Part is a block of a prompt: its id and its length in tokens.
type Part struct {
	ID     string
	Tokens int
}

// ParseParts parses the header that lists the parts of a prompt as "id:tokens" separated
// by commas. The result ends before the first malformed item.
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

// Key hashes the id of a part together with its salt and model.
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

// Keys returns the keys of all parts of a prompt.
func Keys(salt, model string, parts []Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = Key(salt, model, p.ID)
	}
	return out
}

// CachedPrefixes is the stream of the parts that a runner reports as cached: their
// lengths in tokens, by key. Epoch and versions are those of the runner's events, so that
// the next node that reads from the runner continues where the previous one stopped.
type CachedPrefixes = statesync.Stream[uint64, int32]

func hashPart(k uint64, tokens int32) uint64 {
	return statesync.Mix(k ^ statesync.Mix(uint64(tokens)+1))
}

// observation is the state of a part at a runner that this node infers from its own
// requests until the runner reports the part.
type observation struct {
	tokens    int32
	prefilled bool // the runner has prefilled it; otherwise it is expected to
}

// Index is the index of cached prefixes by runner. It is not safe for concurrent use.
type Index struct {
	cached   map[string]*CachedPrefixes
	observed map[string]map[uint64]observation
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{cached: map[string]*CachedPrefixes{}, observed: map[string]map[uint64]observation{}}
}

// CachedPrefixes returns the stream of a runner; an unknown runner gets an empty one.
func (x *Index) CachedPrefixes(runner string) *CachedPrefixes {
	s := x.cached[runner]
	if s == nil {
		s = statesync.New(hashPart)
		x.cached[runner] = s
	}
	return s
}

// Encode converts a change of a runner's cached prefixes to its message, which represents
// a deleted part as a part of 0 tokens.
func Encode(runner string, c statesync.Change[uint64, int32]) messages.CachedChange {
	out := messages.CachedChange{ID: runner, Epoch: c.Epoch, From: c.From, To: c.To, Snapshot: c.Snapshot, Digest: c.Digest, Parts: make([]messages.CachedPart, 0, len(c.Puts))}
	for _, p := range c.Puts {
		n := p.Value
		if p.Deleted {
			n = 0
		}
		out.Parts = append(out.Parts, messages.CachedPart{Key: p.Key, Tokens: n})
	}
	return out
}

// Apply applies a change of a runner's cached prefixes. Its parts replace those that this
// node inferred from its own requests.
func (x *Index) Apply(c messages.CachedChange) statesync.Result {
	in := statesync.Change[uint64, int32]{Epoch: c.Epoch, From: c.From, To: c.To, Snapshot: c.Snapshot, Digest: c.Digest, Puts: make([]statesync.Put[uint64, int32], 0, len(c.Parts))}
	for _, p := range c.Parts {
		in.Puts = append(in.Puts, statesync.Put[uint64, int32]{Key: p.Key, Value: p.Tokens, Deleted: p.Tokens <= 0})
	}
	r := x.CachedPrefixes(c.ID).Apply(in)
	if r == statesync.Applied {
		m := x.observed[c.ID]
		for _, p := range c.Parts {
			delete(m, p.Key)
		}
	}
	return r
}

// Cursors returns the epoch and version of every runner's stream.
func (x *Index) Cursors() []messages.Cursor {
	out := make([]messages.Cursor, 0, len(x.cached))
	for id, s := range x.cached {
		if epoch, version := s.Cursor(); epoch != 0 {
			out = append(out, messages.Cursor{ID: id, Epoch: epoch, Version: version})
		}
	}
	return out
}

// DeltasSince returns the changes that a receiver with these cursors needs, for the
// runners for which include returns true.
func (x *Index) DeltasSince(cursors []messages.Cursor, include func(runner string) bool) []messages.CachedChange {
	known := make(map[string]messages.Cursor, len(cursors))
	for _, cursor := range cursors {
		known[cursor.ID] = cursor
	}
	var out []messages.CachedChange
	for id, s := range x.cached {
		if s.Epoch == 0 || !include(id) {
			continue
		}
		cursor := known[id]
		if cursor.Epoch == s.Epoch && cursor.Version > s.Version {
			continue
		}
		if c, behind := s.DeltaSince(cursor.Epoch, cursor.Version); behind {
			out = append(out, Encode(id, c))
		}
	}
	return out
}

// ReportedParts returns the number of parts that a runner has reported as cached.
func (x *Index) ReportedParts(runner string) int {
	if s := x.cached[runner]; s != nil {
		return s.Len()
	}
	return 0
}

// Reset deletes all entries of a runner.
func (x *Index) Reset(runner string) {
	delete(x.cached, runner)
	delete(x.observed, runner)
}

// recordObservation stores an observation. All observations of a runner are dropped when
// their number reaches maxObservedParts.
func (x *Index) recordObservation(runner string, key uint64, o observation) {
	observed := x.observed[runner]
	if observed == nil {
		observed = map[uint64]observation{}
		x.observed[runner] = observed
	}
	if len(observed) >= maxObservedParts {
		clear(observed)
	}
	observed[key] = o
}

// ExpectCached records a part that a runner will have cached once it has prefilled it.
func (x *Index) ExpectCached(runner string, key uint64, tokens int32) {
	if old := x.observed[runner][key]; !old.prefilled {
		x.recordObservation(runner, key, observation{tokens, false})
	}
}

// CancelExpected deletes a part that Index.ExpectCached recorded, unless
// Index.RecordPrefilled has recorded it since.
func (x *Index) CancelExpected(runner string, key uint64) {
	if m := x.observed[runner]; !m[key].prefilled {
		delete(m, key)
	}
}

// RecordPrefilled records that a runner has prefilled a part, as this node observed; 0 tokens
// delete the observation. A report of the runner with at least as many tokens takes
// precedence.
func (x *Index) RecordPrefilled(runner string, key uint64, tokens int32) {
	if tokens <= 0 {
		delete(x.observed[runner], key)
		return
	}
	if s := x.cached[runner]; s != nil {
		if have, ok := s.Get(key); ok && have >= tokens {
			delete(x.observed[runner], key)
			return
		}
	}
	x.recordObservation(runner, key, observation{tokens, true})
}

// CachedTokens returns the number of tokens of a prompt that a runner does not have to
// prefill again: complete parts from the first on, and the cached beginning of the next.
func (x *Index) CachedTokens(runner string, keys []uint64, parts []Part) int {
	cached, _ := x.CachedAndExpectedTokens(runner, keys, parts)
	return cached
}

// ExpectedTokens returns the same number as Index.CachedTokens, but includes the parts that
// Index.ExpectCached recorded.
func (x *Index) ExpectedTokens(runner string, keys []uint64, parts []Part) int {
	_, expected := x.CachedAndExpectedTokens(runner, keys, parts)
	return expected
}

// CachedAndExpectedTokens returns Index.CachedTokens and Index.ExpectedTokens in one pass.
func (x *Index) CachedAndExpectedTokens(runner string, keys []uint64, parts []Part) (cached, expected int) {
	s, m := x.cached[runner], x.observed[runner]
	if s == nil && len(m) == 0 {
		return 0, 0
	}
	contiguous := true
	for i, k := range keys {
		expectedTokens := int32(0)
		if s != nil {
			expectedTokens, _ = s.Get(k)
		}
		cachedTokens := expectedTokens
		if o, ok := m[k]; ok {
			expectedTokens = max(expectedTokens, o.tokens)
			if o.prefilled {
				cachedTokens = expectedTokens
			}
		}
		partTokens := parts[i].Tokens
		if contiguous {
			cached += min(int(cachedTokens), partTokens)
			contiguous = int(cachedTokens) >= partTokens
		}
		expected += min(int(expectedTokens), partTokens)
		if int(expectedTokens) < partTokens {
			break
		}
	}
	return cached, expected
}

// Retain deletes the entries of runners for which keep returns false.
func (x *Index) Retain(keep func(runner string) bool) {
	for r := range x.cached {
		if !keep(r) {
			x.Reset(r)
		}
	}
	for r := range x.observed {
		if !keep(r) {
			x.Reset(r)
		}
	}
}
