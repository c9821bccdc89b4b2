package prefixindex

import "beechtide.org/beechtide/internal/messages"

// maxSharedKeys limits each of the two generations of SharedKeys, to about 1 MB.
const maxSharedKeys = 32_768

// SharedKeys is the set of keys of parts that prompts may have in common: those that routers
// announced when they sent a prompt to a runner. The last part of a prompt is specific to it and
// is not announced; no other request looks it up, so other nodes do not need the information that
// a runner has it cached.
//
// Keys are stored in two generations; when the newer one is full, the older one is dropped. A part
// that is prefilled again after that has been announced again. The zero value is empty. It is not
// safe for concurrent use.
type SharedKeys struct {
	newer, older map[uint64]struct{}
	changed      bool // keys were added since the last Record
}

// AddAnnounced adds the keys of announced prefixes.
func (s *SharedKeys) AddAnnounced(announced []messages.CachedPrefixes) {
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
	s.add(key) // the key is in use: move it to the newer generation
	return true
}
