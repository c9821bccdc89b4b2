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
	// ProbeTimeoutUs is the time from a probe to the indirect probes if it is not
	// acknowledged, and from those until the peer becomes suspect.
	ProbeTimeoutUs     int64
	SuspicionTimeoutUs int64 // from suspect to dead, with few peers
	ForgetUs           int64 // from dead to the removal of the entry
	SyncIntervalUs     int64 // between two queries for the entries in which two views differ
}

// DefaultConfig suits links of a few milliseconds.
var DefaultConfig = Config{
	ProbeIntervalUs:    400_000,
	ProbeTimeoutUs:     250_000,
	SuspicionTimeoutUs: 900_000,
	ForgetUs:           60_000_000,
	SyncIntervalUs:     500_000,
}

// unknownAddrGraceUs is the time after its own start after which a node reports an
// address without an entry as dead. Such an entry may never arrive: gossip about
// a peer that died before this node started is ignored.
const unknownAddrGraceUs = 2_000_000

// View is the membership as one node sees it. It is not safe for concurrent use.
type View struct {
	self      messages.Peer
	config    Config
	rand      func(n int) int // returns a number from 0 to n-1
	startedUs int64           // time of the first tick
	version   int64
	peers     map[string]*peerState // by address, excluding the node itself

	alive        map[messages.Role][]messages.Peer // cached results of Alive, valid at aliveVersion
	aliveVersion int64

	seq           int64                   // of the newest probe
	pendingProbes map[int64]*pendingProbe // by sequence number
	nextProbeUs   int64
	probeOrder    []string // shuffled addresses of this round; nil: to be reshuffled
	probeIndex    int      // index of the next target in probeOrder

	buckets     [digestBuckets]uint64 // digests of the entries that are not dead
	nextQueryUs int64                 // earliest time of the next query
}

// peerState is the local state of one peer.
type peerState struct {
	peer          messages.Peer
	addrHash      uint64
	statusSinceUs int64 // time of the last status change
	transmitsLeft int   // remaining number of times to send its entry as gossip

	// unverified is set while the peer is suspect and has not been probed since it became so.
	unverified bool
	// deathProbes is how many probes have told the peer that it is marked dead here.
	deathProbes int

	// outdated is set when the peer announces an older incarnation than the one
	// recorded here: the recorded entry must be sent to it, so that it raises its own.
	outdated bool
}

// NewView returns the view of a node that has no entry of a peer yet. rand returns a
// random number from 0 to n-1.
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
	v.toggleDigest(self)
	return v
}

// Self returns the node's own entry.
func (v *View) Self() messages.Peer { return v.self }

// SetMemberID announces the ID under which this node stores the registers.
func (v *View) SetMemberID(id string) {
	if v.self.MemberID != id {
		v.setSelf(id, v.self.Incarnation+1)
	}
}

// Version returns a number that increases with every change of the view.
func (v *View) Version() int64 { return v.version }

// Alive returns the peers of a role that are alive or suspect, including the node
// itself, sorted by address. The slice is cached until the view changes: callers must
// not modify it.
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

// DeadForUs returns for how many microseconds the peer at addr has been dead; 0 if it
// is not dead. An address without an entry counts as dead from unknownAddrGraceUs after
// the start of this node.
func (v *View) DeadForUs(addr string, nowUs int64) int64 {
	if addr == v.self.Addr {
		return 0
	}
	state := v.peers[addr]
	if state == nil {
		return max(nowUs-v.startedUs-unknownAddrGraceUs, 0)
	}
	if state.peer.Status != messages.Dead {
		return 0
	}
	return max(nowUs-state.statusSinceUs, 1)
}

// HasEntry reports whether the view has an entry for addr, dead or alive.
func (v *View) HasEntry(addr string) bool { return v.peers[addr] != nil }

