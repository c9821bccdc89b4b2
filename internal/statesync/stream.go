// Package statesync replicates keyed state between nodes as deltas.
//
// A Stream is a keyed state with an epoch, a version and a digest. A Change contains its
// base version and the digest of the result. Apply accepts a change only if the receiver
// is at exactly the base version and the digest matches; otherwise the state is unchanged
// and the receiver requests an update with its epoch and version (Cursor). DeltaSince
// returns the merged changes, or a snapshot if the epoch differs or the sender's log does
// not contain the receiver's version. Apply is idempotent, and the version never decreases
// within an epoch.
//
// Entries and Loads are the streams in use; the load streams of several nodes can be added
// up to one. Transfer and its server transfer a large encoded value in resumable chunks, so
// that timeouts apply to progress and not to the whole transfer.
//
// The package does no I/O: time is an argument and no goroutine is started. No type is
// safe for concurrent use; the owner of a stream guards it with a mutex.
package statesync

// Result is the outcome of Apply.
type Result int

// Results of Apply.
const (
	Applied        Result = iota
	AlreadyApplied        // the receiver is at this version or a later one
	VersionGap            // the receiver is not at the base version of the change
	DigestMismatch        // the digest of the result would differ
)

// Put sets a key to a value, or deletes the key if Deleted is set.
type Put[K comparable, V any] struct {
	Key     K
	Value   V
	Deleted bool
}

// Change updates a receiver from version From to version To. A Snapshot contains all keys
// and has no base version.
type Change[K comparable, V any] struct {
	Epoch, From, To int64
	Snapshot        bool
	Digest          uint64
	Puts            []Put[K, V]
}

// maxLoggedKeys bounds by how much the log may exceed the number of keys in the state.
// Beyond that a snapshot is no larger than the merged changes.
const maxLoggedKeys = 256

// logEntry has the keys changed by one version.
type logEntry[K comparable] struct {
	version int64
	keys    []K
}

// Stream is used at both ends: the sender puts and commits, and the receiver applies
// changes and can forward them. It is not safe for concurrent use.
type Stream[K comparable, V comparable] struct {
	Epoch, Version int64

	state   map[K]V
	digest  uint64
	hash    func(K, V) uint64
	dirty   map[K]bool
	log     []logEntry[K]
	logSize int   // number of keys plus number of entries in the log
	logBase int64 // base version of the oldest log entry
	// needsSnapshot is set after a digest mismatch, until a change or snapshot is applied.
	needsSnapshot bool
}

// New returns an empty stream. The digest of a state is the sum of the hashes of its
// key-value pairs.
func New[K comparable, V comparable](hash func(K, V) uint64) *Stream[K, V] {
	return &Stream[K, V]{state: map[K]V{}, hash: hash, dirty: map[K]bool{}}
}

// Len returns the number of keys.
func (s *Stream[K, V]) Len() int { return len(s.state) }

// Get returns the value of a key.
func (s *Stream[K, V]) Get(k K) (V, bool) {
	v, ok := s.state[k]
	return v, ok
}

// Each calls f for every key and value, in no particular order.
func (s *Stream[K, V]) Each(f func(K, V)) {
	for k, v := range s.state {
		f(k, v)
	}
}

// Digest returns the digest of the current state.
func (s *Stream[K, V]) Digest() uint64 { return s.digest }

// Put sets a value; the next Commit includes the change.
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

// Drop deletes a key; the next Commit includes the deletion.
func (s *Stream[K, V]) Drop(k K) {
	if old, had := s.state[k]; had {
		s.digest -= s.hash(k, old)
		delete(s.state, k)
		s.dirty[k] = true
	}
}

// Replace puts and drops keys until the state equals the given one.
func (s *Stream[K, V]) Replace(target map[K]V) {
	for k := range s.state {
		if _, ok := target[k]; !ok {
			s.Drop(k)
		}
	}
	for k, v := range target {
		s.Put(k, v)
	}
}

// Begin empties the stream and starts an epoch at the given version.
func (s *Stream[K, V]) Begin(epoch, version int64) {
	s.Epoch, s.Version, s.logBase = epoch, version, version
	clear(s.state)
	clear(s.dirty)
	s.digest, s.log, s.logSize, s.needsSnapshot = 0, nil, 0, false
}

// Dirty reports whether there are puts or drops since the last Commit.
func (s *Stream[K, V]) Dirty() bool { return len(s.dirty) > 0 }

// Commit creates a version from the puts and drops since the last Commit and returns it as
// a change.
func (s *Stream[K, V]) Commit(version int64) Change[K, V] {
	c := Change[K, V]{Epoch: s.Epoch, From: s.Version, To: version, Digest: s.digest}
	keys := make([]K, 0, len(s.dirty))
	for k := range s.dirty {
		keys = append(keys, k)
	}
	clear(s.dirty)
	c.Puts = s.puts(keys)
	s.appendLog(version, keys)
	return c
}

