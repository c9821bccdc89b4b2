package dissemination

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// While a parent prepares a snapshot it keeps sending updates, so that the child does not
// treat it as silent, and all requests that arrive meanwhile get a single answer.
func TestPublisherSendsUpdatesWhilePreparingSnapshot(t *testing.T) {
	parent, child := newTestTransport(t), newTestTransport(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	started, release, answers := make(chan bool, 64), make(chan bool), atomic.Int64{}
	relay := NewPublisher(parent, PublisherCallbacks{
		DeltaSince: func(messages.SyncState) messages.Feed {
			started <- true
			<-release
			answers.Add(1)
			return messages.Feed{Versions: []int64{1}}
		},
		ApplyReport: func(string, messages.LoadReport) bool { return true }, Unsubscribed: func(string) {},
	})
	parent.Run(ctx)
	child.Run(ctx)
	conn, err := child.DialUnshared(ctx, parent.Addr())
	must.NoError(t, err)
	updated, answered := make(chan bool, 64), make(chan bool, 64)
	conn.OnPush = func(_ int, body []byte) {
		var f messages.Feed
		if _, err := f.UnmarshalMsg(body); err == nil && len(f.Versions) > 0 {
			answered <- true
			return
		}
		updated <- true
	}
	go conn.Serve(ctx)
	state := messages.SyncState{}
	_, err = conn.Call(ctx, transport.KindSubscribe, &state)
	must.NoError(t, err)
	<-started
	relay.Publish(ToRouters, messages.Feed{Versions: []int64{}})
	select {
	case <-updated:
	case <-time.After(5 * time.Second):
		t.Fatal("no update received while the snapshot is prepared")
	}
	b, err := state.MarshalMsg(nil)
	must.NoError(t, err)
	const requestCount = 5
	for range requestCount {
		must.NoError(t, conn.Push(transport.KindSyncState, b))
	}
	must.NoError(t, conn.Push(transport.KindLoadReport, nil)) // pushes are handled in order
	_, err = conn.Call(ctx, transport.KindIdentity, &state)
	must.Error(t, err, must.Sprint("the parent has no handler for this call; the pushes before it have been handled"))
	close(release)
	<-answered
	<-answered
	must.Eq(t, 2, answers.Load(), must.Sprint("the first answer, and one for all requests made meanwhile"))
}
