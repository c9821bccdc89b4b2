package consensus

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	operatorSeeds = flag.Uint64("operator-seeds", 200, "number of histories to simulate")
	operatorFirst = flag.Uint64("operator-first", 0, "seed of the first history")
)

// checkLimit bounds the duration of the search for a linearization.
const checkLimit = 30 * time.Second

const (
	steps        = 4000
	upgradeEvery = 350
)

// play simulates a history: first with faults, then without, until every operator has an
// answer.
func (c *cluster) play() {
	for step := range steps {
		if step%upgradeEvery == upgradeEvery-1 {
			c.upgrade()
		}
		switch k := c.rnd.IntN(600); {
		case k < 12:
			c.step(c.rnd.IntN(operators))
		case k < 18:
			c.timeOut()
		case k < 20:
			if node := c.anyNode(); node != nil {
				c.hist.Note("%s crashes", node.addr)
				c.crash(node)
			}
		case k < 26:
			for _, node := range c.nodes {
				node.up = true
			}
		case k < 29:
			c.changeGroup()
		case k < 32:
			c.loseDisk()
		case len(c.inFlight) > 0:
			c.deliver()
		}
	}
	c.heal()
}

// heal stops the injection of faults. Every submission without an answer is retried, and
// finally the configuration and the weights are read.
func (c *cluster) heal() {
	c.healed = true
	for _, node := range c.nodes {
		node.up = true
	}
	c.drain()
	for i := range c.clients {
		if at := c.anyNode(); at != nil && c.clients[i].hasOrder {
			c.replace(i, at, c.clients[i].order)
			c.drain()
		}
	}
	for _, part := range []int{ConfigPart, weightsPart} {
		if at := c.anyNode(); at != nil {
			c.read(0, at, part)
			c.drain()
		}
	}
}

// drain delivers messages until no operation is in progress. Operations still open after
// 4,000 steps are abandoned.
func (c *cluster) drain() {
	for range 4000 {
		switch {
		case len(c.inFlight) > 0:
			c.deliver()
		case len(c.operations) > 0:
			c.timeOut()
		default:
			return
		}
	}
	c.operations, c.inFlight = nil, nil
}

// Eight concurrent operators observe one linearizable register. They retry at any node and
// submit to two nodes at once, while answers are lost, nodes crash and lose their disks,
// the group changes, and versions of the program with strict and lax validation alternate.
func TestOperatorHistoriesAreLinearizable(t *testing.T) {
	taken := 0
	for seed := *operatorFirst; seed < *operatorFirst+*operatorSeeds; seed++ {
		taken += playCluster(t, seed)
	}
	must.Greater(t, 3*int(*operatorSeeds), taken, must.Sprint("too few submissions were committed"))
}

// regressionSeeds are histories that fail without a mechanism that few histories depend
// on: 380 fails without sealed rejections.
var regressionSeeds = []uint64{380}

func TestRegressionSeedsAreLinearizable(t *testing.T) {
	for _, seed := range regressionSeeds {
		playCluster(t, seed)
	}
}

// playCluster simulates and checks one history, and returns the number of committed
// submissions.
func playCluster(t *testing.T, seed uint64) int {
	t.Helper()
	cluster := newCluster(seed)
	cluster.play()
	if err := cluster.hist.Check(checkLimit); err != nil {
		t.Fatalf("seed %d: %v\n%s", seed, err, cluster.hist.String())
	}
	return cluster.committedOrders
}
