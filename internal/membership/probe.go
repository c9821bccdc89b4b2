package membership

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// indirectProbes is the number of relays that receive a request to probe a peer that
// did not acknowledge in time.
const indirectProbes = 2

// Datagram is a message for the caller of a View to send. It may get lost.
//
// A probe is a message of KindProbe, answered by one of KindAck with the same Seq. In
// a request for an indirect probe, Of is the address of the peer to probe. The
// relay's probe and its acknowledgement carry the requester's address in
// Through; in the relay's acknowledgement to the requester, Of names the peer
// that acknowledged.
type Datagram struct {
	To   string
	Kind int
	Msg  messages.Probe
}

// pendingProbe is a probe that has not been acknowledged yet.
type pendingProbe struct {
	target   string
	sentUs   int64
	indirect bool // the indirect probes have been sent, or none are to be sent
}

// JoinProbe returns a probe to an address that has no entry in the view yet, such as a
// seed.
func (v *View) JoinProbe(addr string) Datagram {
	v.seq++
	return v.newProbe(addr, messages.Probe{Seq: v.seq, Gossip: v.joinGossip(nil)})
}

func (v *View) newProbe(to string, msg messages.Probe) Datagram {
	msg.From, msg.Digest = v.self, v.digest()
	return Datagram{To: to, Kind: transport.KindProbe, Msg: msg}
}

func (v *View) newAck(to string, msg messages.Probe) Datagram {
	msg.From, msg.Digest = v.self, v.digest()
	return Datagram{To: to, Kind: transport.KindAck, Msg: msg}
}

// probeNext probes the next peer if a probe is due.
func (v *View) probeNext(nowUs int64) []Datagram {
	if nowUs < v.nextProbeUs {
		return nil
	}
	v.nextProbeUs = nowUs + v.config.ProbeIntervalUs
	target := v.nextProbeTarget()
	if target == "" {
		return nil
	}
	v.seq++
	v.pendingProbes[v.seq] = &pendingProbe{target: target, sentUs: nowUs}
	return []Datagram{v.newProbe(target, messages.Probe{Seq: v.seq, Gossip: v.gossip(v.peers[target])})}
}

// maxVerifyProbesPerTick bounds the probes of suspect and dead peers in one tick: after a partition of
// a large fleet heals, hundreds of peers become suspect at once.
const maxVerifyProbesPerTick = 20

// deathProbeDelaysUs are the times, from the moment at which a node has marked a peer dead, at which it
// tells the peer so, in microseconds. The path to the peer may become whole while the suspicion times
// out, or before the entry has spread; the peer would then learn of it only by the gossip of others.
var deathProbeDelaysUs = [...]int64{0, 1_000_000, 2_000_000}

// needsTelling reports whether a peer is to be probed with its entry: it has become suspect, in most
// cases because of an entry received from another node, or it is marked dead and the next of
// deathProbeDelaysUs has passed.
func (s *peerState) needsTelling(nowUs int64) bool {
	switch s.peer.Status {
	case messages.Suspect:
		return s.unverified
	case messages.Dead:
		return s.deathProbes < len(deathProbeDelaysUs) && nowUs-s.statusSinceUs >= deathProbeDelaysUs[s.deathProbes]
	}
	return false
}

// probeUnverified probes peers that are suspect or dead here and have not been told so. The probe
// carries the entry, so that a live peer refutes it at once in its acknowledgement.
func (v *View) probeUnverified(nowUs int64) []Datagram {
	untold := v.selectStates(func(state *peerState) bool { return state.needsTelling(nowUs) })
	slices.SortFunc(untold, func(a, b *peerState) int { return cmp.Compare(a.statusSinceUs, b.statusSinceUs) })
	var out []Datagram
	for _, state := range untold[:min(len(untold), maxVerifyProbesPerTick)] {
		state.unverified = false
		if state.peer.Status == messages.Dead {
			state.deathProbes++
		}
		v.seq++
		v.pendingProbes[v.seq] = &pendingProbe{target: state.peer.Addr, sentUs: nowUs, indirect: true}
		out = append(out, v.newProbe(state.peer.Addr, messages.Probe{Seq: v.seq, Gossip: refutableEntry(state)}))
	}
	return out
}

// nextProbeTarget iterates over all peers in random order, reshuffled each round. Dead
// peers are probed as well, so that the two sides of a healed partition rediscover each
// other.
func (v *View) nextProbeTarget() string {
	if v.probeIndex >= len(v.probeOrder) {
		v.shuffleProbeOrder()
	}
	if len(v.probeOrder) == 0 {
		return ""
	}
	v.probeIndex++
	return v.probeOrder[v.probeIndex-1]
}

