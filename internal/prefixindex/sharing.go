package prefixindex

import "beechtide.org/beechtide/internal/messages"

// maxSharedKeys bounds each of the two generations of SharedKeys: some 1 MB.
const maxSharedKeys = 32_768

// SharedKeys are the keys of parts that prompts may have in common: those that routers have announced
// when they sent a prompt to a runner. The last part of a prompt is its own and is not announced;
// no other request finds it, so other nodes need not hear that a runner has it cached.
//
// Of two generations the older is dropped when the newer is full. A part that is read again after
// that has been announced again. The zero value is empty; it is not safe for concurrent use.
type SharedKeys struct {
	newer, older map[uint64]struct{}
	changed      bool // since the last Record
}

// Announce adds the keys of announced prefixes.
func (s *SharedKeys) Announce(announced []messages.CachedPrefixes) {
	for _, prefixes := range announced {
		for _, part := range prefixes.Parts {
			s.add(part.Key)
		}
	}
}

func (s *SharedKeys) add(key uint64) {
	if _, known := s.newer[key]; known {
		return
	}
	if s.newer == nil || len(s.newer) >= maxSharedKeys {
		s.newer, s.older = map[uint64]struct{}{}, s.newer
	}
	s.newer[key] = struct{}{}
	s.changed = true
}

// Has reports whether a key has been announced.
func (s *SharedKeys) Has(key uint64) bool {
	if _, known := s.newer[key]; known {
		return true
	}
	if _, known := s.older[key]; !known {
		return false
	}
	s.add(key) // it is in use
	return true
}