// Tick advances the view to nowUs and returns the datagrams to send. It expires probes
// and suspicions that timed out, removes peers that have been dead for ForgetUs, probes
// new suspects and those marked dead, and starts the next regular probe if it is due.
func (v *View) Tick(nowUs int64) []Datagram {
	if v.startedUs == 0 {
		v.startedUs = nowUs
	}
	out := v.expireProbes(nowUs)
	v.expirePeers(nowUs)
	out = append(out, v.probeUnverified(nowUs)...)
	return append(out, v.probeNext(nowUs)...)
}

// AwaitingReply reports whether an acknowledgement or a refutation is pending, in which case Tick
// must be called at short intervals.
func (v *View) AwaitingReply() bool {
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

// NextProbeUs returns when the next probe is due.
func (v *View) NextProbeUs() int64 { return v.nextProbeUs }

// expirePeers marks dead the suspects that did not refute in time, and removes the
// peers that have been dead for ForgetUs.
func (v *View) expirePeers(nowUs int64) {
	for addr, state := range v.peers {
		if state.peer.Status == messages.Suspect && !state.unverified && nowUs-state.statusSinceUs >= v.suspicionTimeoutUs() {
			dead := state.peer
			dead.Status = messages.Dead
			v.replaceEntry(state, dead, nowUs)
		}
		if state.peer.Status == messages.Dead && nowUs-state.statusSinceUs >= v.config.ForgetUs {
			delete(v.peers, addr)
			v.probeOrder = nil
		}
	}
}

// The suspicion timeout grows with the bit length of the number of peers, once that
// exceeds suspicionScale: among more peers, a refutation takes more hops.
const suspicionScale = 6

func (v *View) suspicionTimeoutUs() int64 {
	return v.config.SuspicionTimeoutUs * int64(max(suspicionScale, bits.Len(uint(len(v.peers))))) / suspicionScale
}

// setStatus merges an entry with the given status at the peer's incarnation.
func (v *View) setStatus(peer messages.Peer, status messages.Status, nowUs int64) {
	peer.Status = status
	v.merge(peer, nowUs)
}

// merge applies an entry about a peer, from a message of that peer, from gossip or from
// a local decision.
func (v *View) merge(peer messages.Peer, nowUs int64) {
	switch {
	case peer.Addr == "":
	case peer.Addr == v.self.Addr:
		v.refute(peer)
	case v.peers[peer.Addr] == nil:
		v.addPeer(peer, nowUs)
	default:
		v.updatePeer(v.peers[peer.Addr], peer, nowUs)
	}
}

// refute raises the node's own incarnation above that of an entry that marks it
// suspect or dead, or of an entry from before its restart.
func (v *View) refute(entry messages.Peer) {
	if entry.Incarnation > v.self.Incarnation || entry.Incarnation == v.self.Incarnation && entry.Status != messages.Alive {
		v.setSelf(v.self.MemberID, entry.Incarnation+1)
	}
}

// setSelf changes the node's own entry.
func (v *View) setSelf(memberID string, incarnation int64) {
	v.toggleDigest(v.self)
	v.self.MemberID, v.self.Incarnation = memberID, incarnation
	v.toggleDigest(v.self)
	v.version++
}

// addPeer creates the entry of a new peer, unless the peer is dead.
func (v *View) addPeer(peer messages.Peer, nowUs int64) {
	if peer.Status == messages.Dead {
		return
	}
	v.peers[peer.Addr] = &peerState{peer: peer, addrHash: statesync.HashText(peer.Addr, ""), statusSinceUs: nowUs, transmitsLeft: v.transmitLimit()}
	v.toggleDigest(peer)
	v.probeOrder = nil
	v.version++
}

// updatePeer replaces a peer's entry if the received one supersedes it.
func (v *View) updatePeer(state *peerState, peer messages.Peer, nowUs int64) {
	if peer.Incarnation < state.peer.Incarnation && peer.Status == messages.Alive {
		state.outdated = true
	}
	if peer.Status == messages.Dead && state.peer.Status != messages.Dead {
		// A received entry never marks a peer dead directly: the peer becomes suspect and is
		// probed. Otherwise, after a partition heals, the nodes of one side, which have marked
		// all others dead, would spread those entries faster than hundreds of nodes can refute
		// them.
		peer.Status = messages.Suspect
	}
	if supersedes(peer, state.peer) {
		v.replaceEntry(state, peer, nowUs)
	}
}

// replaceEntry replaces the entry of a peer.
func (v *View) replaceEntry(state *peerState, peer messages.Peer, nowUs int64) {
	if peer.Status != state.peer.Status {
		state.statusSinceUs = nowUs
	}
	v.toggleDigest(state.peer)
	state.peer = peer
	v.toggleDigest(peer)
	state.transmitsLeft = v.transmitLimit()
	state.unverified = peer.Status == messages.Suspect
	state.deathProbes = 0
	v.version++
}

// supersedes reports whether entry a of a peer replaces entry b: it has a higher
// incarnation, or the same incarnation and a worse status.
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

// Limits of gossip.
const (
	minTransmits         = 6
	maxGossipEntries     = 6   // entries in one message
	maxJoinGossipEntries = 100 // entries in a message to a new peer

	gossipSaltRange = 1 << 30
)

// transmitLimit returns how many times an entry is sent as gossip after a change. It
// grows with the logarithm of the number of peers, as does the number of rounds that
// gossip needs to reach all of them.
func (v *View) transmitLimit() int { return max(minTransmits, 2*bits.Len(uint(len(v.peers)))) }

// gossip selects the entries for a message to a peer: first the peer's own entry if
// it should refute it, then up to maxGossipEntries entries, those sent least often since
// their last change first. The argument is nil if the receiver has no entry here or
// should not get its own one, as in messages of indirect probes.
func (v *View) gossip(to *peerState) []messages.Peer {
	changed := v.selectStates(func(state *peerState) bool { return state != to && state.transmitsLeft > 0 })
	return append(refutableEntry(to), v.selectGossip(changed, maxGossipEntries)...)
}

// joinGossip selects the entries for a new peer, including entries that have not
// changed recently.
func (v *View) joinGossip(to *peerState) []messages.Peer {
	others := v.selectStates(func(state *peerState) bool { return state != to })
	return append(refutableEntry(to), v.selectGossip(others, maxJoinGossipEntries)...)
}

// refutableEntry returns the receiver's own entry if the receiver should refute it, and
// clears outdated.
func refutableEntry(to *peerState) []messages.Peer {
	if to == nil || to.peer.Status == messages.Alive && !to.outdated {
		return []messages.Peer{}
	}
	to.outdated = false
	return []messages.Peer{to.peer}
}

func (v *View) selectStates(match func(*peerState) bool) []*peerState {
	var states []*peerState
	for _, state := range v.peers {
		if match(state) {
			states = append(states, state)
		}
	}
	return states
}

// selectGossip returns up to limit entries, those with the most transmits left first, and
// counts them as sent. Ties are broken in an order that is random for each message: with
// a fixed order all nodes would send the same few entries.
func (v *View) selectGossip(states []*peerState, limit int) []messages.Peer {
	salt := uint64(v.rand(gossipSaltRange))
	tieBreak := func(state *peerState) uint64 { return statesync.Mix(state.addrHash ^ salt) }
	slices.SortFunc(states, func(a, b *peerState) int {
		if a.transmitsLeft != b.transmitsLeft {
			return cmp.Compare(b.transmitsLeft, a.transmitsLeft)
		}
		return cmp.Compare(tieBreak(a), tieBreak(b))
	})
	var entries []messages.Peer
	for _, state := range states[:min(limit, len(states))] {
		state.transmitsLeft--
		entries = append(entries, state.peer)
	}
	return entries
}
