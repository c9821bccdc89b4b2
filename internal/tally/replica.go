package tally

import (
	"cmp"
	"maps"
)

// Config is what a Replica goes by.
type Config struct {
	// Origin names the log of this replica.
	Origin Origin
	// Zone is the zone of this replica.
	Zone string
	// Durable reports whether this replica has a disk. Without one, copies in memory count
	// for the quorum.
	Durable bool
	// Quorum is on how many disks an add is to be before it is acknowledged.
	Quorum Quorum
	// MaxAdds bounds the adds of all logs that are held; 0: no bound. The replica's own
	// clients may fill it but for a margin, which is left to the other replicas.
	MaxAdds int
}

// ownMargin is the part of MaxAdds that only adds from other replicas may take: what one
// replica has taken in the others can store as well.
const ownMargin = 0.1

// Outgoing is what a peer is to be sent of the own log.
type Outgoing struct {
	Run
	// More reports whether the peer lacks more than the run has.
	More bool
}

// maxRun is how many adds one message has at most.
const maxRun = 1000

// peerState is what is known of a peer.
type peerState struct {
	zone    string
	held    uint64 // how much of the own log is on the peer's disk
	durable bool   // the peer has a disk
	known   bool   // the peer has said what it holds
	way     reachability
	witness Witness
	askedUs int64 // when the witnesses were asked
}

// cutOff reports whether the way to the peer is cut, rather than the peer down, by evidence that
// is not older than sinceUs.
func (p *peerState) cutOff(sinceUs int64) bool {
	return p.way.unreachable() && p.way.lastSentUs >= sinceUs && p.witness == WitnessCut && p.askedUs >= sinceUs
}

// Replica is one copy of all tallies: the set, and how far the own log has got to the
// others. It is not safe for concurrent use.
type Replica struct {
	config    Config
	set       *Set
	peers     map[string]*peerState
	written   Vector // what has been given to the disk
	durable   Vector // what is on it
	confirmed uint64 // of the own log
	awaitedUs int64  // when the newest add came whose caller waits
}

// NewReplica starts a replica with what its disk holds. All of that is durable.
func NewReplica(config Config, set *Set) *Replica {
	return &Replica{config: config, set: set, peers: map[string]*peerState{}, written: set.Vector(), durable: set.Vector()}
}

// RewriteAll takes everything for not yet written, as where the disk could not be made to hold
// what was read from it.
func (r *Replica) RewriteAll() { r.written, r.durable = Vector{}, Vector{} }

// Set returns the adds that are held. They are read only.
func (r *Replica) Set() *Set { return r.set }

// Origin returns the name of the own log.
func (r *Replica) Origin() Origin { return r.config.Origin }

// SetPeers sets the addresses of the other replicas. What is known of those that stay is kept.
func (r *Replica) SetPeers(addrs []string) {
	next := make(map[string]*peerState, len(addrs))
	for _, addr := range addrs {
		next[addr] = r.peers[addr]
		if next[addr] == nil {
			next[addr] = &peerState{}
		}
	}
	r.peers = next
	r.advance()
}

// SetMaxAdds sets Config.MaxAdds anew.
func (r *Replica) SetMaxAdds(adds int) { r.config.MaxAdds = adds }

// Full reports whether no further add of this replica's clients can be held.
func (r *Replica) Full() bool {
	return r.config.MaxAdds > 0 && float64(r.set.Len()) >= float64(r.config.MaxAdds)*(1-ownMargin)
}

// Append adds to the own log. The caller acknowledges the add once Acknowledged says so for
// its number. An add that is there already keeps the number that it has.
func (r *Replica) Append(add Add) (number uint64) {
	if number, ok := r.ownNumber(add.Key); ok {
		return number
	}
	number = r.set.Held(r.config.Origin) + 1
	r.set.Merge(Run{Origin: r.config.Origin, First: number, Adds: []Add{add}})
	return number
}

