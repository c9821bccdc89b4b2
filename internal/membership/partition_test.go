package membership

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// splitFleet cuts a fleet into the nodes below cut and the others, or heals that.
func (n *network) splitFleet(nodes, cut int, split bool) {
	for i := range nodes {
		for j := range nodes {
			if (i < cut) != (j < cut) {
				n.cut[[2]string{fmt.Sprintf("n%d", i), fmt.Sprintf("n%d", j)}] = split
			}
		}
	}
}

// mostDead returns how many of the nodes from first to last one of these nodes takes for dead at most.
func (n *network) mostDead(first, last int) int {
	most := 0
	for i := first; i < last; i++ {
		dead := 0
		for j := first; j < last; j++ {
			state := n.views[fmt.Sprintf("n%d", i)].peers[fmt.Sprintf("n%d", j)]
			if i != j && state.peer.Status == messages.Dead {
				dead++
			}
		}
		most = max(most, dead)
	}
	return most
}

// The nodes of a zone that was cut off take all others for dead. That word must not take any of
// these from the view of another that was never cut off from it.
func TestHealedPartitionTakesNobodyForDeadWhoWasNeverCutOff(t *testing.T) {
	const nodes, cutOff = 310, 60
	net := startLargeFleet(nodes, 4*secondUs)
	net.splitFleet(nodes, cutOff, true)
	net.run(6 * secondUs)
	net.splitFleet(nodes, cutOff, false)
	const healed = 5 * secondUs
	most := 0
	for untilUs := net.nowUs + healed; net.nowUs < untilUs; {
		net.run(tickUs)
		most = max(most, net.mostDead(cutOff, nodes), net.mostDead(0, cutOff))
	}
	must.Zero(t, most)
	net.mustAllSee(t, nodes)
}
