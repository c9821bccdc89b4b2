// Package statesync replicates keyed state between nodes as deltas.
//
// A Stream is a keyed state with an epoch, a version and a digest. A Change names the
// version that it builds on and the digest of the result. Apply takes it only onto
// exactly that version and only if the digest matches; otherwise the state stays
// as it was, and the receiver asks again by naming what it holds (Holds). Since answers with the
// merged changes, or with a snapshot where the epoch differs or the sender's log does
// not reach back so far. Applying a change twice does nothing, and no version goes
// back within an epoch.
//
// Entries and Loads are the streams in use, a Sum adds up the load streams of several
// nodes. Transfer and Server carry a large encoded value in chunks, so that progress
// counts and not the time of the whole.
//
// Everything here is pure: time is an argument, nothing is sent and no goroutine is
// started. No type is safe for concurrent use; the owner of a stream guards it with a
// mutex.
package statesync

// Result is what became of a change.
type Result int

// Results of Apply.
const (
	Applied  Result = iota
	Known           // the receiver is there already, or further
	Gap             // it builds on a version that the receiver does not hold
	Mismatch        // the digest of the result would differ
)

// Put is a key with its value now.
type Put[K comparable, V any] struct {
	Key   K
	Value V
	Gone  bool
}

// Change brings a receiver from one version to another.
type Change[K comparable, V any] struct {
	Epoch, From, To int64
	Whole           bool
	Digest          uint64
	Puts            []Put[K, V]
}

// mostLogged bounds the keys that a log remembers beyond the size of the state:
// past that the whole is not larger than the changes.
const mostLogged = 256

type step[K comparable] struct {
	to   int64
	keys []K
}

// Stream is both ends: the sender's, which puts and commits, and the
// receiver's, which applies and can pass on what it applied. It is not safe for
// concurrent use.
type Stream[K comparable, V comparable] struct {
	Epoch, Version int64

	state  map[K]V
	digest uint64
	hash   func(K, V) uint64
	dirty  map[K]bool
	log    []step[K]
	logged int
	floor  int64 // the version that the log builds on
	doubt  bool  // a change did not fit though its base did: only a whole helps
}

// New makes an empty stream.
func New[K comparable, V comparable](hash func(K, V) uint64) *Stream[K, V] {
	return &Stream[K, V]{state: map[K]V{}, hash: hash, dirty: map[K]bool{}}
}

// Len is how many keys there are.
func (s *Stream[K, V]) Len() int { return len(s.state) }

// Get gives the value of a key.
func (s *Stream[K, V]) Get(k K) (V, bool) {
	v, ok := s.state[k]
	return v, ok
}

// Each calls f for every key.
func (s *Stream[K, V]) Each(f func(K, V)) {
	for k, v := range s.state {
		f(k, v)
	}
}

// Digest is that of the state as it is.
func (s *Stream[K, V]) Digest() uint64 { return s.digest }

// Put sets a value; it goes out with the next Commit.
func (s *Stream[K, V]) Put(k K, v V) {
	old, had := s.state[k]
	if had && old == v {
		return
	}
	if had {
		s.digest -= s.hash(k, old)
	}
	s.state[k] = v
	s.digest += s.hash(k, v)
	s.dirty[k] = true
}

// Drop removes a key; that goes out with the next Commit.
func (s *Stream[K, V]) Drop(k K) {
	if old, had := s.state[k]; had {
		s.digest -= s.hash(k, old)
		delete(s.state, k)
		s.dirty[k] = true
	}
}

// Replace makes the state what it is given, as puts and drops.
func (s *Stream[K, V]) Replace(all map[K]V) {
	for k := range s.state {
		if _, ok := all[k]; !ok {
			s.Drop(k)
		}
	}
	for k, v := range all {
		s.Put(k, v)
	}
}

// Begin starts the stream anew in another epoch, with nothing in it.
func (s *Stream[K, V]) Begin(epoch, version int64) {
	s.Epoch, s.Version, s.floor = epoch, version, version
	clear(s.state)
	clear(s.dirty)
	s.digest, s.log, s.logged, s.doubt = 0, nil, 0, false
}

// Dirty tells whether Commit would have something to send.
func (s *Stream[K, V]) Dirty() bool { return len(s.dirty) > 0 }

// Commit gives what was put and dropped since the last one a version, and
// returns it as a change.
func (s *Stream[K, V]) Commit(version int64) Change[K, V] {
	c := Change[K, V]{Epoch: s.Epoch, From: s.Version, To: version, Digest: s.digest}
	keys := make([]K, 0, len(s.dirty))
	for k := range s.dirty {
		keys = append(keys, k)
	}
	clear(s.dirty)
	c.Puts = s.puts(keys)
	s.note(version, keys)
	return c
}

