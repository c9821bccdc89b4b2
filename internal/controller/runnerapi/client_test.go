package runnerapi

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/upstream"
)

// startRunner starts a server that serves as a runner, and returns a client and the runner's record.
func startRunner(t *testing.T, serve http.HandlerFunc) (*Client, messages.RunnerRecord) {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	began := time.Now()
	pool := upstream.NewConnPool(func() int64 { return time.Since(began).Microseconds() + 1 }, nil)
	return New(pool), messages.RunnerRecord{ID: "i-1", Service: "s", Addr: server.Listener.Addr().String()}
}

// Guards against orders sent after their permission has ended.
func TestOrderIsSentOnlyIfAllowed(t *testing.T) {
	var orders atomic.Int64
	client, runner := startRunner(t, func(http.ResponseWriter, *http.Request) { orders.Add(1) })
	order := api.Order{Op: api.Version, Model: "m", Version: 2, Method: api.Hold, Holder: "n", Fence: 1}
	_, err := client.Order(t.Context(), runner, order, func() bool { return false })
	must.ErrorIs(t, err, ErrNotSent)
	must.Eq(t, 0, orders.Load())
	status, err := client.Order(t.Context(), runner, order, func() bool { return true })
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, 1, orders.Load())
}

func TestReadSendsTargetHeader(t *testing.T) {
	client, runner := startRunner(t, func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, []string{"i-1"}, r.Header.Values(targetHeader))
		must.Eq(t, "/api/report", r.URL.Path)
		_, _ = w.Write([]byte(`{"active":3}`))
	})
	report, err := client.Report(t.Context(), runner)
	must.NoError(t, err)
	must.Eq(t, 3, report.Active)
}

func TestUnexpectedStatusIsAnError(t *testing.T) {
	client, runner := startRunner(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	_, err := client.CacheList(t.Context(), runner)
	must.ErrorIs(t, err, ErrStatus)
}
