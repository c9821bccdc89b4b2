package tallies

// Counts are the statistics of a replica for the metrics.
type Counts struct {
	Adds        int // adds in all logs
	Distinct    int // adds that are counted
	Unconfirmed int // adds of this replica's clients that are not on enough disks yet
	Unreachable int // replicas that do not respond
	Conflicts   int64
	PulledAdds  int64 // adds received in response to a pull
	LateAdds    int64 // adds whose calls timed out
	DiskBytes   int64
	Ready       bool // the other replicas were pulled from after the start, or are unreachable
	Writable    bool // below MaxAdds, and the last write to disk succeeded
}

// Counts returns the current statistics.
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
		PulledAdds:  s.pulledAdds,
		LateAdds:    s.lateAdds,
		DiskBytes:   s.diskBytes,
		Ready:       s.ready,
		Writable:    !condition.Full,
	}
}
