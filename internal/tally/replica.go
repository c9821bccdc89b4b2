package tally

import "maps"

// Config holds the settings of a Replica.
type Config struct {
	// Origin names the log of this replica.
	Origin Origin
	// Zone is the zone of this replica.
	Zone string
	// Durable is set if this replica has a disk.
	Durable bool
	// Quorum is the number of disks and zones that must have an add before it is acknowledged.
	Quorum Quorum
	// MaxAdds bounds the number of adds in all logs; 0: no bound. Adds of this replica's own
	// clients are limited to less: peerReserveShare of it is reserved for other replicas.
	MaxAdds int
}

// peerReserveShare is the share of MaxAdds that is reserved for adds from other replicas, so that
// the others can store every add that one replica has accepted.
const peerReserveShare = 0.1

// Outgoing is the next run of a replica's own log for a peer.
type Outgoing struct {
	Run
	// More is set if the peer lacks adds beyond the run.
	More bool
}

// maxRunAdds is the maximum number of adds in one message.
const maxRunAdds = 1000

// Replica is one copy of all tallies: the set of adds, and how much of this replica's own log the
// peers have acknowledged. It is not safe for concurrent use.
type Replica struct {
	Peers
	config          Config
	set             *Set
	written         Vector // written or being written to disk
	durable         Vector // on disk
	confirmedNumber uint64 // number up to which the own log is confirmed
}

// NewReplica returns a replica with the set that was read from its disk. All adds of the set count
// as durable.
func NewReplica(config Config, set *Set) *Replica {
	return &Replica{Peers: newPeers(config), config: config, set: set, written: set.Vector(), durable: set.Vector()}
}

// MarkAllUnwritten marks all adds as not yet written. It is called when OpenLog could not create a
// segment, since the content read from disk may not survive a loss of power.
func (r *Replica) MarkAllUnwritten() { r.written, r.durable = Vector{}, Vector{} }

// Set returns the set of adds. Callers must not modify it.
func (r *Replica) Set() *Set { return r.set }

// Origin returns the origin of this replica's own log.
func (r *Replica) Origin() Origin { return r.config.Origin }

// SetPeers sets the addresses of the other replicas. The state of peers that remain is preserved.
func (r *Replica) SetPeers(addrs []string) {
	r.setAddrs(addrs)
	r.advanceConfirmed()
}

// SetCore sets the addresses of the other members of the core, the group of the configuration. Once
// each of them, and each other peer that can be reached, has acknowledged a run as a replica without
// a disk, copies in memory count.
func (r *Replica) SetCore(members []string) {
	r.setCore(members)
	r.advanceConfirmed()
}

// SetMaxAdds changes Config.MaxAdds.
func (r *Replica) SetMaxAdds(adds int) { r.config.MaxAdds = adds }

// Full reports whether the limit for adds of this replica's own clients has been reached.
func (r *Replica) Full() bool {
	return r.config.MaxAdds > 0 && float64(r.set.Len()) >= float64(r.config.MaxAdds)*(1-peerReserveShare)
}

// Append appends an add to the own log and returns its number. The caller may acknowledge the add
// once Replica.MayAcknowledge returns true for the number. An add that is already in the own log
// keeps its number.
func (r *Replica) Append(add Add) (number uint64) {
	if number, ok := r.ownNumber(add.Key); ok {
		return number
	}
	number = r.set.LogLength(r.config.Origin) + 1
	r.set.Merge(Run{Origin: r.config.Origin, First: number, Adds: []Add{add}})
	return number
}

// ownNumber finds a key in the own log: either the add that counts for the key, or one of the adds
// that are not confirmed yet. A confirmed add whose key counts by another origin's add is not
// found; it is appended again.
func (r *Replica) ownNumber(key Key) (uint64, bool) {
	position, ok := r.set.index.find(r.set.adds, key)
	if !ok {
		return 0, false
	}
	log := r.set.logs[r.config.Origin]
	if number := r.set.adds[position].number; int(number) <= len(log) && log[number-1] == position {
		return uint64(number), true
	}
	for i := len(log); uint64(i) > r.confirmedNumber; i-- {
		if r.set.adds[log[i-1]].key == key {
			return uint64(i), true
		}
	}
	return 0, false
}

// Merge merges runs received from another replica. Runs that would exceed MaxAdds are dropped.
func (r *Replica) Merge(runs []Run) {
	for _, run := range runs {
		if r.config.MaxAdds <= 0 || r.set.Len()+len(run.Adds) <= r.config.MaxAdds {
			r.set.Merge(run)
		}
	}
}

