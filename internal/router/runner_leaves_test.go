package router

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// A runner that has left continues to serve for a while: requests in progress complete there, no
// new ones are sent to it, and late records of it do not make it available again.
func TestRunnerThatLeftCompletesRequestsAndReceivesNoMore(t *testing.T) {
	a, b := newRunner(t), newRunner(t)
	finish := make(chan struct{})
	a.stream = func(write func(string), _ <-chan struct{}) {
		write(streamHead + chunk("id: 1\ndata: a\n\n"))
		<-finish
		write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
	}
	c, front, _ := start(t, a)
	c.receiveConfig(t, longCutoffConfig)
	conn := dialAndSend(t, front, longRequest("/chat/"))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	other := messages.RunnerRecord{ID: "r1", Service: "s", Addr: b.addr, Zone: "a", Capacity: 8, Seq: 1, Models: []messages.Target{{Model: "m", Version: 4}}}
	left := c.registry.Snapshot().ByID["r0"]
	left.Gone = true
	applyRecords := func(parent string, n ...messages.RunnerRecord) {
		c.applyFeed(parent, messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, n...)}})
	}
	applyRecords("", left, other)
	lateRecord := left
	lateRecord.Gone, lateRecord.Seq = false, left.Seq+9
	applyRecords("", lateRecord)
	applyRecords("p", lateRecord, other)
	for range 6 {
		ans, _, err := roundTrip(t, front, request("/pay/", "x"))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
	}
	must.Eq(t, 1, a.requestCount())
	must.Eq(t, 6, b.requestCount())
	close(finish)
	body, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", string(body))
}
