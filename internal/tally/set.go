package tally

import (
	"slices"
	"unsafe"
)

// storedAdd is the representation of an add in the set.
type storedAdd struct {
	key    Key
	amount int64
	tally  uint32 // index in Set.names
	number uint32 // number in the log of its origin
}

// Set is the union of the logs of all origins. It takes about 45 bytes of memory per add.
type Set struct {
	adds      []storedAdd         // adds of all origins, in order of arrival
	logs      map[Origin][]uint32 // by origin, the positions of its adds in adds
	index     keyIndex            // positions of the adds that count
	names     []string            // names of tallies
	tallies   map[string]uint32   // by name, the index in names
	totals    []int64             // by the index in names
	conflicts int64               // see Conflicts
	distinct  int                 // see Distinct
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{logs: map[Origin][]uint32{}, tallies: map[string]uint32{}}
}

// Total returns the sum of a tally, or 0 if there is no such tally.
func (s *Set) Total(name string) int64 {
	index, ok := s.tallies[name]
	if !ok {
		return 0
	}
	return s.totals[index]
}

// Distinct returns the number of adds that count towards the totals (see Len).
func (s *Set) Distinct() int { return s.distinct }

// Len returns the number of adds in all logs. An add that was sent to several replicas is
// included several times.
func (s *Set) Len() int { return len(s.adds) }

// Conflicts returns the number of adds with the same key as an earlier add but another amount.
func (s *Set) Conflicts() int64 { return s.conflicts }

// MemoryBytes returns the memory taken by the adds and their indexes, in bytes.
func (s *Set) MemoryBytes() int {
	const positionBytes = int(unsafe.Sizeof(uint32(0)))
	bytes := cap(s.adds)*int(unsafe.Sizeof(storedAdd{})) + len(s.index.slots)*positionBytes
	for _, log := range s.logs {
		bytes += cap(log) * positionBytes
	}
	return bytes
}

// Tallies returns the number of tallies.
func (s *Set) Tallies() int { return len(s.names) }

// Contains reports whether the set has an add with this key.
func (s *Set) Contains(key Key) bool {
	_, ok := s.index.find(s.adds, key)
	return ok
}

// LogLength returns the number up to which the set has the log of an origin.
func (s *Set) LogLength(origin Origin) uint64 { return uint64(len(s.logs[origin])) }

// Vector returns the version vector of the set: for each origin, the number up to which the set
// has its log.
func (s *Set) Vector() Vector {
	vector := make(Vector, len(s.logs))
	for origin, log := range s.logs {
		vector[origin] = uint64(len(log))
	}
	return vector
}

// Digest returns a hash of the version vector. It is equal for sets with the same vector; sets
// with different vectors have the same digest only by a hash collision.
func (s *Set) Digest() uint64 { return s.Vector().Digest() }

// Merge appends a run to the log of its origin and returns the part that was new. Adds that the
// set already has are skipped; a run that would leave a gap after the log is ignored.
func (s *Set) Merge(run Run) (added Run) {
	length := s.LogLength(run.Origin)
	end := run.First + uint64(len(run.Adds)) // the number after the last
	if run.First == 0 || run.First > length+1 || end <= length+1 {
		return Run{Origin: run.Origin, First: length + 1}
	}
	missing := run.Adds[length+1-run.First:]
	for _, add := range missing {
		s.append(run.Origin, add)
	}
	return Run{Origin: run.Origin, First: length + 1, Adds: missing}
}

// append appends an add to an origin's log.
func (s *Set) append(origin Origin, add Add) {
	nameIndex := s.tallyIndex(add.Tally)
	position := uint32(len(s.adds))
	s.logs[origin] = append(s.logs[origin], position)
	s.adds = append(s.adds, storedAdd{key: add.Key, amount: add.Amount, tally: nameIndex, number: uint32(len(s.logs[origin]))})
	existing, ok := s.index.find(s.adds[:position], add.Key)
	if !ok {
		s.index.insert(s.adds, position)
		s.totals[nameIndex] += add.Amount
		s.distinct++
		return
	}
	counted := &s.adds[existing]
	if counted.amount == add.Amount {
		return
	}
	s.conflicts++
	if add.Amount > counted.amount {
		s.totals[nameIndex] += add.Amount - counted.amount
		s.index.replace(s.adds, existing, position)
	}
}

// tallyIndex returns the index of a tally's name, which it adds if it is new.
func (s *Set) tallyIndex(name string) uint32 {
	index, ok := s.tallies[name]
	if !ok {
		index = uint32(len(s.names))
		s.names = append(s.names, name)
		s.totals = append(s.totals, 0)
		s.tallies[name] = index
	}
	return index
}

// Run returns the adds of the log of an origin from a number on, up to the given number of adds.
func (s *Set) Run(origin Origin, first uint64, limit int) Run {
	log := s.logs[origin]
	run := Run{Origin: origin, First: first}
	if first == 0 || first > uint64(len(log)) {
		return run
	}
	rest := log[first-1:]
	for _, position := range rest[:min(len(rest), limit)] {
		add := s.adds[position]
		run.Adds = append(run.Adds, Add{Tally: s.names[add.tally], Key: add.key, Amount: add.amount})
	}
	return run
}

// Since returns the runs that a replica with the given vector lacks, up to the given number of
// adds. The logs are ordered by origin, so that repeated calls with an updated vector return
// everything.
func (s *Set) Since(vector Vector, limit int) []Run {
	var lacking []Origin
	for origin, log := range s.logs {
		if uint64(len(log)) > vector[origin] {
			lacking = append(lacking, origin)
		}
	}
	slices.Sort(lacking)
	var runs []Run
	for _, origin := range lacking {
		if limit <= 0 {
			break
		}
		run := s.Run(origin, vector[origin]+1, limit)
		limit -= len(run.Adds)
		runs = append(runs, run)
	}
	return runs
}
