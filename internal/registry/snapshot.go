package registry

import (
	"hash/fnv"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// Snapshot has the usable runners at one point in time. It is immutable.
type Snapshot struct {
	ByService map[string][]messages.RunnerRecord
	ByID      map[string]messages.RunnerRecord
	Checksum  uint64 // checksum of ids, flags and weight versions
}

// Flags of a runner in the checksum of a snapshot.
const (
	flagDraining = 1 << iota
	flagCordoned
	flagDrainingLong
)

func newSnapshot(entries map[string]*entry) *Snapshot {
	s := &Snapshot{ByService: map[string][]messages.RunnerRecord{}, ByID: map[string]messages.RunnerRecord{}}
	ids := make([]string, 0, len(entries))
	for id, e := range entries {
		if e.usable() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	sum := fnv.New64a()
	for _, id := range ids {
		n := entries[id].record
		s.ByID[id] = n
		s.ByService[n.Service] = append(s.ByService[n.Service], n)
		_, _ = sum.Write([]byte(id))
		_, _ = sum.Write([]byte{flagsOf(n)})
		for _, m := range n.Models {
			_, _ = sum.Write([]byte{byte(m.Version), byte(m.Version >> 8)})
		}
	}
	s.Checksum = sum.Sum64()
	return s
}

func flagsOf(n messages.RunnerRecord) byte {
	flags := byte(0)
	if n.Draining {
		flags |= flagDraining
	}
	if n.Cordoned {
		flags |= flagCordoned
	}
	if n.DrainingLong {
		flags |= flagDrainingLong
	}
	return flags
}
