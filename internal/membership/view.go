package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Config holds the intervals and timeouts of a View, in microseconds.
type Config struct {
	ProbeIntervalUs int64 // between two probes
	// ProbeTimeoutUs is how long a probe waits for its acknowledgement before
	// the indirect probes, and as long again before the peer is suspect.
	ProbeTimeoutUs     int64
	SuspicionTimeoutUs int64 // from suspect to dead, with few peers
	ForgetUs           int64 // a dead peer is forgotten after this
	SyncIntervalUs     int64 // between two questions for the peers in which two views differ
}

// DefaultConfig suits links of a few milliseconds.
var DefaultConfig = Config{
	ProbeIntervalUs:    400_000,
	ProbeTimeoutUs:     250_000,
	SuspicionTimeoutUs: 900_000,
	ForgetUs:           60_000_000,
	SyncIntervalUs:     500_000,
}

// unknownGraceUs is how long after its own start a node waits to hear of an
// address before it takes the peer there for dead: it never hears of a peer that
// died before it started.
const unknownGraceUs = 2_000_000

// View is the membership as one node sees it. It is not safe for concurrent use.
type View struct {
	self      messages.Peer
	config    Config
	rand      func(n int) int // a number from 0 to n-1
	startedUs int64           // time of the first tick
	version   int64
	peers     map[string]*peerState // by address, without the node itself

	alive        map[messages.Role][]messages.Peer // lists of Alive, at aliveVersion
	aliveVersion int64

	seq           int64                   // of the newest probe
	pendingProbes map[int64]*pendingProbe // by sequence number
	nextProbeUs   int64
	probeOrder    []string // shuffled addresses of this round; nil: to be made anew
	probeIndex    int      // the next in probeOrder

	buckets     [digestBuckets]uint64 // digests of the entries that are not dead
	nextQueryUs int64                 // when another peer's view may be asked for again
}

// peerState is what the node knows of one peer.
type peerState struct {
	peer      messages.Peer
	addrHash  uint64
	sinceUs   int64 // when its status last changed
	transmits int   // how often its entry is still to be sent as gossip

	// unverified is set while the peer is suspect and has not been probed since it became so.
	unverified bool

	// outdated is set when the peer announces an older incarnation than the one
	// known here: it must hear of that to raise its own.
	outdated bool
}

// NewView returns the view of a node that knows no peer yet. The random numbers
// come from rand, which returns one from 0 to n-1.
func NewView(self messages.Peer, config Config, rand func(n int) int) *View {
	self.Status = messages.Alive
	v := &View{
		self:          self,
		config:        config,
		rand:          rand,
		peers:         map[string]*peerState{},
		alive:         map[messages.Role][]messages.Peer{},
		pendingProbes: map[int64]*pendingProbe{},
	}
	v.toggle(self)
	return v
}

// Self is the node's own entry.
func (v *View) Self() messages.Peer { return v.self }

// SetMemberID announces the name under which this node stores the registers.
func (v *View) SetMemberID(id string) {
	if v.self.MemberID != id {
		v.setSelf(id, v.self.Incarnation+1)
	}
}

// Version rises with every change of the view.
func (v *View) Version() int64 { return v.version }

// Alive lists the peers of a role that are alive or suspect, the node itself
// included, sorted by address. The list is shared until the view changes: callers must
// not write to it.
func (v *View) Alive(role messages.Role) []messages.Peer {
	if v.aliveVersion != v.version {
		clear(v.alive)
		v.aliveVersion = v.version
	}
	alive, known := v.alive[role]
	if !known {
		alive = slices.Clip(v.listAlive(role))
		v.alive[role] = alive
	}
	return alive
}

func (v *View) listAlive(role messages.Role) []messages.Peer {
	var alive []messages.Peer
	if v.self.Role == role {
		alive = append(alive, v.self)
	}
	for _, state := range v.peers {
		if state.peer.Role == role && state.peer.Status != messages.Dead {
			alive = append(alive, state.peer)
		}
	}
	slices.SortFunc(alive, func(a, b messages.Peer) int { return strings.Compare(a.Addr, b.Addr) })
	return alive
}

