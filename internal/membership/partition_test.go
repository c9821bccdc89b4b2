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
