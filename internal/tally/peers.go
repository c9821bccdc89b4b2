package tally

import "cmp"

// peerState is the state of a peer as seen by this replica.
type peerState struct {
	zone             string
	ackedNumber      uint64 // number up to which the peer has acknowledged this replica's log
	durable          bool   // the peer has a disk
	hasAcked         bool   // the peer has acknowledged a run, so that ackedNumber is valid
	calls            callHistory
	witness          Witness
	witnessQueriedUs int64 // when the witnesses were queried
}

// cutOff reports whether the path to the peer is cut (rather than the peer being down), by
// evidence that is not older than sinceUs.
func (p *peerState) cutOff(sinceUs int64) bool {
	return p.seemsCut() && p.calls.lastSentUs >= sinceUs && p.witnessQueriedUs >= sinceUs
}

// seemsCut reports whether the last evidence, however old, is of a cut path.
func (p *peerState) seemsCut() bool {
	return p.calls.unreachable() && !p.calls.refused && p.witness == WitnessCut
}

// Peers is what a replica knows about the others, and the rule by which their copies and its own
// make an add confirmed.
type Peers struct {
	zone    string // zone of this replica
	durable bool   // this replica has a disk
	quorum  Quorum

	byAddr         map[string]*peerState
	storage        Storage
	newestWaiterUs int64 // arrival time of the newest add with a waiting caller
}

func newPeers(config Config) Peers {
	ps := Peers{zone: config.Zone, durable: config.Durable, quorum: config.Quorum, byAddr: map[string]*peerState{}}
	if config.Durable {
		ps.storage = StorageDisk
	}
	return ps
}

// setAddrs replaces the set of peers. The state of those that remain is preserved.
func (ps *Peers) setAddrs(addrs []string) {
	next := make(map[string]*peerState, len(addrs))
	for _, addr := range addrs {
		next[addr] = ps.byAddr[addr]
		if next[addr] == nil {
			next[addr] = &peerState{}
		}
	}
	ps.byAddr = next
}

func (ps *Peers) recordAck(addr string, ack Ack) {
	p := ps.byAddr[addr]
	if p == nil {
		return
	}
	p.hasAcked, p.ackedNumber, p.durable, p.zone = true, ack.Held, ack.Durable, ack.Zone
	p.recordAnswer()
	if ack.Durable {
		ps.storage = StorageDisk
	}
}

// RecordAnswer records that a peer has answered a call of any kind.
func (ps *Peers) RecordAnswer(addr string) {
	if p := ps.byAddr[addr]; p != nil {
		p.recordAnswer()
	}
}

func (p *peerState) recordAnswer() {
	p.calls.recordAnswer()
	p.witness = WitnessUnknown
}

func (ps *Peers) recordFailure(addr string, call failedCall) {
	if p := ps.byAddr[addr]; p != nil {
		p.calls.recordFailure(call)
	}
}

func (ps *Peers) recordWitness(addr string, witness Witness, queriedUs int64) {
	if p := ps.byAddr[addr]; p != nil && p.calls.failing {
		p.witness, p.witnessQueriedUs = witness, queriedUs
	}
}

// Failing reports whether a call to a peer has failed since its last answer.
func (ps *Peers) Failing(addr string) bool {
	p := ps.byAddr[addr]
	return p != nil && p.calls.failing
}

// ZoneOf returns the zone of a peer, or "" if the peer has not acknowledged a run yet.
func (ps *Peers) ZoneOf(addr string) string {
	if p := ps.byAddr[addr]; p != nil {
		return p.zone
	}
	return ""
}

// Unreachable reports whether all calls to a peer have failed for long enough that it counts as
// unreachable.
func (ps *Peers) Unreachable(addr string) bool {
	p := ps.byAddr[addr]
	return p != nil && p.calls.unreachable()
}

// RecordWaiter records that a caller waits for the acknowledgement of an add that arrived at
// arrivedUs.
func (ps *Peers) RecordWaiter(arrivedUs int64) { ps.newestWaiterUs = max(ps.newestWaiterUs, arrivedUs) }

// NeedsCall reports whether an unreachable peer is to be called now: a caller waits for an add
// that arrived after the last call started.
func (ps *Peers) NeedsCall(addr string) bool {
	p := ps.byAddr[addr]
	return p != nil && p.calls.unreachable() && p.calls.lastSentUs < ps.newestWaiterUs
}

// NeedsWitness reports whether witnesses are to be queried now about an unreachable peer: a caller
// waits for an add that arrived after the last query.
func (ps *Peers) NeedsWitness(addr string) bool {
	p := ps.byAddr[addr]
	return p != nil && p.calls.unreachable() && p.witnessQueriedUs < ps.newestWaiterUs
}

// replicated reports whether the own log, up to a number that this replica holds, is on enough
// disks, or on the disks of all peers that are not cut off by evidence at least as recent as
// sinceUs. A peer that is down does not count as cut off: the remaining disks may be lost before
// it returns. A replica whose own copy does not count never accepts fewer disks.
func (ps *Peers) replicated(number uint64, sinceUs int64) bool {
	holders := ps.ownCopies()
	missing := !ps.ownCopyCounts()
	for _, p := range ps.byAddr {
		switch {
		case !ps.copyCounts(p):
		case p.hasAcked && p.ackedNumber >= number:
			holders.add(p.zone)
		case !p.cutOff(sinceUs):
			missing = true
		}
	}
	return ps.quorum.satisfied(holders) || !missing
}

// CanConfirm reports whether an add that arrives now can be expected to be confirmed. It returns
// false if the reachable replicas are too few for the quorum and another one may be down, or this
// replica's own copy does not count.
func (ps *Peers) CanConfirm() bool {
	reached := ps.ownCopies()
	down := !ps.ownCopyCounts()
	for addr, p := range ps.byAddr {
		switch {
		case !ps.copyCounts(p):
		case ps.reachable(p):
			reached.add(cmp.Or(p.zone, addr))
		case !p.seemsCut():
			down = true
		}
	}
	return !down || ps.quorum.satisfied(reached)
}

// Unconfirmable reports whether so many peers fail that an add of the own log cannot be expected to
// be confirmed. A replica whose own copy counts waits for the end of a failure, or for evidence of
// a partition; another one does not, so that its clients go on to a replica with a disk.
func (ps *Peers) Unconfirmable(number uint64) bool {
	if ps.ownCopyCounts() {
		return false
	}
	var expected copies
	for addr, p := range ps.byAddr {
		if ps.copyCounts(p) && (ps.reachable(p) || p.ackedNumber >= number) {
			expected.add(cmp.Or(p.zone, addr))
		}
	}
	return !ps.quorum.satisfied(expected)
}

// reachable reports whether a peer is expected to acknowledge the next run in time. A replica whose
// own copy does not count gives up a peer at the first failed call.
func (ps *Peers) reachable(p *peerState) bool {
	if !ps.ownCopyCounts() {
		return !p.calls.failing
	}
	return !p.calls.unreachable()
}
