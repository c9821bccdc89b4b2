package tally

import (
	"cmp"
	"slices"
)

// peerState is the state of a peer as seen by this replica.
type peerState struct {
	peerPath
	zone        string
	ackedNumber uint64 // number up to which the peer has acknowledged this replica's log
	durable     bool   // the peer has a disk
	hasAcked    bool   // the peer has acknowledged a run, so that ackedNumber is valid
}

// PeerID names a peer.
type PeerID struct {
	Addr string
	Zone string // empty if the peer has not acknowledged a run yet
}

// Peers is what a replica knows about the others, and the rule by which their copies and its own
// make an add confirmed.
type Peers struct {
	zone    string // zone of this replica
	durable bool   // this replica has a disk
	quorum  Quorum

	byAddr  map[string]*peerState
	storage Storage
	waiting int // callers that wait for the acknowledgement of an add
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

func (ps *Peers) recordFailure(addr string, sentUs, nowUs int64) {
	if p := ps.byAddr[addr]; p != nil {
		p.recordFailure(sentUs, nowUs)
	}
}

func (ps *Peers) recordExamination(addr string, examination Examination) {
	if p := ps.byAddr[addr]; p != nil {
		p.recordExamination(examination)
	}
}

// Failing returns the peers to be examined: calls to them have failed since their last answer, and
// their copies count. A replica whose own copy does not count has no use for the result.
func (ps *Peers) Failing() []PeerID {
	if !ps.ownCopyCounts() {
		return nil
	}
	var failing []PeerID
	for addr, p := range ps.byAddr {
		if p.failing && ps.copyCounts(p) {
			failing = append(failing, PeerID{Addr: addr, Zone: p.zone})
		}
	}
	slices.SortFunc(failing, func(a, b PeerID) int { return cmp.Compare(a.Addr, b.Addr) })
	return failing
}

// Unreachable reports whether all calls to a peer have failed for long enough that it counts as
// unreachable.
func (ps *Peers) Unreachable(addr string) bool {
	p := ps.byAddr[addr]
	return p != nil && p.unreachable()
}

// BeginWait records that a caller begins to wait for the acknowledgement of an add.
func (ps *Peers) BeginWait() { ps.waiting++ }

// EndWait records that a caller that BeginWait was called for does not wait any more.
func (ps *Peers) EndWait() { ps.waiting-- }

// NeedsExamination reports whether peers are to be examined now: a caller waits, and a peer whose copy
// counts is unreachable. Evidence that the caller's add may be acknowledged by ages quickly.
func (ps *Peers) NeedsExamination() bool {
	if ps.waiting == 0 || !ps.ownCopyCounts() {
		return false
	}
	for _, p := range ps.byAddr {
		if p.unreachable() && ps.copyCounts(p) {
			return true
		}
	}
	return false
}

// replicated reports whether the own log, up to a number that this replica holds, is on enough
// disks, or on the disks of all peers but those that a probe sent at sinceUs or later has shown to be
// behind a partition. A peer that may be down does not count as cut off: the remaining disks may
// be lost before it returns. A replica whose own copy does not count never accepts fewer disks.
func (ps *Peers) replicated(number uint64, sinceUs int64) bool {
	holders := ps.ownCopies()
	missing := !ps.ownCopyCounts()
	for _, p := range ps.byAddr {
		switch {
		case !ps.copyCounts(p):
		case p.hasAcked && p.ackedNumber >= number:
			holders.add(p.zone)
		case !p.cut(sinceUs):
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
		case !p.cut(0):
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
		return !p.failing
	}
	return !p.unreachable()
}