// DeadForUs tells for how many microseconds the peer at addr has been dead, or
// not been heard of since the node started; 0 where it is not dead.
func (v *View) DeadForUs(addr string, nowUs int64) int64 {
	if addr == v.self.Addr {
		return 0
	}
	state := v.peers[addr]
	if state == nil {
		return max(nowUs-v.startedUs-unknownGraceUs, 0)
	}
	if state.peer.Status != messages.Dead {
		return 0
	}
	return max(nowUs-state.sinceUs, 1)
}

// Knows tells whether the view has an entry for addr, dead or alive.
func (v *View) Knows(addr string) bool { return v.peers[addr] != nil }

// Tick advances the view to nowUs and returns what is to be sent: it ends probes
// and suspicions that timed out, forgets the long dead, and starts the next
// probe when it is due, and those of suspects.
func (v *View) Tick(nowUs int64) []Datagram {
	if v.startedUs == 0 {
		v.startedUs = nowUs
	}
	out := v.expireProbes(nowUs)
	v.expirePeers(nowUs)
	out = append(out, v.verifySuspects(nowUs)...)
	return append(out, v.startProbe(nowUs)...)
}

// Waits reports whether an acknowledgement or a refutation is waited for, so that Tick is to be
// called often.
func (v *View) Waits() bool {
	if len(v.pendingProbes) > 0 {
		return true
	}
	for _, state := range v.peers {
		if state.peer.Status == messages.Suspect {
			return true
		}
	}
	return false
}

// NextProbeUs is when the next probe is due.
func (v *View) NextProbeUs() int64 { return v.nextProbeUs }

// expirePeers declares dead the suspects that did not refute in time, and
// forgets the peers that have been dead for long.
func (v *View) expirePeers(nowUs int64) {
	for addr, state := range v.peers {
		if state.peer.Status == messages.Suspect && !state.unverified && nowUs-state.sinceUs >= v.suspicionTimeoutUs() {
			dead := state.peer
			dead.Status = messages.Dead
			v.replace(state, dead, nowUs)
		}
		if state.peer.Status == messages.Dead && nowUs-state.sinceUs >= v.config.ForgetUs {
			delete(v.peers, addr)
			v.probeOrder = nil
		}
	}
}

// The suspicion timeout grows with the number of digits, in binary, of the
// number of peers, from suspicionScale of them on: a refutation takes more hops
// among more peers.
const suspicionScale = 6

func (v *View) suspicionTimeoutUs() int64 {
	return v.config.SuspicionTimeoutUs * int64(max(suspicionScale, bits.Len(uint(len(v.peers))))) / suspicionScale
}

// setStatus changes a peer's status at its present incarnation.
func (v *View) setStatus(peer messages.Peer, status messages.Status, nowUs int64) {
	peer.Status = status
	v.merge(peer, nowUs)
}

// merge takes in an entry about a peer, from itself or from gossip.
func (v *View) merge(peer messages.Peer, nowUs int64) {
	switch {
	case peer.Addr == "":
	case peer.Addr == v.self.Addr:
		v.refute(peer)
	case v.peers[peer.Addr] == nil:
		v.add(peer, nowUs)
	default:
		v.update(v.peers[peer.Addr], peer, nowUs)
	}
}

// refute raises the node's own incarnation above that of a claim that it is
// suspect or dead, or of an entry from before its restart.
func (v *View) refute(claim messages.Peer) {
	if claim.Incarnation > v.self.Incarnation || claim.Incarnation == v.self.Incarnation && claim.Status != messages.Alive {
		v.setSelf(v.self.MemberID, claim.Incarnation+1)
	}
}

// setSelf changes the node's own entry.
func (v *View) setSelf(memberID string, incarnation int64) {
	v.toggle(v.self)
	v.self.MemberID, v.self.Incarnation = memberID, incarnation
	v.toggle(v.self)
	v.version++
}

// add takes in a peer not known so far, unless it is dead already.
func (v *View) add(peer messages.Peer, nowUs int64) {
	if peer.Status == messages.Dead {
		return
	}
	v.peers[peer.Addr] = &peerState{peer: peer, addrHash: statesync.HashText(peer.Addr, ""), sinceUs: nowUs, transmits: v.transmitLimit()}
	v.toggle(peer)
	v.probeOrder = nil
	v.version++
}

