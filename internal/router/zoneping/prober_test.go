package zoneping

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/reachability"
)

// droppingSender drops all datagrams and counts them.
type droppingSender struct{ sent int }

func (s *droppingSender) SendDatagram(string, int, msgp.Marshaler) { s.sent++ }

// testNodes returns three nodes in each of two zones.
func testNodes() []messages.Peer {
	return []messages.Peer{
		{Addr: "a1", Zone: "a"},
		{Addr: "a2", Zone: "a"},
		{Addr: "a3", Zone: "a"},
		{Addr: "b1", Zone: "b"},
		{Addr: "b2", Zone: "b"},
		{Addr: "b3", Zone: "b"},
	}
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{Addr: "a1"})
	must.ErrorIs(t, err, ErrConfig)
}

// The pause between two rounds of pings grows with the number of routers, within bounds.
func TestIdleTimeGrowsWithRouterCountWithinBounds(t *testing.T) {
	must.Eq(t, reachability.DefaultConfig.IdleUs, idleUs(0))
	must.Eq(t, reachability.DefaultConfig.IdleUs, idleUs(78))
	must.Eq(t, 400_000, idleUs(200))
	must.Eq(t, maxIdleUs, idleUs(5000))
}

func TestSilentZoneIsPublishedOnce(t *testing.T) {
	nowUs, published, peers := int64(1), 0, &droppingSender{}
	p, err := New(Config{
		Addr:           "a1",
		Zone:           "a",
		Clock:          func() int64 { return nowUs },
		Log:            logr.Discard(),
		Peers:          peers,
		Routers:        testNodes,
		SetUnreachable: func(map[string]int64) { published++ },
	})
	must.NoError(t, err)
	p.updateNodes()
	answerOwnZone := func() {
		for seq := range int64(peers.sent + 1) {
			ping := messages.ReachPing{Seq: seq}
			encoded, err := ping.MarshalMsg(nil)
			must.NoError(t, err)
			p.HandleAck("a2", encoded)
		}
	}
	for range 500 {
		nowUs += 10_000
		p.tick()
		answerOwnZone()
	}
	must.Positive(t, peers.sent)
	must.LessEq(t, 1, published)
	must.Eq(t, published, len(p.Conditions()))
}
