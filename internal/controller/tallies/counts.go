package tallies

// Counts are the figures of a replica for the metrics.
type Counts struct {
	Adds        int // in all logs
	Distinct    int // those that count
	Unconfirmed int // of this replica's clients, that wait for disks
	Unreachable int // replicas that do not answer
	Conflicts   int64
	Pulled      int64 // adds that another replica was asked for
	Late        int64 // adds whose callers were not answered in time
	DiskBytes   int64
	Ready       bool // the others have been asked after the start
	Writable    bool // there is room, and the disk takes writes
}

// Counts returns the figures of this moment.
func (s *Service) Counts() Counts {
	condition := s.Condition()
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.replica.Set()
	return Counts{
		Adds:        set.Len(),
		Distinct:    set.Distinct(),
		Unconfirmed: int(condition.Unconfirmed),
		Unreachable: len(condition.Unreachable),
		Conflicts:   set.Conflicts(),
		Pulled:      s.pulled,
		Late:        s.late,
		DiskBytes:   s.diskBytes,
		Ready:       s.ready,
		Writable:    !condition.Full,
	}
}
