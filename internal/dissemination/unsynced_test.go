package dissemination

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// joining is a subscription as a parent gets it.
type joining struct {
	parent int
	state  messages.SyncState
}

// unsyncedNodeBelow starts a node that holds nothing below parents of which some are
// cut off, and tells whom it joins.
func unsyncedNodeBelow(t *testing.T, patience time.Duration, cutOff ...bool) <-chan joining {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	joined := make(chan joining, 64)
	var addrs []string
	for i, cut := range cutOff {
		p := station(t)
		NewPublisher(p, Upstream{
			DeltaSince: func(h messages.SyncState) messages.Feed {
				joined <- joining{i, h}
				return messages.Feed{Versions: []int64{}, CutOff: cut}
			},
			ApplyReport: func(string, messages.LoadReport) bool { return true }, Unsubscribed: func(string) {},
		})
		p.Run(ctx)
		addrs = append(addrs, p.Addr())
	}
	child := station(t)
	child.Run(ctx)
	up := &Subscriber{
		Patience:    patience,
		SyncState:   func() messages.SyncState { return messages.SyncState{} },
		Parents:     func() []string { return append([]string{}, addrs...) },
		ApplyUpdate: func(string, messages.Feed, []byte) *messages.SyncState { return nil },
		Acked:       func(int64) {}, ResendAll: func() {}, Unsubscribed: func(string) {},
	}
	go up.Listen(ctx, child)
	return joined
}

// A node that holds nothing passes by parents that are cut off until it comes to
// one that is not: their configuration may be old.
func TestUnsyncedNodeSkipsCutOffParents(t *testing.T) {
	joined := unsyncedNodeBelow(t, time.Hour, true, true, false)
	for parent := range 3 {
		j := <-joined
		must.Eq(t, parent, j.parent)
		must.False(t, j.state.Anything)
	}
}

// Where all are cut off it goes round, and once its patience is over takes what
// there is.
func TestUnsyncedNodeAcceptsCutOffParentAfterPatience(t *testing.T) {
	joined := unsyncedNodeBelow(t, time.Hour, true, true)
	for i := range 6 {
		must.Eq(t, i%2, (<-joined).parent)
	}
	j := <-unsyncedNodeBelow(t, time.Nanosecond, true, true)
	must.True(t, j.state.Anything)
}

// Bytes of a former connection may still be read when the next parent is joined.
func TestUpdatesOfFormerParentAreIgnored(t *testing.T) {
	taken := []string{}
	up := &Subscriber{
		SyncState: func() messages.SyncState { return messages.SyncState{} },
		ApplyUpdate: func(parent string, _ messages.Feed, _ []byte) *messages.SyncState {
			taken = append(taken, parent)
			return nil
		},
	}
	former, joined := &transport.Conn{}, &transport.Conn{}
	up.joined.Store(joined)
	feed, err := (&messages.Feed{Versions: []int64{}}).MarshalMsg(nil)
	must.NoError(t, err)
	formerLink := &subscription{conn: former, parent: "former", cutOff: make(chan struct{}, 1)}
	joinedLink := &subscription{conn: joined, parent: "joined", cutOff: make(chan struct{}, 1)}
	up.receive(formerLink, transport.KindFeed, feed)
	must.Zero(t, formerLink.lastUpdateUs.Load(), must.Sprint("counts as a sign of life"))
	up.receive(joinedLink, transport.KindFeed, feed)
	must.Positive(t, joinedLink.lastUpdateUs.Load())
	must.Eq(t, []string{"joined"}, taken)
}