func (s *Stream[K, V]) puts(keys []K) []Put[K, V] {
	out := make([]Put[K, V], 0, len(keys))
	for _, k := range keys {
		v, ok := s.state[k]
		out = append(out, Put[K, V]{Key: k, Value: v, Gone: !ok})
	}
	return out
}

func (s *Stream[K, V]) note(to int64, keys []K) {
	s.Version = to
	s.log = append(s.log, step[K]{to, keys})
	s.logged += len(keys) + 1
	for s.logged > mostLogged+len(s.state) && len(s.log) > 0 {
		s.floor = s.log[0].to
		s.logged -= len(s.log[0].keys) + 1
		s.log = s.log[1:]
	}
}

// Holds is what a receiver names as held: nothing, where a change onto the
// version held did not come out.
func (s *Stream[K, V]) Holds() (epoch, version int64) {
	if s.doubt {
		return 0, 0
	}
	return s.Epoch, s.Version
}

// InDoubt tells whether a change onto the version held did not come out.
func (s *Stream[K, V]) InDoubt() bool { return s.doubt }

// had tells whether this stream itself was at a version, as far as its log goes.
// One that it skipped is no base: what changed there and back is not in its log.
func (s *Stream[K, V]) had(version int64) bool {
	if version == s.floor || version == s.Version {
		return true
	}
	for _, t := range s.log {
		if t.to == version {
			return true
		}
	}
	return false
}

// Since gives what a receiver at an epoch and version lacks; false where it
// lacks nothing.
func (s *Stream[K, V]) Since(epoch, version int64) (Change[K, V], bool) {
	c := Change[K, V]{Epoch: s.Epoch, From: version, To: s.Version, Digest: s.digest}
	if epoch == s.Epoch && version == s.Version {
		return c, false
	}
	if epoch != s.Epoch || version < s.floor || version > s.Version || !s.had(version) {
		c.Whole, c.From = true, 0
		for k, v := range s.state {
			c.Puts = append(c.Puts, Put[K, V]{Key: k, Value: v})
		}
		return c, true
	}
	merged := map[K]bool{}
	var keys []K
	for _, t := range s.log {
		if t.to <= version {
			continue
		}
		for _, k := range t.keys {
			if !merged[k] {
				merged[k] = true
				keys = append(keys, k)
			}
		}
	}
	c.Puts = s.puts(keys)
	return c, true
}

// Apply takes a change onto exactly the version it builds on.
func (s *Stream[K, V]) Apply(c Change[K, V]) Result {
	if c.Whole {
		return s.applyWhole(c)
	}
	switch {
	case c.Epoch != s.Epoch || c.From > s.Version:
		return Gap
	case c.To <= s.Version:
		return Known
	case c.From < s.Version:
		return Gap
	}
	digest := s.digest
	now := map[K]Put[K, V]{}
	for _, p := range c.Puts {
		now[p.Key] = p
	}
	for k, p := range now {
		if old, had := s.state[k]; had {
			digest -= s.hash(k, old)
		}
		if !p.Gone {
			digest += s.hash(k, p.Value)
		}
	}
	if digest != c.Digest {
		s.doubt = true
		return Mismatch
	}
	keys := make([]K, 0, len(now))
	for k, p := range now {
		if p.Gone {
			delete(s.state, k)
		} else {
			s.state[k] = p.Value
		}
		keys = append(keys, k)
	}
	s.digest, s.doubt = digest, false // the digest covers all of the state
	s.note(c.To, keys)
	return Applied
}

func (s *Stream[K, V]) applyWhole(c Change[K, V]) Result {
	if c.Epoch == s.Epoch && c.To < s.Version {
		return Known
	}
	state := make(map[K]V, len(c.Puts))
	digest := uint64(0)
	for _, p := range c.Puts {
		if _, twice := state[p.Key]; twice || p.Gone {
			return Mismatch
		}
		state[p.Key] = p.Value
		digest += s.hash(p.Key, p.Value)
	}
	if digest != c.Digest {
		return Mismatch
	}
	s.Begin(c.Epoch, c.To)
	s.state, s.digest, s.doubt = state, digest, false
	return Applied
}

// HashText hashes a key and a value that are texts.
func HashText(k, v string) uint64 { return Mix(text(text(fnvStart, k)*fnvStep^0xff, v)) }

const (
	fnvStart = 14695981039346656037
	fnvStep  = 1099511628211
)

func text(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvStep
	}
	return h
}

// Mix spreads the bits of x.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
