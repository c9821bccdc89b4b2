// Package pantry is the index of kept prompts: which runner keeps which parts,
// under which salt and model. It is fed by the runners' own events, by lists
// after a gap, and by what this node saw come of its requests. It may be wrong
// at any time, which costs time and never a rule, since salts keep tenants and
// weight marks apart.
package pantry

import (
	"strconv"
	"strings"
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

// Index is not safe for concurrent use. Besides what is kept it knows what is
// coming: parts that a runner has been sent and has not read yet.
type Index struct {
	runners map[string]map[uint64]int32
	coming  map[string]map[uint64]int32
}

// NewIndex makes an empty one.
func NewIndex() *Index {
	return &Index{runners: map[string]map[uint64]int32{}, coming: map[string]map[uint64]int32{}}
}

// Reset forgets all about a runner.
func (x *Index) Reset(runner string) {
	delete(x.runners, runner)
	delete(x.coming, runner)
}

// Expect notes a part that a runner will keep once it has read it.
func (x *Index) Expect(runner string, key uint64, tokens int32) {
	m := x.coming[runner]
	if m == nil {
		m = map[uint64]int32{}
		x.coming[runner] = m
	}
	if len(m) >= maxParts {
		clear(m)
	}
	m[key] = tokens
}

// Forget takes back what Expect noted.
func (x *Index) Forget(runner string, key uint64) { delete(x.coming[runner], key) }

// Expected counts like Kept, with the parts that are coming.
func (x *Index) Expected(runner string, keys []uint64, parts []Part) int {
	m, n := x.runners[runner], x.coming[runner]
	if m == nil && n == nil {
		return 0
	}
	sum := 0
	for i, k := range keys {
		have := int(max(m[k], n[k]))
		if have < parts[i].Tokens {
			return sum + have
		}
		sum += parts[i].Tokens
	}
	return sum
}

// Put notes how many tokens of a part a runner keeps; 0 means none.
func (x *Index) Put(runner string, key uint64, tokens int32) {
	delete(x.coming[runner], key)
	m := x.runners[runner]
	if tokens <= 0 {
		delete(m, key)
		return
	}
	if m == nil {
		m = map[uint64]int32{}
		x.runners[runner] = m
	}
	if len(m) >= maxParts {
		clear(m)
	}
	m[key] = tokens
}

// Kept counts the tokens of a prompt that a runner need not read again: whole
// parts from the first on, and the kept beginning of the next.
func (x *Index) Kept(runner string, keys []uint64, parts []Part) int {
	m := x.runners[runner]
	if m == nil {
		return 0
	}
	sum := 0
	for i, k := range keys {
		have := int(m[k])
		if have < parts[i].Tokens {
			return sum + have
		}
		sum += parts[i].Tokens
	}
	return sum
}

// Each calls f for everything held about a runner.
func (x *Index) Each(f func(runner string, key uint64, tokens int32)) {
	for r, m := range x.runners {
		for k, t := range m {
			f(r, k, t)
		}
	}
}

// Retain forgets runners for which keep says no.
func (x *Index) Retain(keep func(runner string) bool) {
	for r := range x.runners {
		if !keep(r) {
			x.Reset(r)
		}
	}
}
