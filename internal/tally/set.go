package tally

import (
	"slices"
	"unsafe"
)

// stored is an add as the set holds it.
type stored struct {
	key    Key
	amount int64
	tally  uint32 // its place in Set.names
	number uint32 // in the log of its origin
}

// Set is the union of the logs of all origins. Some 45 bytes are held an add.
type Set struct {
	adds      []stored // in the order of their arrival, those of all origins
	logs      map[Origin][]uint32
	index     keyIndex
	names     []string
	tallies   map[string]uint32
	totals    []int64 // by the place of the name
	conflicts int64
	distinct  int
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{logs: map[Origin][]uint32{}, tallies: map[string]uint32{}}
}

// Total returns the sum of a tally, which is 0 for an unknown one.
func (s *Set) Total(name string) int64 {
	place, ok := s.tallies[name]
	if !ok {
		return 0
	}
	return s.totals[place]
}

// Distinct returns how many adds count; Len how many the logs hold.
func (s *Set) Distinct() int { return s.distinct }

// Len returns how many adds the logs hold; one that was brought to several replicas is
// there several times.
func (s *Set) Len() int { return len(s.adds) }

// Conflicts returns how many adds came with the id of another one and another amount.
func (s *Set) Conflicts() int64 { return s.conflicts }

// MemoryBytes returns how many bytes the adds and what finds them take.
func (s *Set) MemoryBytes() int {
	const placeBytes = int(unsafe.Sizeof(uint32(0)))
	bytes := cap(s.adds)*int(unsafe.Sizeof(stored{})) + len(s.index.slots)*placeBytes
	for _, log := range s.logs {
		bytes += cap(log) * placeBytes
	}
	return bytes
}

// Tallies returns how many tallies there are.
func (s *Set) Tallies() int { return len(s.names) }

// Contains reports whether an add with this key is held.
func (s *Set) Contains(key Key) bool {
	_, ok := s.index.find(s.adds, key)
	return ok
}

// Held returns how much is held of the log of an origin.
func (s *Set) Held(origin Origin) uint64 { return uint64(len(s.logs[origin])) }

// Vector returns how much is held of each log.
func (s *Set) Vector() Vector {
	vector := make(Vector, len(s.logs))
	for origin, log := range s.logs {
		vector[origin] = uint64(len(log))
	}
	return vector
}

// Digest is equal for sets that hold the same parts of the same logs. Sets that differ have
// the same one by chance only.
func (s *Set) Digest() uint64 { return s.Vector().Digest() }

// Merge takes a run in. What is held already is passed over; a run that begins beyond what
// is held leaves a gap and is not taken. It returns the part that was new.
func (s *Set) Merge(run Run) (added Run) {
	held := s.Held(run.Origin)
	end := run.First + uint64(len(run.Adds)) // the number after the last
	if run.First == 0 || run.First > held+1 || end <= held+1 {
		return Run{Origin: run.Origin, First: held + 1}
	}
	fresh := run.Adds[held+1-run.First:]
	for _, add := range fresh {
		s.append(run.Origin, add)
	}
	return Run{Origin: run.Origin, First: held + 1, Adds: fresh}
}

// append adds to the end of an origin's log.
func (s *Set) append(origin Origin, add Add) {
	place := s.place(add.Tally)
	at := uint32(len(s.adds))
	s.logs[origin] = append(s.logs[origin], at)
	s.adds = append(s.adds, stored{key: add.Key, amount: add.Amount, tally: place, number: uint32(len(s.logs[origin]))})
	known, ok := s.index.find(s.adds[:at], add.Key)
	if !ok {
		s.index.insert(s.adds, at)
		s.totals[place] += add.Amount
		s.distinct++
		return
	}
	counted := &s.adds[known]
	if counted.amount == add.Amount {
		return
	}
	s.conflicts++
	if add.Amount > counted.amount {
		s.totals[place] += add.Amount - counted.amount
		s.index.replace(s.adds, known, at)
	}
}

// place returns the place of a tally's name, which is new if need be.
func (s *Set) place(name string) uint32 {
	place, ok := s.tallies[name]
	if !ok {
		place = uint32(len(s.names))
		s.names = append(s.names, name)
		s.totals = append(s.totals, 0)
		s.tallies[name] = place
	}
	return place
}

// Run returns at most so many adds of the log of an origin from a number on.
func (s *Set) Run(origin Origin, first uint64, most int) Run {
	log := s.logs[origin]
	run := Run{Origin: origin, First: first}
	if first == 0 || first > uint64(len(log)) {
		return run
	}
	rest := log[first-1:]
	for _, at := range rest[:min(len(rest), most)] {
		held := s.adds[at]
		run.Adds = append(run.Adds, Add{Tally: s.names[held.tally], Key: held.key, Amount: held.amount})
	}
	return run
}

// Since returns at most so many adds that a replica with the given vector lacks. The logs
// come in the order of their names, so that repeated calls get everything.
func (s *Set) Since(vector Vector, most int) []Run {
	var lacking []Origin
	for origin, log := range s.logs {
		if uint64(len(log)) > vector[origin] {
			lacking = append(lacking, origin)
		}
	}
	slices.Sort(lacking)
	var runs []Run
	for _, origin := range lacking {
		if most <= 0 {
			break
		}
		run := s.Run(origin, vector[origin]+1, most)
		most -= len(run.Adds)
		runs = append(runs, run)
	}
	return runs
}
