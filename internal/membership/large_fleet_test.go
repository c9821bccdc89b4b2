package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// largeFleetSeeds is the number of seed nodes.
const largeFleetSeeds = 3

// joinIntervalTicks is the interval between join probes to missing seeds, in ticks.
const joinIntervalTicks = int64(joinInterval/time.Microsecond) / tickUs

// startLargeFleet starts the given number of nodes within 0.3 s, in random order, and runs them
// for forUs. Each node is configured with the seeds only and, every joinInterval, probes the seeds
// that its view does not contain, as Monitor does.
func startLargeFleet(nodes int, forUs int64) *network {
	net := newNetwork(0)
	startUs := map[string]int64{}
	for i := range nodes {
		addr := fmt.Sprintf("n%d", i)
		startUs[addr] = int64(net.rand.IntN(300_000))
	}
	for ; net.nowUs < forUs; net.nowUs += tickUs {
		for i := range nodes {
			addr := fmt.Sprintf("n%d", i)
			if net.nowUs < startUs[addr] {
				continue
			}
			if net.views[addr] == nil {
				net.start(messages.Peer{Addr: addr, Incarnation: int64(i + 1)})
			}
			net.deliver(addr, net.views[addr].Tick(net.nowUs))
			if (net.nowUs/tickUs)%joinIntervalTicks == 0 {
				net.joinSeeds(addr)
			}
		}
	}
	return net
}

func (n *network) joinSeeds(addr string) {
	for seed := range largeFleetSeeds {
		to := fmt.Sprintf("n%d", seed)
		if addr != to && !n.views[addr].HasEntry(to) {
			n.deliver(addr, []Datagram{n.views[addr].JoinProbe(to)})
		}
	}
}

func TestLargeFleetConvergesAfterSimultaneousStart(t *testing.T) {
	const nodes = 310
	net := startLargeFleet(nodes, 4*secondUs)
	net.mustAllSeeAlive(t, nodes)
}

func TestDigestEqualForViewsWithSameEntries(t *testing.T) {
	net := newNetwork(12)
	net.run(10 * secondUs)
	for _, view := range net.views {
		must.Eq(t, net.views["n0"].digest(), view.digest())
	}
	before := net.views["n1"].digest()
	net.views["n1"].SetMemberID("changed")
	must.NotEq(t, before, net.views["n1"].digest())
}

func TestSteadyFleetSendsNoPeerQueries(t *testing.T) {
	net := newNetwork(60)
	net.run(20 * secondUs)
	net.queries = 0
	net.run(20 * secondUs)
	must.Zero(t, net.queries)
	net.views["n7"].SetMemberID("changed")
	net.run(2 * secondUs)
	must.Positive(t, net.queries, must.Sprint("a change that has not reached all nodes triggers a query"))
}

func TestPeerQuerySkippedForOtherRelease(t *testing.T) {
	view := newNetwork(3).views["n0"]
	must.SliceEmpty(t, view.answerPeerQuery(messages.Probe{From: messages.Peer{Addr: "n1"}, Buckets: []int64{1, 2}}))
	must.SliceEmpty(t, view.queryPeer(messages.Probe{From: messages.Peer{Addr: "n1"}}, secondUs))
}