func (v *View) shuffleProbeOrder() {
	v.probeIndex = 0
	v.probeOrder = nil
	for addr := range v.peers {
		v.probeOrder = append(v.probeOrder, addr)
	}
	slices.Sort(v.probeOrder)
	for i := len(v.probeOrder) - 1; i > 0; i-- {
		j := v.rand(i + 1)
		v.probeOrder[i], v.probeOrder[j] = v.probeOrder[j], v.probeOrder[i]
	}
}

// expireProbes sends indirect probes for the probes that were not acknowledged in time,
// and marks as suspect the peers that did not acknowledge those either.
func (v *View) expireProbes(nowUs int64) []Datagram {
	var out []Datagram
	for seq, pending := range v.pendingProbes {
		state := v.peers[pending.target]
		if state == nil {
			delete(v.pendingProbes, seq)
			continue
		}
		age := nowUs - pending.sentUs
		if !pending.indirect && age >= v.config.ProbeTimeoutUs {
			pending.indirect = true
			out = append(out, v.requestIndirectProbes(seq, pending.target)...)
		}
		if age >= 2*v.config.ProbeTimeoutUs {
			delete(v.pendingProbes, seq)
			if state.peer.Status == messages.Alive {
				v.setStatus(state.peer, messages.Suspect, nowUs)
			}
		}
	}
	return out
}

func (v *View) requestIndirectProbes(seq int64, target string) []Datagram {
	var out []Datagram
	for _, relay := range v.pickAlive(indirectProbes, target) {
		out = append(out, v.newProbe(relay, messages.Probe{Seq: seq, Of: target, Gossip: v.gossip(nil)}))
	}
	return out
}

// pickAlive returns the addresses of up to n random live peers, excluding the one at except.
func (v *View) pickAlive(n int, except string) []string {
	var alive []string
	for addr, state := range v.peers {
		if addr != except && state.peer.Status == messages.Alive {
			alive = append(alive, addr)
		}
	}
	slices.Sort(alive)
	for i := 0; i < n && i < len(alive); i++ {
		j := i + v.rand(len(alive)-i)
		alive[i], alive[j] = alive[j], alive[i]
	}
	return alive[:min(n, len(alive))]
}

// Receive handles a message from another node and returns the datagrams to send.
func (v *View) Receive(kind int, msg messages.Probe, nowUs int64) []Datagram {
	peersBefore, hadEntry := len(v.peers), v.HasEntry(msg.From.Addr)
	v.setStatus(msg.From, messages.Alive, nowUs)
	for _, peer := range msg.Gossip {
		v.merge(peer, nowUs)
	}
	switch kind {
	case transport.KindProbe:
		return append(v.queryPeer(msg, nowUs), v.receiveProbe(msg, hadEntry))
	case transport.KindAck:
		return append(v.queryPeer(msg, nowUs), v.receiveAck(msg, nowUs)...)
	case transport.KindPeerQuery:
		return v.answerPeerQuery(msg)
	case transport.KindPeerList:
		v.receivePeerList(peersBefore, nowUs)
	}
	return nil
}

func (v *View) receiveProbe(msg messages.Probe, hadEntry bool) Datagram {
	from := msg.From.Addr
	switch {
	case msg.Of != "" && msg.Of != v.self.Addr: // a request to probe another peer
		return v.newProbe(msg.Of, messages.Probe{Seq: msg.Seq, Through: from, Gossip: v.gossip(nil)})
	case msg.Through != "": // a probe sent by a relay
		return v.newAck(from, messages.Probe{Seq: msg.Seq, Through: msg.Through, Gossip: v.gossip(nil)})
	case hadEntry, msg.Digest != 0: // a sender with a digest queries the entries it lacks
		return v.newAck(from, messages.Probe{Seq: msg.Seq, Gossip: v.gossip(v.peers[from])})
	default:
		return v.newAck(from, messages.Probe{Seq: msg.Seq, Gossip: v.joinGossip(v.peers[from])})
	}
}

func (v *View) receiveAck(msg messages.Probe, nowUs int64) []Datagram {
	if msg.Through != "" && msg.Through != v.self.Addr { // relay it to the requester of the indirect probe
		return []Datagram{v.newAck(msg.Through, messages.Probe{Seq: msg.Seq, Of: msg.From.Addr, Gossip: []messages.Peer{msg.From}})}
	}
	pending := v.pendingProbes[msg.Seq]
	if pending == nil {
		return nil
	}
	direct, indirect := pending.target == msg.From.Addr, pending.target == msg.Of
	if !direct && !indirect {
		return nil
	}
	delete(v.pendingProbes, msg.Seq)
	if !direct {
		v.clearSuspicion(pending.target, nowUs)
	}
	return nil
}

// clearSuspicion marks a suspect peer alive under the next incarnation, after a relay
// has forwarded its acknowledgement.
func (v *View) clearSuspicion(addr string, nowUs int64) {
	state := v.peers[addr]
	if state == nil || state.peer.Status != messages.Suspect {
		return
	}
	peer := state.peer
	peer.Incarnation++
	v.setStatus(peer, messages.Alive, nowUs)
}
