package transport

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestTrafficCountsMessagesByKind(t *testing.T) {
	trans := newTestTransport(t)
	f := newFakePeer(t, trans)
	result := f.call(withTimeout(t), KindVersions)
	request := f.read()
	f.write(responseTo(request, "body"))
	must.NoError(t, (<-result).err)
	update := encodeFrames(t, messages.Frame{Kind: KindFeed, Body: []byte("update")})
	sent := make(chan error, 1)
	go func() { sent <- f.near.SendRaw(update) }()
	f.read()
	must.NoError(t, <-sent)
	byKind := map[string]KindTraffic{}
	for _, traffic := range trans.Traffic() {
		byKind[traffic.Kind] = traffic
	}
	versions := byKind["versions"]
	must.Eq(t, 1, versions.SentMessages)
	must.Positive(t, versions.SentBytes)
	must.Eq(t, 1, versions.ReceivedMessages)
	must.Eq(t, 4, versions.ReceivedBytes)
	must.Eq(t, KindTraffic{Kind: "since"}, byKind["since"])
	must.Eq(t, 1, byKind["feed"].SentMessages)
	must.Eq(t, int64(len(update)), byKind["feed"].SentBytes)
	bulk, control := trans.WriteDurations()
	must.Eq(t, 1, bulk.Snapshot().Count)
	must.Eq(t, 1, control.Snapshot().Count)
}
