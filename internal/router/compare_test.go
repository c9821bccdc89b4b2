package router

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// The second request comes while the first one's check is under way: it must not be
// rejected before that has come out.
func TestConfirmWaitsForACheckUnderWay(t *testing.T) {
	var c currencyChecks
	clock := func() int64 { return 1 }
	begun, answer, results := make(chan bool), make(chan bool), make(chan bool, 2)
	go func() {
		results <- c.confirm(clock, func() bool {
			close(begun)
			return <-answer
		})
	}()
	<-begun
	go func() { results <- c.confirm(clock, func() bool { t.Error("a second check"); return false }) }()
	select {
	case <-results:
		t.Fatal("answered before the check came out")
	case <-time.After(20 * time.Millisecond):
	}
	answer <- true
	must.True(t, <-results)
	must.True(t, <-results)
}

func TestConfirmAsksAgainOnceACheckIsOld(t *testing.T) {
	var c currencyChecks
	now, asked := int64(1), 0
	confirm := func(answer bool) bool {
		return c.confirm(func() int64 { return now }, func() bool { asked++; return answer })
	}
	must.False(t, confirm(false))
	must.False(t, confirm(true), must.Sprint("one that did not come out holds for as long"))
	must.Eq(t, 1, asked)
	now += recheckUs
	must.True(t, confirm(true))
	must.True(t, confirm(false))
	must.Eq(t, 2, asked)
}

// A controller that is alive and gives no answer leaves it open whether a route is
// unknown; once it answers, the route is.
func TestUnknownRouteIsPutOffUntilAControllerConfirms(t *testing.T) {
	c, front, _ := start(t, newRunner(t))
	pool, err := ants.NewPool(8, ants.WithNonblocking(true))
	must.NoError(t, err)
	station, err := transport.New(fmt.Sprintf("127.0.0.1:%d", ports(t, 1)[0]), pool, logr.Discard())
	must.NoError(t, err)
	var answers atomic.Bool
	station.OnCall(transport.KindVersions, func(context.Context, *transport.Conn, []byte) ([]byte, error) {
		if !answers.Load() {
			return nil, transport.ErrRemote
		}
		return (&messages.Versions{Parts: []int64{1}}).MarshalMsg(nil)
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	station.Run(ctx)
	self := messages.Peer{Addr: station.Addr(), Role: messages.Controller, Zone: "a", Node: "c", Counted: true}
	go membership.NewMonitor(station, self, c.clock, func() []string { return []string{c.transport.Addr()} }).Run(ctx)
	for len(c.wholeCore()) == 0 {
		time.Sleep(time.Millisecond)
	}
	unknown := strings.Replace(request("/pay/", "x"), "/pay/", "/nothing/", 1)
	ans, _, err := say(t, front, unknown)
	must.NoError(t, err)
	must.Eq(t, 503, ans.StatusCode)
	must.NotEq(t, "", ans.Header.Get(hRetryAfter))
	answers.Store(true)
	for ans.StatusCode == 503 {
		ans, _, err = say(t, front, unknown)
		must.NoError(t, err)
	}
	must.Eq(t, 404, ans.StatusCode)
}

// A router that takes the whole core for suspected or dead goes on asking it.
func TestCoreMemoryKeepsTheLastCoreInView(t *testing.T) {
	var m coreMemory
	must.SliceEmpty(t, m.all(nil))
	core := func(a, b messages.Status) []messages.Peer {
		return []messages.Peer{{Addr: "b", Counted: true, Status: b}, {Addr: "a", Counted: true, Status: a}, {Addr: "other"}}
	}
	must.Eq(t, []string{"a"}, m.likely(core(messages.Alive, messages.Suspect)))
	must.Eq(t, []string{"a", "b"}, m.all(core(messages.Alive, messages.Suspect)))
	must.Eq(t, []string{"a", "b"}, m.likely(core(messages.Suspect, messages.Suspect)))
	must.Eq(t, []string{"a", "b"}, m.likely(nil))
	must.Eq(t, []string{"a", "b"}, m.all(nil))
}
