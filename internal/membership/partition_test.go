package membership

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// splitFleet cuts all links between the nodes below cut and the others, or restores them if split
// is false.
func (n *network) splitFleet(nodes, cut int, split bool) {
	for i := range nodes {
		for j := range nodes {
			if (i < cut) != (j < cut) {
				n.cut[[2]string{fmt.Sprintf("n%d", i), fmt.Sprintf("n%d", j)}] = split
			}
		}
	}
}

// maxMarkedDead considers the nodes from first up to but excluding last, and returns the largest
// number of them that any one of them has marked dead.
func (n *network) maxMarkedDead(first, last int) int {
	maxDead := 0
	for i := first; i < last; i++ {
		dead := 0
		for j := first; j < last; j++ {
			state := n.views[fmt.Sprintf("n%d", i)].peers[fmt.Sprintf("n%d", j)]
			if i != j && state.peer.Status == messages.Dead {
				dead++
			}
		}
		maxDead = max(maxDead, dead)
	}
	return maxDead
}

// The nodes of a zone that was cut off mark all others dead. When the partition heals, their gossip
// must not make nodes that were connected all the time mark each other dead.
func TestHealedPartitionMarksNoConnectedPeerDead(t *testing.T) {
	const nodes, cutOff = 310, 60
	net := startLargeFleet(nodes, 4*secondUs)
	net.splitFleet(nodes, cutOff, true)
	net.run(6 * secondUs)
	net.splitFleet(nodes, cutOff, false)
	const healed = 5 * secondUs
	maxDead := 0
	for untilUs := net.nowUs + healed; net.nowUs < untilUs; {
		net.run(tickUs)
		maxDead = max(maxDead, net.maxMarkedDead(cutOff, nodes), net.maxMarkedDead(0, cutOff))
	}
	must.Zero(t, maxDead)
	net.mustAllSeeAlive(t, nodes)
}

// markDead cuts the link between n0 and n1 until n0 has marked n1 dead. There are no regular probes
// afterwards. It returns n0's view and the incarnation under which n1 was marked dead.
func markDead(net *network, mendAtExpiry bool) (v *View, incarnation int64) {
	v = net.views["n0"]
	link := [2]string{"n0", "n1"}
	net.cut[link] = true
	for v.peers["n1"].peer.Status == messages.Alive {
		net.run(tickUs)
	}
	incarnation = v.peers["n1"].peer.Incarnation
	for v.peers["n1"].peer.Status == messages.Suspect {
		v.nextProbeUs, net.views["n1"].nextProbeUs = net.nowUs+10*secondUs, net.nowUs+10*secondUs
		net.cut[link] = !mendAtExpiry || net.nowUs-v.peers["n1"].statusSinceUs < v.suspicionTimeoutUs()
		net.run(tickUs)
	}
	return v, incarnation
}

// Guards against a live peer that stays dead in one view for many seconds: the path to it became whole
// while its suspicion timed out, and the claim reached it only by the gossip of others.
func TestPeerMarkedDeadIsToldAtOnce(t *testing.T) {
	net := newNetwork(2)
	net.run(2 * secondUs)
	v, incarnation := markDead(net, true)
	must.Eq(t, messages.Alive, v.peers["n1"].peer.Status)
	must.Greater(t, incarnation, v.peers["n1"].peer.Incarnation)
}

// The same where the path becomes whole within two seconds afterwards.
func TestPeerMarkedDeadIsToldAgain(t *testing.T) {
	for _, laterUs := range []int64{secondUs / 2, 3 * secondUs / 2} {
		net := newNetwork(2)
		net.run(2 * secondUs)
		v, incarnation := markDead(net, false)
		net.run(laterUs)
		must.Eq(t, messages.Dead, v.peers["n1"].peer.Status)
		net.cut[[2]string{"n0", "n1"}] = false
		net.run(secondUs)
		must.Eq(t, messages.Alive, v.peers["n1"].peer.Status)
		must.Greater(t, incarnation, v.peers["n1"].peer.Incarnation)
	}
}
