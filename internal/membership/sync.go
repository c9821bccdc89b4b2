// Anti-entropy: gossip sends an entry a few times only, so a node that joins together with
// hundreds of others may never hear of most of them. Each probe and acknowledgement therefore
// carries a digest of the sender's view, and a node that sees another digest than its own asks
// the sender for the entries of those buckets in which the two views differ.

package membership

import (
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
	"beechtide.org/beechtide/internal/transport"
)

const (
	// digestBuckets is how many parts a view is compared in. With some 600 peers the answer
	// about one that has changed has about twenty entries.
	digestBuckets = 32
	// listEntries is how many entries a datagram has, so that it is not much over 1 KB.
	listEntries = 12
	// maxListDatagrams bounds the answer to one question. What is left follows with the next.
	maxListDatagrams = 40
	// joiningIntervalUs is the time between two questions while the answers bring new peers:
	// less than a tick, so that a question may follow each probe.
	joiningIntervalUs = 50_000
)

// toggle adds an entry to the digest of its bucket, or takes it out again. Dead peers are not
// part of it: one node forgets them sooner than another.
func (v *View) toggle(peer messages.Peer) {
	if peer.Status != messages.Dead {
		v.buckets[bucketOf(peer.Addr)] ^= entryDigest(peer)
	}
}

func bucketOf(addr string) int { return int(statesync.HashText(addr, "") % digestBuckets) }

// entryDigest must be the same in all releases. A suspect counts as alive, since suspicion
// passes.
func entryDigest(peer messages.Peer) uint64 {
	return statesync.Mix(statesync.HashText(peer.Addr, peer.MemberID) ^ statesync.Mix(uint64(peer.Incarnation)))
}

// digest is the digest of the whole view; never 0.
func (v *View) digest() int64 {
	sum := uint64(1)
	for _, bucket := range v.buckets {
		sum = statesync.Mix(sum ^ bucket)
	}
	return int64(max(sum, 1))
}

// query asks the sender of a message for the entries in which its view differs from this
// one, unless the last question was a moment ago.
func (v *View) query(msg messages.Probe, nowUs int64) []Datagram {
	if msg.Digest == 0 || msg.Digest == v.digest() || nowUs < v.nextQueryUs {
		return nil
	}
	v.nextQueryUs = nowUs + v.config.SyncIntervalUs
	question := messages.Probe{From: v.self, Gossip: []messages.Peer{}, Buckets: make([]int64, digestBuckets)}
	for i, bucket := range v.buckets {
		question.Buckets[i] = int64(bucket)
	}
	return []Datagram{{To: msg.From.Addr, Kind: transport.KindPeerQuery, Msg: question}}
}

// answerQuery lists the entries of the buckets that differ from those of a question, dead
// ones included.
func (v *View) answerQuery(msg messages.Probe) []Datagram {
	if len(msg.Buckets) != digestBuckets {
		return nil
	}
	differs := func(addr string) bool {
		bucket := bucketOf(addr)
		return uint64(msg.Buckets[bucket]) != v.buckets[bucket]
	}
	states := v.states(func(state *peerState) bool {
		return state.peer.Addr != msg.From.Addr && differs(state.peer.Addr)
	})
	// In an order that differs by the receiver and the time, so that what is cut off now
	// comes with a later answer.
	slices.SortFunc(states, func(a, b *peerState) int { return strings.Compare(a.peer.Addr, b.peer.Addr) })
	for i := len(states) - 1; i > 0; i-- {
		j := v.rand(i + 1)
		states[i], states[j] = states[j], states[i]
	}
	var answer []Datagram
	for part := range slices.Chunk(states[:min(len(states), maxListDatagrams*listEntries)], listEntries) {
		list := messages.Probe{From: v.self, Gossip: make([]messages.Peer, 0, len(part))}
		for _, state := range part {
			list.Gossip = append(list.Gossip, state.peer)
		}
		answer = append(answer, Datagram{To: msg.From.Addr, Kind: transport.KindPeerList, Msg: list})
	}
	return answer
}

// receiveList takes an answer. While answers bring new peers, the next probe, and with its
// acknowledgement the next question, follow soon.
func (v *View) receiveList(peersBefore int, nowUs int64) {
	if len(v.peers) > peersBefore {
		v.nextQueryUs = min(v.nextQueryUs, nowUs+joiningIntervalUs)
		v.nextProbeUs = min(v.nextProbeUs, nowUs)
	}
}
