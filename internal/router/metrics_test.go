package router

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/transport"
)

func metricsOf(t *testing.T, c *Router) string {
	t.Helper()
	var text bytes.Buffer
	must.NoError(t, c.metricsServer().Write(&text))
	return text.String()
}

func TestMetricsCountHowRequestsEnd(t *testing.T) {
	c, front, _ := start(t, newRunner(t, "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok"))
	withoutID := strings.Replace(request("/pay/x", ""), hAttempt, "X-Other", 1)
	for _, raw := range []string{request("/pay/x", ""), withoutID} {
		_, _, err := roundTrip(t, front, raw)
		must.NoError(t, err)
	}
	text := ""
	for range 200 { // the end of a request is counted after its answer has been sent
		if text = metricsOf(t, c); strings.Contains(text, "beechtide_requests_in_flight 0\n") {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, line := range []string{
		`beechtide_requests_answered_total 1`, `beechtide_requests_rejected_total{reason="",status="400"} 1`,
		`beechtide_attempts_total{result="answered"} 1`,
		`beechtide_requests_cut_total{cause="unexplained"} 0`, `beechtide_draining 0`, `beechtide_runners 1`,
	} {
		must.StrContains(t, text, line+"\n")
	}
}

func TestCallsAreCountedByOutcome(t *testing.T) {
	var c callCounts
	for _, err := range []error{nil, errors.Wrap(transport.ErrTimeout, "x"), transport.ErrClosed} {
		c.begin()
		must.Eq(t, 1, c.inProgress.Load())
		c.end(err)
	}
	must.Eq(t, 3, c.begun.Load())
	must.Eq(t, 1, c.answered.Load())
	must.Eq(t, 1, c.timedOut.Load())
	must.Eq(t, 1, c.failed.Load())
	must.Eq(t, 0, c.inProgress.Load())
}

func TestConfigLagStartsWhenNewerVersionIsFirstObserved(t *testing.T) {
	var l configLag
	l.observeRemote([]int64{3}, []int64{3}, 10)
	must.Eq(t, 0, l.lag(20))
	l.observeRemote([]int64{3}, []int64{5}, 1_000_000)
	l.observeRemote([]int64{4}, []int64{6}, 2_000_000)
	l.inForce(4, 2_500_000)
	must.Eq(t, 2*time.Second, l.lag(3_000_000))
	l.inForce(6, 4_000_000)
	must.Eq(t, 0, l.lag(5_000_000))
	s := l.catchUps.Snapshot()
	must.Eq(t, 1, s.Count)
	must.Eq(t, 3, s.SumSeconds)
}