// ownNumber finds a key in the own log: as the add that counts, or among those that are not
// confirmed. One that is there besides, and confirmed, is not found; it is added again.
func (r *Replica) ownNumber(key Key) (uint64, bool) {
	place, ok := r.set.index.find(r.set.adds, key)
	if !ok {
		return 0, false
	}
	log := r.set.logs[r.config.Origin]
	if number := r.set.adds[place].number; int(number) <= len(log) && log[number-1] == place {
		return uint64(number), true
	}
	for i := len(log); uint64(i) > r.confirmed; i-- {
		if r.set.adds[log[i-1]].key == key {
			return uint64(i), true
		}
	}
	return 0, false
}

// Merge takes runs of another replica in. Where the bound of adds is reached nothing more is
// taken.
func (r *Replica) Merge(runs []Run) {
	for _, run := range runs {
		if r.config.MaxAdds <= 0 || r.set.Len()+len(run.Adds) <= r.config.MaxAdds {
			r.set.Merge(run)
		}
	}
}

// Unwritten returns what is to be written to the disk next, at most so many adds, and takes it
// for written. The owner says later how that ended, by WriteEnded.
func (r *Replica) Unwritten(most int) []Run {
	if !r.config.Durable {
		return nil
	}
	runs := r.set.Since(r.written, most)
	for _, run := range runs {
		r.written[run.Origin] = run.First + uint64(len(run.Adds)) - 1
	}
	return runs
}

// WriteEnded records how the write of all that Unwritten has returned ended. After a failure
// it is returned again.
func (r *Replica) WriteEnded(ok bool) {
	if !ok {
		r.written = maps.Clone(r.durable)
		return
	}
	r.durable = maps.Clone(r.written)
	r.advance()
}

// Durable returns how much of the log of an origin this replica has on its disk, or holds where
// it has none.
func (r *Replica) Durable(origin Origin) uint64 {
	if !r.config.Durable {
		return r.set.Held(origin)
	}
	return r.durable[origin]
}

