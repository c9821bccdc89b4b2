package consensus

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	operatorSeeds = flag.Uint64("operator-seeds", 200, "how many histories of operators to play")
	operatorFirst = flag.Uint64("operator-first", 0, "the first seed of them")
)

// checkLimit bounds the search for a linearization.
const checkLimit = 30 * time.Second

const (
	steps        = 4000
	upgradeEvery = 350
)

// play runs a history: with faults first, and then until every operator has an
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

// heal ends the faults. Every order without an answer is submitted again, and at
// last the configuration and the weights are read.
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

// drain delivers messages until no operation is open; one that makes no progress is
// given up.
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

// Eight operators at once, with repeats at any node, one order at two nodes, lost
// answers, crashes, lost disks, membership changes, and versions of the program
// with strict and lax validation in turn: the answers are those of one linearizable
// register.
func TestOperatorHistoriesAreLinearizable(t *testing.T) {
	taken := 0
	for seed := *operatorFirst; seed < *operatorFirst+*operatorSeeds; seed++ {
		taken += playCluster(t, seed)
	}
	must.Greater(t, 3*int(*operatorSeeds), taken, must.Sprint("too few orders were committed"))
}

// regressionSeeds need a mechanism that few histories need: 380 the seal.
var regressionSeeds = []uint64{380}

func TestRegressionSeedsAreLinearizable(t *testing.T) {
	for _, seed := range regressionSeeds {
		playCluster(t, seed)
	}
}

// playCluster plays and checks one history, and returns how many orders were
// committed.
func playCluster(t *testing.T, seed uint64) int {
	t.Helper()
	cluster := newCluster(seed)
	cluster.play()
	if err := cluster.hist.Check(checkLimit); err != nil {
		t.Fatalf("seed %d: %v\n%s", seed, err, cluster.hist.String())
	}
	return cluster.committedOrders
}
