package dissemination

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// stateRequest is a request for state as a parent receives it.
type stateRequest struct {
	parent int
	state  messages.SyncState
}

// startUnsyncedChild starts one parent for each element of cutOff, which may report that it
// is cut off, and a child without a configuration. It returns the child's requests to them.
func startUnsyncedChild(t *testing.T, wait time.Duration, cutOff ...bool) <-chan stateRequest {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	joined := make(chan stateRequest, 64)
	var addrs []string
	for i, cut := range cutOff {
		p := newTestTransport(t)
		NewPublisher(p, PublisherCallbacks{
			DeltaSince: func(h messages.SyncState) messages.Feed {
				joined <- stateRequest{i, h}
				return messages.Feed{Versions: []int64{}, CutOff: cut}
			},
			ApplyReport: func(string, messages.LoadReport) bool { return true }, Unsubscribed: func(string) {},
		})
		p.Run(ctx)
		addrs = append(addrs, p.Addr())
	}
	child := newTestTransport(t)
	child.Run(ctx)
	up := &Subscriber{
		UnsyncedWait: wait,
		SyncState:    func() messages.SyncState { return messages.SyncState{} },
		Parents:      func() []string { return append([]string{}, addrs...) },
		ApplyUpdate:  func(string, messages.Feed, []byte) *messages.SyncState { return nil },
		Acked:        func(int64) {}, ResendAll: func() {}, Unsubscribed: func(string) {},
	}
	go up.Listen(ctx, child)
	return joined
}

// A node without a configuration skips parents that are cut off until it reaches one that
// is not, since the configuration of a parent that is cut off may be old.
func TestUnsyncedNodeSkipsCutOffParents(t *testing.T) {
	joined := startUnsyncedChild(t, time.Hour, true, true, false)
	for parent := range 3 {
		j := <-joined
		must.Eq(t, parent, j.parent)
		must.False(t, j.state.Anything)
	}
}

// If all parents are cut off, the node tries them in turn, and after its timeout accepts
// the state of any of them.
func TestUnsyncedNodeAcceptsCutOffParentAfterPatience(t *testing.T) {
	joined := startUnsyncedChild(t, time.Hour, true, true)
	for i := range 6 {
		must.Eq(t, i%2, (<-joined).parent)
	}
	j := <-startUnsyncedChild(t, time.Nanosecond, true, true)
	must.True(t, j.state.Anything)
}

// Updates of a former connection may still arrive after the node has subscribed to the next
// parent; they must not be applied.
func TestUpdatesOfFormerParentAreIgnored(t *testing.T) {
	applied := []string{}
	up := &Subscriber{
		SyncState: func() messages.SyncState { return messages.SyncState{} },
		ApplyUpdate: func(parent string, _ messages.Feed, _ []byte) *messages.SyncState {
			applied = append(applied, parent)
			return nil
		},
	}
	former, joined := &transport.Conn{}, &transport.Conn{}
	up.updatesConn.Store(joined)
	feed, err := (&messages.Feed{Versions: []int64{}}).MarshalMsg(nil)
	must.NoError(t, err)
	formerLink := &subscription{conn: former, parent: "former", cutOff: make(chan struct{}, 1)}
	joinedLink := &subscription{conn: joined, parent: "joined", cutOff: make(chan struct{}, 1)}
	up.receive(formerLink, transport.KindFeed, feed)
	must.Zero(t, formerLink.lastUpdateUs.Load(), must.Sprint("an update of a former parent was counted as received"))
	up.receive(joinedLink, transport.KindFeed, feed)
	must.Positive(t, joinedLink.lastUpdateUs.Load())
	must.Eq(t, []string{"joined"}, applied)
}