// Since returns what a replica with the given vector lacks, at most so many adds. Of the own log
// it is what is on this disk: a number that is lost with the disk would be used a second time.
func (r *Replica) Since(vector Vector, most int) []Run {
	var runs []Run
	for _, run := range r.set.Since(vector, most) {
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

// Next returns what a peer is to be sent, and false if it lacks nothing. Nothing leaves
// before it is on this disk: its number would be used a second time if it were lost.
func (r *Replica) Next(addr string) (Outgoing, bool) {
	p := r.peers[addr]
	if p == nil {
		return Outgoing{}, false
	}
	limit := r.Durable(r.config.Origin)
	if !p.known {
		return Outgoing{Run: Run{Origin: r.config.Origin, First: limit + 1}, More: limit > 0}, true
	}
	if p.held >= limit {
		return Outgoing{}, false
	}
	run := r.set.Run(r.config.Origin, p.held+1, int(min(limit-p.held, maxRun)))
	return Outgoing{Run: run, More: p.held+uint64(len(run.Adds)) < limit}, true
}

// Ack is the answer of a peer to a run.
type Ack struct {
	Held    uint64 // how much of the sender's log it holds, on its disk if it has one
	Durable bool   // it has a disk
	Zone    string
}

// Acked records the answer of a peer.
func (r *Replica) Acked(addr string, ack Ack) {
	p := r.peers[addr]
	if p == nil {
		return
	}
	p.known, p.held, p.durable, p.zone = true, min(ack.Held, r.set.Held(r.config.Origin)), ack.Durable, ack.Zone
	p.answered()
	r.advance()
}

// Answered records that a peer has answered any call.
func (r *Replica) Answered(addr string) {
	if p := r.peers[addr]; p != nil {
		p.answered()
	}
}

func (p *peerState) answered() {
	p.way.answered()
	p.witness = WitnessUnknown
}

// Witnessed records what other nodes that were asked at askedUs say of a peer that does not
// answer.
func (r *Replica) Witnessed(addr string, witness Witness, askedUs int64) {
	if p := r.peers[addr]; p != nil && p.way.failing {
		p.witness, p.askedUs = witness, askedUs
	}
	r.advance()
}

// Failing reports whether the newest call to a peer has failed.
func (r *Replica) Failing(addr string) bool {
	p := r.peers[addr]
	return p != nil && p.way.failing
}

// ZoneOf returns the zone of a peer, empty if it has not said.
func (r *Replica) ZoneOf(addr string) string {
	if p := r.peers[addr]; p != nil {
		return p.zone
	}
	return ""
}

// Failed records that a call to a peer, begun at sentUs, got no answer.
func (r *Replica) Failed(addr string, sentUs, nowUs int64) {
	if p := r.peers[addr]; p != nil {
		p.way.failed(sentUs, nowUs)
	}
	r.advance()
}

// Unreachable reports whether a peer is out of reach.
func (r *Replica) Unreachable(addr string) bool {
	p := r.peers[addr]
	return p != nil && p.way.unreachable()
}

// Confirmed returns up to which number the own log has been confirmed.
func (r *Replica) Confirmed() uint64 { return r.confirmed }

// Await notes that a caller waits for the acknowledgement of an add that came at arrivedUs.
func (r *Replica) Await(arrivedUs int64) { r.awaitedUs = max(r.awaitedUs, arrivedUs) }

// Acknowledged reports whether an add of the own log that a client brought at arrivedUs may be
// acknowledged now: it is on enough disks, or every peer that does not have it is cut off, by
// evidence that is not older than the add. Older evidence may be of a partition that has healed.
func (r *Replica) Acknowledged(number uint64, arrivedUs int64) bool {
	return number <= r.Durable(r.config.Origin) && r.stored(number, arrivedUs)
}

// WantsCall reports whether a peer out of reach is to be called now: somebody waits for an add
// that is younger than the newest call.
func (r *Replica) WantsCall(addr string) bool {
	p := r.peers[addr]
	return p != nil && p.way.unreachable() && p.way.lastSentUs < r.awaitedUs
}

// WantsWitness is the same for a question to witnesses.
func (r *Replica) WantsWitness(addr string) bool {
	p := r.peers[addr]
	return p != nil && p.way.unreachable() && p.askedUs < r.awaitedUs
}

// advance moves the confirmed number on.
func (r *Replica) advance() {
	for _, number := range r.candidates() {
		if number > r.confirmed && r.stored(number, 0) {
			r.confirmed = number
		}
	}
}

// candidates are the numbers at which the set of disks that have them changes.
func (r *Replica) candidates() []uint64 {
	own := r.Durable(r.config.Origin)
	numbers := []uint64{own}
	for _, p := range r.peers {
		numbers = append(numbers, min(p.held, own))
	}
	return numbers
}

// stored reports whether the own log is, up to a number that this replica has on its own disk,
// on enough disks, or on those of all peers to which the way is not cut, by evidence not older than
// sinceUs. A peer that is down is waited for: the disks that are left may be lost before it is
// back.
func (r *Replica) stored(number uint64, sinceUs int64) bool {
	var have copies
	have.add(r.config.Zone)
	missing := false
	for _, p := range r.peers {
		switch {
		case p.known && p.held >= number:
			if p.durable || !r.config.Durable {
				have.add(p.zone)
			}
		case !p.cutOff(sinceUs):
			missing = true
		}
	}
	return r.config.Quorum.satisfied(have) || !missing
}

// Confirmable reports whether an add that came now could be confirmed, as far as is known: it
// says no where too few replicas can be reached and the others are down.
func (r *Replica) Confirmable() bool {
	var reached copies
	reached.add(r.config.Zone)
	down := false
	for addr, p := range r.peers {
		if !p.way.unreachable() {
			reached.add(cmp.Or(p.zone, addr))
		} else if p.witness != WitnessCut {
			down = true
		}
	}
	return !down || r.config.Quorum.satisfied(reached)
}