// update replaces what is known of a peer if the entry supersedes it.
func (v *View) update(state *peerState, peer messages.Peer, nowUs int64) {
	if peer.Incarnation < state.peer.Incarnation && peer.Status == messages.Alive {
		state.outdated = true
	}
	if peer.Status == messages.Dead && state.peer.Status != messages.Dead {
		// A peer does not die here at the word of another: it becomes suspect and is probed. Else
		// the nodes of a partition that has healed, which take all others for dead, would
		// spread that faster than hundreds of nodes can refute it.
		peer.Status = messages.Suspect
	}
	if supersedes(peer, state.peer) {
		v.replace(state, peer, nowUs)
	}
}

// replace replaces what is known of a peer.
func (v *View) replace(state *peerState, peer messages.Peer, nowUs int64) {
	if peer.Status != state.peer.Status {
		state.sinceUs = nowUs
	}
	v.toggle(state.peer)
	state.peer = peer
	v.toggle(peer)
	state.transmits = v.transmitLimit()
	state.unverified = peer.Status == messages.Suspect
	v.version++
}

// supersedes tells whether entry a of a peer replaces entry b: the higher
// incarnation does, and at the same one the worse status.
func supersedes(a, b messages.Peer) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return statusRank(a.Status) > statusRank(b.Status)
}

func statusRank(s messages.Status) int {
	switch s {
	case messages.Dead:
		return 2
	case messages.Suspect:
		return 1
	default:
		return 0
	}
}

// Bounds of gossip.
const (
	minTransmits  = 6
	maxGossip     = 6   // entries in one message
	maxJoinGossip = 100 // entries in a message to a peer not known before

	maxGossipSalt = 1 << 30
)

// transmitLimit is how often an entry is sent as gossip after a change. It grows
// with the logarithm of the number of peers, as the number of rounds does in
// which gossip reaches all of them.
func (v *View) transmitLimit() int { return max(minTransmits, 2*bits.Len(uint(len(v.peers)))) }

// gossip selects the entries for a message to a peer, nil where it is not known
// or not the one to be informed: first the peer's own entry if there is
// something to refute in it, then the entries that were sent least often since
// their last change, as many as fit.
func (v *View) gossip(to *peerState) []messages.Peer {
	changed := v.states(func(state *peerState) bool { return state != to && state.transmits > 0 })
	return append(ownEntry(to), v.transmit(changed, maxGossip)...)
}

// joinGossip selects the entries for a peer not known before: also those that
// have not changed for long.
func (v *View) joinGossip(to *peerState) []messages.Peer {
	all := v.states(func(state *peerState) bool { return state != to })
	return append(ownEntry(to), v.transmit(all, maxJoinGossip)...)
}

// ownEntry gives the receiver's own entry if it should refute it, and counts it
// as sent.
func ownEntry(to *peerState) []messages.Peer {
	if to == nil || to.peer.Status == messages.Alive && !to.outdated {
		return []messages.Peer{}
	}
	to.outdated = false
	return []messages.Peer{to.peer}
}

func (v *View) states(wanted func(*peerState) bool) []*peerState {
	var states []*peerState
	for _, state := range v.peers {
		if wanted(state) {
			states = append(states, state)
		}
	}
	return states
}

// transmit gives up to limit entries, those with the most transmits left first,
// and counts them as sent. Equal ones come in an order that is random for each message:
// in the same order everywhere all nodes would send the first of them only.
func (v *View) transmit(states []*peerState, limit int) []messages.Peer {
	salt := uint64(v.rand(maxGossipSalt))
	order := func(state *peerState) uint64 { return statesync.Mix(state.addrHash ^ salt) }
	slices.SortFunc(states, func(a, b *peerState) int {
		if a.transmits != b.transmits {
			return cmp.Compare(b.transmits, a.transmits)
		}
		return cmp.Compare(order(a), order(b))
	})
	var entries []messages.Peer
	for _, state := range states[:min(limit, len(states))] {
		state.transmits--
		entries = append(entries, state.peer)
	}
	return entries
}