// BeginWrite returns the runs to write to disk next, up to the given number of adds, and marks them
// as written. The caller reports the result of the write with Replica.EndWrite.
func (r *Replica) BeginWrite(limit int) []Run {
	if !r.config.Durable {
		return nil
	}
	runs := r.set.Since(r.written, limit)
	for _, run := range runs {
		r.written[run.Origin] = run.First + uint64(len(run.Adds)) - 1
	}
	return runs
}

// EndWrite records the result of writing all runs that Replica.BeginWrite has returned. After a
// failure, the runs are returned again.
func (r *Replica) EndWrite(ok bool) {
	if !ok {
		r.written = maps.Clone(r.durable)
		return
	}
	r.durable = maps.Clone(r.written)
	r.advanceConfirmed()
}

// Durable returns up to which number this replica has the log of an origin on its disk, or in
// memory if it has no disk.
func (r *Replica) Durable(origin Origin) uint64 {
	if !r.config.Durable {
		return r.set.LogLength(origin)
	}
	return r.durable[origin]
}

// Since returns the runs that a replica with the given vector lacks, up to the given number of
// adds. From the own log it returns only adds on this replica's disk: if others had an add whose
// number was lost with the disk, the number would be used a second time.
func (r *Replica) Since(vector Vector, limit int) []Run {
	var runs []Run
	for _, run := range r.set.Since(vector, limit) {
		if run.Origin == r.config.Origin {
			durable := r.Durable(run.Origin)
			run.Adds = run.Adds[:min(uint64(len(run.Adds)), durable-min(durable, run.First-1))]
		}
		if len(run.Adds) > 0 {
			runs = append(runs, run)
		}
	}
	return runs
}

// NextOutgoing returns the next run of the own log to send to a peer, and false if the peer lacks
// nothing. An add is sent only once it is on this replica's disk: otherwise its number would be
// used a second time if it were lost here. Until the first acknowledgement of the peer the run is
// empty and serves to find out how much the peer has.
func (r *Replica) NextOutgoing(addr string) (Outgoing, bool) {
	p := r.byAddr[addr]
	if p == nil {
		return Outgoing{}, false
	}
	limit := r.Durable(r.config.Origin)
	if !p.hasAcked {
		return Outgoing{Run: Run{Origin: r.config.Origin, First: limit + 1}, More: limit > 0}, true
	}
	if p.ackedNumber >= limit {
		return Outgoing{}, false
	}
	run := r.set.Run(r.config.Origin, p.ackedNumber+1, int(min(limit-p.ackedNumber, maxRunAdds)))
	return Outgoing{Run: run, More: p.ackedNumber+uint64(len(run.Adds)) < limit}, true
}

// Ack is the acknowledgement of a run by a peer.
type Ack struct {
	Held    uint64 // number up to which the peer has the sender's log, on disk if it has one
	Durable bool   // the peer has a disk
	Zone    string // zone of the peer
}

// RecordAck records an acknowledgement of a peer.
func (r *Replica) RecordAck(addr string, ack Ack) {
	ack.Held = min(ack.Held, r.set.LogLength(r.config.Origin))
	r.recordAck(addr, ack)
	r.advanceConfirmed()
}

// RecordFailure records that a call to a peer, started at sentUs, has failed.
func (r *Replica) RecordFailure(addr string, sentUs, nowUs int64) {
	r.recordFailure(addr, sentUs, nowUs)
	r.advanceConfirmed()
}

// RecordExamination records the result of examining a peer.
func (r *Replica) RecordExamination(addr string, examination Examination) {
	r.recordExamination(addr, examination)
	r.advanceConfirmed()
}

// Confirmed returns the number up to which the own log is confirmed.
func (r *Replica) Confirmed() uint64 { return r.confirmedNumber }

// MayAcknowledge reports whether an add of the own log whose request arrived at arrivedUs may be
// acknowledged now: it is on enough disks, or every peer that does not have it is cut off, by
// evidence that is younger than the request and than maxEvidenceAgeUs. Older evidence may be of a
// partition that has healed since.
func (r *Replica) MayAcknowledge(number uint64, arrivedUs, nowUs int64) bool {
	return number <= r.Durable(r.config.Origin) && r.replicated(number, max(arrivedUs, nowUs-maxEvidenceAgeUs))
}

// advanceConfirmed raises the confirmed number as far as the acknowledgements allow.
func (r *Replica) advanceConfirmed() {
	for _, number := range r.confirmationCandidates() {
		if number > r.confirmedNumber && r.replicated(number, 0) {
			r.confirmedNumber = number
		}
	}
}

// confirmationCandidates returns the numbers that could become the confirmed one: those up to which
// this replica or a peer has the own log.
func (r *Replica) confirmationCandidates() []uint64 {
	own := r.Durable(r.config.Origin)
	numbers := []uint64{own}
	for _, p := range r.byAddr {
		numbers = append(numbers, min(p.ackedNumber, own))
	}
	return numbers
}
