package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

const (
	tickUs   = 100_000
	secondUs = 1_000_000
)

// network delivers datagrams between views immediately. Datagrams over cut links, and
// to or from nodes that are down, are lost.
type network struct {
	views map[string]*View
	cut   map[[2]string]bool // links that are cut, in both directions
	down  map[string]bool
	rand  *rand.Rand
	loss  int // one in loss datagrams is lost; 0: none
	nowUs int64

	queries int // peer queries sent
}

// newNetwork starts n nodes; n0 is the seed of all others.
func newNetwork(n int) *network {
	net := &network{
		views: map[string]*View{},
		cut:   map[[2]string]bool{},
		down:  map[string]bool{},
		rand:  rand.New(rand.NewPCG(1, 2)),
	}
	for i := range n {
		net.start(messages.Peer{Addr: fmt.Sprintf("n%d", i), Incarnation: int64(i + 1)})
	}
	for addr := range net.views {
		if addr != "n0" {
			net.join(addr)
		}
	}
	return net
}

// start creates a new view at the address, replacing any former one.
func (n *network) start(self messages.Peer) *View {
	self.Role = messages.Router
	n.views[self.Addr] = NewView(self, DefaultConfig, n.rand.IntN)
	return n.views[self.Addr]
}

func (n *network) join(addr string) {
	n.deliver(addr, []Datagram{n.views[addr].JoinProbe("n0")})
}

// deliver delivers datagrams, and those that the receivers send in response.
func (n *network) deliver(from string, datagrams []Datagram) {
	for _, d := range datagrams {
		if d.Kind == transport.KindPeerQuery {
			n.queries++
		}
		if !n.drops(from, d.To) {
			n.deliver(d.To, n.views[d.To].Receive(d.Kind, d.Msg, n.nowUs))
		}
	}
}

func (n *network) drops(from, to string) bool {
	if n.down[to] || n.down[from] || n.cut[[2]string{from, to}] || n.cut[[2]string{to, from}] || n.views[to] == nil {
		return true
	}
	return n.loss > 0 && n.rand.IntN(n.loss) == 0
}

func (n *network) run(us int64) {
	for end := n.nowUs + us; n.nowUs < end; n.nowUs += tickUs {
		for addr, view := range n.views {
			if !n.down[addr] {
				n.deliver(addr, view.Tick(n.nowUs))
			}
		}
	}
}

// mustAllSeeAlive checks that each node that is not down has the given number of nodes in
// its list of live nodes.
func (n *network) mustAllSeeAlive(t *testing.T, alive int) {
	t.Helper()
	for addr, view := range n.views {
		if !n.down[addr] {
			must.Len(t, alive, view.Alive(messages.Router), must.Sprint(addr))
		}
	}
}

func TestNodesJoinThroughOneSeed(t *testing.T) {
	net := newNetwork(12)
	net.run(8 * secondUs)
	net.mustAllSeeAlive(t, 12)
}

func TestDeadNodeIsRemovedAndRejoins(t *testing.T) {
	net := newNetwork(8)
	net.run(6 * secondUs)
	net.down["n3"] = true
	net.run(8 * secondUs)
	net.mustAllSeeAlive(t, 7)
	for addr, view := range net.views {
		if addr != "n3" {
			must.Greater(t, 0, view.DeadForUs("n3", net.nowUs))
		}
	}
	net.down["n3"] = false
	net.start(messages.Peer{Addr: "n3", Incarnation: 1, MemberID: "new"})
	net.join("n3")
	net.run(10 * secondUs)
	net.mustAllSeeAlive(t, 8)
	for _, view := range net.views {
		for _, p := range view.Alive(messages.Router) {
			if p.Addr == "n3" {
				must.Eq(t, "new", p.MemberID)
			}
		}
	}
}

func TestIndirectProbesKeepPeerAliveWhenOneLinkIsCut(t *testing.T) {
	net := newNetwork(6)
	net.run(6 * secondUs)
	net.cut[[2]string{"n1", "n2"}] = true
	for range 40 {
		net.run(secondUs / 2)
		net.mustAllSeeAlive(t, 6)
	}
}

func TestDatagramLossMarksNoPeerDead(t *testing.T) {
	net := newNetwork(8)
	net.run(6 * secondUs)
	net.loss = 50
	net.run(60 * secondUs)
	net.mustAllSeeAlive(t, 8)
}

// A node that starts after a peer died must report that peer as dead, although it
// never gets an entry for it: gossip about an unknown peer that is dead is ignored.
func TestUnknownAddressIsDeadAfterGracePeriod(t *testing.T) {
	net := newNetwork(4)
	net.run(6 * secondUs)
	net.down["n1"] = true
	net.run(8 * secondUs)
	view := net.start(messages.Peer{Addr: "new", Incarnation: 9})
	net.join("new")
	net.run(secondUs)
	must.Eq(t, int64(0), view.DeadForUs("n1", net.nowUs), must.Sprint("within the grace period"))
	net.run(4 * secondUs)
	must.Greater(t, int64(secondUs), view.DeadForUs("n1", net.nowUs))
	must.Eq(t, int64(0), view.DeadForUs("n2", net.nowUs))
	must.Eq(t, int64(0), view.DeadForUs("new", net.nowUs))
}

func TestSupersedesByIncarnationThenStatus(t *testing.T) {
	entry := func(incarnation int64, status messages.Status) messages.Peer {
		return messages.Peer{Incarnation: incarnation, Status: status}
	}
	for _, c := range []struct {
		a, b messages.Peer
		want bool
	}{
		{entry(2, messages.Alive), entry(1, messages.Dead), true},
		{entry(1, messages.Dead), entry(2, messages.Alive), false},
		{entry(1, messages.Suspect), entry(1, messages.Alive), true},
		{entry(1, messages.Dead), entry(1, messages.Suspect), true},
		{entry(1, messages.Alive), entry(1, messages.Suspect), false},
		{entry(1, messages.Alive), entry(1, messages.Alive), false},
	} {
		must.Eq(t, c.want, supersedes(c.a, c.b), must.Sprint(c))
	}
}

func TestNodeRefutesSuspicionWithHigherIncarnation(t *testing.T) {
	view := NewView(messages.Peer{Addr: "a", Incarnation: 5}, DefaultConfig, rand.IntN)
	view.merge(messages.Peer{Addr: "a", Incarnation: 5, Status: messages.Suspect}, secondUs)
	must.Eq(t, int64(6), view.Self().Incarnation)
	view.merge(messages.Peer{Addr: "a", Incarnation: 4, Status: messages.Dead}, secondUs)
	must.Eq(t, int64(6), view.Self().Incarnation, must.Sprint("an entry with an older incarnation needs no refutation"))
}
