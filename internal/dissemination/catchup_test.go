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

// A parent that takes long to prepare a snapshot sends the child updates meanwhile, so that
// it is not taken for silent, and makes one answer for all that the child asks for.
func TestUpdatesAreSentWhileSnapshotIsPrepared(t *testing.T) {
	parent, child := station(t), station(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	begun, release, answers := make(chan bool, 64), make(chan bool), atomic.Int64{}
	relay := NewPublisher(parent, Upstream{
		DeltaSince: func(messages.SyncState) messages.Feed {
			begun <- true
			<-release
			answers.Add(1)
			return messages.Feed{Versions: []int64{1}}
		},
		ApplyReport: func(string, messages.LoadReport) bool { return true }, Unsubscribed: func(string) {},
	})
	parent.Run(ctx)
	child.Run(ctx)
	conn, err := child.DialFresh(ctx, parent.Addr())
	must.NoError(t, err)
	fed, answered := make(chan bool, 64), make(chan bool, 64)
	conn.OnPush = func(_ int, body []byte) {
		var f messages.Feed
		if _, err := f.UnmarshalMsg(body); err == nil && len(f.Versions) > 0 {
			answered <- true
			return
		}
		fed <- true
	}
	go conn.Serve(ctx)
	state := messages.SyncState{}
	_, err = conn.Call(ctx, transport.KindSubscribe, &state)
	must.NoError(t, err)
	<-begun
	relay.Publish(ToRouters, messages.Feed{Versions: []int64{}})
	select {
	case <-fed:
	case <-time.After(5 * time.Second):
		t.Fatal("no update comes while the answer is prepared")
	}
	b, err := state.MarshalMsg(nil)
	must.NoError(t, err)
	const asked = 5
	for range asked {
		must.NoError(t, conn.Push(transport.KindSyncState, b))
	}
	must.NoError(t, conn.Push(transport.KindLoadReport, nil)) // pushes are taken in order
	_, err = conn.Call(ctx, transport.KindIdentity, &state)
	must.Error(t, err, must.Sprint("nobody answers this; the pushes before it have been taken"))
	close(release)
	<-answered
	<-answered
	must.Eq(t, 2, answers.Load(), must.Sprint("the first answer, and one for all that was asked meanwhile"))
}
