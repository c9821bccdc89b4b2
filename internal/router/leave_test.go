package router

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// drain begins the graceful shutdown and waits until the router has noticed.
func (c *Router) drain(cancel func()) {
	cancel()
	for !c.leaving.Load() {
		time.Sleep(time.Millisecond)
	}
}

// A request that may last longer than the draining router is not forwarded: no answer
// could be promised to its client.
func TestDrainingRouterRejectsWhatMayOutlastIt(t *testing.T) {
	for _, path := range []string{"/chat/", "/sort/", "/pay/", "/open/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			r := newRunner(t)
			c, front, cancel := start(t, r)
			c.takesMenu(t, unhurriedMenu)
			c.drain(cancel)
			answer, _, err := say(t, front, unhurried(path))
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
			must.NotEq(t, "", answer.Header.Get(hRetryAfter))
			must.True(t, answer.Close)
			must.Eq(t, 0, r.count(), must.Sprint("nothing was sent to a runner"))
		})
	}
}

// When the grace period is over, a request whose answer has not begun gets one that
// says so; its connection is not just closed.
func TestEndOfGraceAnswersRequestsWithoutAHead(t *testing.T) {
	for _, path := range []string{"/chat/", "/pay/", "/open/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			r, reached, _ := working(t, "")
			c, front, cancel := start(t, r)
			c.takesMenu(t, unhurriedMenu)
			conn := send(t, front, unhurried(path))
			awaited(t, reached, "the request at the runner")
			cancel()
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusGatewayTimeout, answer.StatusCode, must.Sprint("it may have run"))
			must.True(t, answer.Close)
			must.Eq(t, 1, r.count(), must.Sprint("not sent once more"))
		})
	}
}
