// Package prefixindex is the index of cached prefixes: which runner has which blocks
// of which prompts in its cache.
//
// A block is found by a key of salt, model and block id (Key). Salts keep tenants,
// regimes and weights versions apart, so a wrong entry costs time and never breaks
// isolation. The index is fed by the cache events of the runners and lists after a gap
// (CachedPrefixes, Apply), and by what this node expects of its own requests (Expect,
// Put, Forget). DeltasSince returns the changes that another node needs.
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

// maxParts bounds the parts that are recorded of one runner from own requests.
const maxParts = 16384

// Part is a part of a prompt: the id of a block and its length in tokens.
type Part struct {
	ID     string
	Tokens int
}

// ParseParts reads the header that names the parts of a prompt, as "id:tokens" separated
// by commas. The list ends before the first item that is malformed.
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

// CachedPrefixes is the stream of the parts that a runner reports as cached, with their
// tokens by key. Epoch and versions are those of the runner's events, so that whichever
// node reads the runner next continues where the last one stopped.
type CachedPrefixes = statesync.Stream[uint64, int32]

func hashPart(k uint64, tokens int32) uint64 {
	return statesync.Mix(k ^ statesync.Mix(uint64(tokens)+1))
}

// observation is what this node concludes from its own requests until the runner reports
// the part: it has been read there (read), or it is about to be.
type observation struct {
	tokens int32
	read   bool
}

// Index is the index of cached prefixes by runner. It is not safe for concurrent use.
type Index struct {
	cached   map[string]*CachedPrefixes
	observed map[string]map[uint64]observation
}

// NewIndex makes an empty index.
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

// Encode converts a change of a runner's cached prefixes to its message. A part of 0
// tokens is deleted.
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

// Apply applies a change of a runner's cached prefixes. Its parts replace what this node
// concluded from its own requests.
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

// DeltasSince returns the changes that a receiver with these cursors needs, of the runners
// for which pick is true.
func (x *Index) DeltasSince(cursors []messages.Cursor, pick func(runner string) bool) []messages.CachedChange {
	known := make(map[string]messages.Cursor, len(cursors))
	for _, h := range cursors {
		known[h.ID] = h
	}
	var out []messages.CachedChange
	for id, s := range x.cached {
		if s.Epoch == 0 || !pick(id) {
			continue
		}
		h := known[id]
		if h.Epoch == s.Epoch && h.Version > s.Version {
			continue
		}
		if c, behind := s.DeltaSince(h.Epoch, h.Version); behind {
			out = append(out, Encode(id, c))
		}
	}
	return out
}

// Size is how many parts a runner has reported as cached.
func (x *Index) Size(runner string) int {
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

func (x *Index) record(runner string, key uint64, o observation) {
	m := x.observed[runner]
	if m == nil {
		m = map[uint64]observation{}
		x.observed[runner] = m
	}
	if len(m) >= maxParts {
		clear(m)
	}
	m[key] = o
}

// Expect records a part that a runner will have cached once it has read it.
func (x *Index) Expect(runner string, key uint64, tokens int32) {
	if old := x.observed[runner][key]; !old.read {
		x.record(runner, key, observation{tokens, false})
	}
}

// Forget takes back what Expect recorded.
func (x *Index) Forget(runner string, key uint64) {
	if m := x.observed[runner]; !m[key].read {
		delete(m, key)
	}
}

// Put records that a runner has read a part, as this node saw it; 0 tokens delete that. A
// report of the runner itself that has as many tokens takes precedence.
func (x *Index) Put(runner string, key uint64, tokens int32) {
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
	x.record(runner, key, observation{tokens, true})
}

// Cached counts the tokens of a prompt that a runner need not read again: complete parts
// from the first on, and the cached beginning of the next.
func (x *Index) Cached(runner string, keys []uint64, parts []Part) int {
	cached, _ := x.CachedAndExpected(runner, keys, parts)
	return cached
}

// Expected counts like Cached, with the parts that Expect recorded.
func (x *Index) Expected(runner string, keys []uint64, parts []Part) int {
	_, expected := x.CachedAndExpected(runner, keys, parts)
	return expected
}

// CachedAndExpected returns Cached and Expected in one pass.
func (x *Index) CachedAndExpected(runner string, keys []uint64, parts []Part) (cached, expected int) {
	s, m := x.cached[runner], x.observed[runner]
	if s == nil && len(m) == 0 {
		return 0, 0
	}
	contiguous := true
	for i, k := range keys {
		have := int32(0)
		if s != nil {
			have, _ = s.Get(k)
		}
		certain := have
		if n, ok := m[k]; ok {
			have = max(have, n.tokens)
			if n.read {
				certain = have
			}
		}
		want := parts[i].Tokens
		if contiguous {
			cached += min(int(certain), want)
			contiguous = int(certain) >= want
		}
		expected += min(int(have), want)
		if int(have) < want {
			break
		}
	}
	return cached, expected
}

// Retain deletes the entries of runners for which keep is false.
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
