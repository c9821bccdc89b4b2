// Anti-entropy: gossip sends an entry only a limited number of times, so a node that joins
// together with hundreds of others may never receive the entries of most of them. Each probe and
// acknowledgement therefore carries a digest of the sender's view, and a node whose own digest
// differs requests from the sender the entries of the buckets in which the two views differ.

package membership

import (
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
	"beechtide.org/beechtide/internal/transport"
)

const (
	// digestBuckets is the number of hash buckets by which two views are compared. With about
	// 600 peers, the answer for one changed entry has about twenty entries.
	digestBuckets = 32
	// entriesPerDatagram is the number of entries in one datagram; it keeps a datagram near 1 KB.
	entriesPerDatagram = 12
	// maxListDatagrams bounds the answer to one query. Further entries are returned by later
	// queries.
	maxListDatagrams = 40
	// joinQueryIntervalUs is the time between two queries while the answers contain new peers:
	// less than a tick, so that a query may follow each probe.
	joinQueryIntervalUs = 50_000
)

// toggleDigest adds an entry to the digest of its bucket, or removes it again (XOR). Dead peers are
// excluded, since nodes remove them from their views at different times.
func (v *View) toggleDigest(peer messages.Peer) {
	if peer.Status != messages.Dead {
		v.buckets[bucketOf(peer.Addr)] ^= entryDigest(peer)
	}
}

func bucketOf(addr string) int { return int(statesync.HashText(addr, "") % digestBuckets) }

// entryDigest must be the same in all releases. It ignores whether a peer is suspect, since
// suspicion is temporary.
func entryDigest(peer messages.Peer) uint64 {
	return statesync.Mix(statesync.HashText(peer.Addr, peer.MemberID) ^ statesync.Mix(uint64(peer.Incarnation)))
}

// digest returns the digest of the whole view; it is never 0.
func (v *View) digest() int64 {
	sum := uint64(1)
	for _, bucket := range v.buckets {
		sum = statesync.Mix(sum ^ bucket)
	}
	return int64(max(sum, 1))
}

// queryPeer requests from the sender of a message the entries in which its view differs from this
// one. It returns nil if the digests are equal or the interval since the last query has not
// passed.
func (v *View) queryPeer(msg messages.Probe, nowUs int64) []Datagram {
	if msg.Digest == 0 || msg.Digest == v.digest() || nowUs < v.nextQueryUs {
		return nil
	}
	v.nextQueryUs = nowUs + v.config.SyncIntervalUs
	query := messages.Probe{From: v.self, Gossip: []messages.Peer{}, Buckets: make([]int64, digestBuckets)}
	for i, bucket := range v.buckets {
		query.Buckets[i] = int64(bucket)
	}
	return []Datagram{{To: msg.From.Addr, Kind: transport.KindPeerQuery, Msg: query}}
}

// answerPeerQuery returns the entries of the buckets whose digests differ from those in the query,
// including dead peers.
func (v *View) answerPeerQuery(msg messages.Probe) []Datagram {
	if len(msg.Buckets) != digestBuckets {
		return nil
	}
	differs := func(addr string) bool {
		bucket := bucketOf(addr)
		return uint64(msg.Buckets[bucket]) != v.buckets[bucket]
	}
	states := v.selectStates(func(state *peerState) bool {
		return state.peer.Addr != msg.From.Addr && differs(state.peer.Addr)
	})
	// The order is random for each answer, so that entries beyond the limit are sent in a later
	// one.
	slices.SortFunc(states, func(a, b *peerState) int { return strings.Compare(a.peer.Addr, b.peer.Addr) })
	for i := len(states) - 1; i > 0; i-- {
		j := v.rand(i + 1)
		states[i], states[j] = states[j], states[i]
	}
	var answer []Datagram
	for chunk := range slices.Chunk(states[:min(len(states), maxListDatagrams*entriesPerDatagram)], entriesPerDatagram) {
		list := messages.Probe{From: v.self, Gossip: make([]messages.Peer, 0, len(chunk))}
		for _, state := range chunk {
			list.Gossip = append(list.Gossip, state.peer)
		}
		answer = append(answer, Datagram{To: msg.From.Addr, Kind: transport.KindPeerList, Msg: list})
	}
	return answer
}

// receivePeerList handles the answer to a query, after its entries were merged. While answers
// contain new peers, the next probe is sent at once and the query interval is shortened, so that
// the acknowledgement of the probe triggers the next query.
func (v *View) receivePeerList(peersBefore int, nowUs int64) {
	if len(v.peers) > peersBefore {
		v.nextQueryUs = min(v.nextQueryUs, nowUs+joinQueryIntervalUs)
		v.nextProbeUs = min(v.nextProbeUs, nowUs)
	}
}