func (s *Stream[K, V]) puts(keys []K) []Put[K, V] {
	out := make([]Put[K, V], 0, len(keys))
	for _, k := range keys {
		v, ok := s.state[k]
		out = append(out, Put[K, V]{Key: k, Value: v, Deleted: !ok})
	}
	return out
}

func (s *Stream[K, V]) appendLog(to int64, keys []K) {
	s.Version = to
	s.log = append(s.log, logEntry[K]{to, keys})
	s.logSize += len(keys) + 1
	for s.logSize > maxLoggedKeys+len(s.state) && len(s.log) > 0 {
		s.logBase = s.log[0].version
		s.logSize -= len(s.log[0].keys) + 1
		s.log = s.log[1:]
	}
}

// Cursor returns the epoch and version from which the receiver requests changes, or zeros
// if it needs a snapshot.
func (s *Stream[K, V]) Cursor() (epoch, version int64) {
	if s.needsSnapshot {
		return 0, 0
	}
	return s.Epoch, s.Version
}

// NeedsSnapshot reports whether the last change onto this version had a digest mismatch.
func (s *Stream[K, V]) NeedsSnapshot() bool { return s.needsSnapshot }

// hasVersion reports whether this stream was at a version, as far as its log reaches back. A
// version that it skipped cannot be the base of a delta: a key that changed in the skipped
// version and changed back is not in the log.
func (s *Stream[K, V]) hasVersion(version int64) bool {
	if version == s.logBase || version == s.Version {
		return true
	}
	for _, t := range s.log {
		if t.version == version {
			return true
		}
	}
	return false
}

// DeltaSince returns the change that a receiver at the given epoch and version needs, and
// false if the receiver is up to date.
func (s *Stream[K, V]) DeltaSince(epoch, version int64) (Change[K, V], bool) {
	c := Change[K, V]{Epoch: s.Epoch, From: version, To: s.Version, Digest: s.digest}
	if epoch == s.Epoch && version == s.Version {
		return c, false
	}
	if epoch != s.Epoch || version < s.logBase || version > s.Version || !s.hasVersion(version) {
		c.Snapshot, c.From = true, 0
		for k, v := range s.state {
			c.Puts = append(c.Puts, Put[K, V]{Key: k, Value: v})
		}
		return c, true
	}
	merged := map[K]bool{}
	var keys []K
	for _, t := range s.log {
		if t.version <= version {
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

// Apply applies a change if the stream is at exactly its base version. The state changes
// only if the result is Applied.
func (s *Stream[K, V]) Apply(c Change[K, V]) Result {
	if c.Snapshot {
		return s.applySnapshot(c)
	}
	switch {
	case c.Epoch != s.Epoch || c.From > s.Version:
		return VersionGap
	case c.To <= s.Version:
		return AlreadyApplied
	case c.From < s.Version:
		return VersionGap
	}
	digest, ok := s.digestAfter(c)
	if !ok {
		s.needsSnapshot = true
		return DigestMismatch
	}
	keys := make([]K, 0, len(c.Puts))
	for _, p := range c.Puts {
		if p.Deleted {
			delete(s.state, p.Key)
		} else {
			s.state[p.Key] = p.Value
		}
		keys = append(keys, p.Key)
	}
	s.digest, s.needsSnapshot = digest, false // the digest covers the entire state
	s.appendLog(c.To, keys)
	return Applied
}

// digestAfter returns the digest that the state would have after a change, and whether it
// equals the digest in the change. A sender puts each key once; a repeated key leads to a
// mismatch.
func (s *Stream[K, V]) digestAfter(c Change[K, V]) (digest uint64, ok bool) {
	digest = s.digest
	for _, p := range c.Puts {
		if old, had := s.state[p.Key]; had {
			digest -= s.hash(p.Key, old)
		}
		if !p.Deleted {
			digest += s.hash(p.Key, p.Value)
		}
	}
	return digest, digest == c.Digest
}

func (s *Stream[K, V]) applySnapshot(c Change[K, V]) Result {
	if c.Epoch == s.Epoch && c.To < s.Version {
		return AlreadyApplied
	}
	state := make(map[K]V, len(c.Puts))
	digest := uint64(0)
	for _, p := range c.Puts {
		if _, repeated := state[p.Key]; repeated || p.Deleted {
			return DigestMismatch
		}
		state[p.Key] = p.Value
		digest += s.hash(p.Key, p.Value)
	}
	if digest != c.Digest {
		return DigestMismatch
	}
	s.Begin(c.Epoch, c.To)
	s.state, s.digest, s.needsSnapshot = state, digest, false
	return Applied
}

// HashText hashes a key and a value.
func HashText(k, v string) uint64 { return Mix(hashString(hashString(fnvStart, k)*fnvStep^0xff, v)) }

const (
	fnvStart = 14695981039346656037
	fnvStep  = 1099511628211
)

func hashString(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvStep
	}
	return h
}

// Mix spreads the bits of x: the 64-bit finalizer of MurmurHash3.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
