package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
)

// startRunner starts a runner. It returns the runner, its URL and a function that returns the
// runs reported so far.
func startRunner(t *testing.T, config Config) (runner *Runner, url string, runs func() []Run) {
	t.Helper()
	var mu sync.Mutex
	var ran []Run
	config.Service = "s"
	config.OnRun = func(run Run) {
		mu.Lock()
		defer mu.Unlock()
		ran = append(ran, run)
	}
	runner = New(config)
	address, err := runner.Listen()
	must.NoError(t, err)
	runner.Start("")
	t.Cleanup(runner.Crash)
	return runner, "http://" + address, func() []Run {
		mu.Lock()
		defer mu.Unlock()
		return append([]Run{}, ran...)
	}
}

func call(t *testing.T, method, url, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	must.NoError(t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response, string(raw)
}

func TestServeRequestRejectsInvalidHeaders(t *testing.T) {
	_, url, runs := startRunner(t, Config{})
	for _, c := range []struct {
		header map[string]string
		status int
	}{
		{map[string]string{}, 400},
		{map[string]string{headerAttempt: "a", headerTarget: "other"}, 421},
		{map[string]string{headerAttempt: "a", headerExpected: "2"}, 421},
	} {
		response, _ := call(t, "POST", url+"/x/", "body", c.header)
		must.Eq(t, c.status, response.StatusCode)
		must.NotEq(t, "", response.Header.Get(headerNotExecuted))
	}
	must.SliceEmpty(t, runs())
}

func TestStreamResumesAfterLastEvent(t *testing.T) {
	runner, url, runs := startRunner(t, Config{TokenTime: time.Millisecond})
	response, body := call(t, "POST", url+"/x/", "", map[string]string{
		headerAttempt: "a", headerTokens: "80,4", headerParts: "01:64,02:16", headerLastEvent: "2",
	})
	must.Eq(t, Event("a", 3)+Event("a", 4), body)
	must.Eq(t, "a", response.Header.Get(headerAttempt))
	must.Eq(t, runs()[1].Seal, response.Header.Get(headerSeal))
	must.True(t, runs()[1].Finished)
	must.Len(t, 2, runner.cache.list().Held)
	_, body = call(t, "GET", url+"/api/kv-events?since=1", "", nil)
	var events api.PrefixEvents
	must.NoError(t, json.Unmarshal([]byte(body), &events))
	must.Len(t, 1, events.Events)
	must.Eq(t, 2, events.NextPage)
}

func TestOrderLoadsWeightsAndChecksFence(t *testing.T) {
	var orders []Order
	runner, url, _ := startRunner(t, Config{Model: "m", WeightsLoadTime: time.Millisecond, OnOrder: func(order Order) { orders = append(orders, order) }})
	send := func(order string) int {
		response, _ := call(t, "POST", url+"/api/order", order, nil)
		return response.StatusCode
	}
	must.Eq(t, 400, send(`{"op":"version","model":"m","version":2,"method":"hold","holder":"n"}`))
	must.Eq(t, 202, send(`{"op":"version","model":"m","version":2,"method":"hold","holder":"n","fence":5}`))
	for busy := true; busy; {
		_, busy = runner.weights.state()
	}
	must.Eq(t, 2, runner.WeightsVersion())
	must.Eq(t, 200, send(`{"op":"version","model":"m","version":2,"method":"hold","holder":"n","fence":5}`))
	must.Eq(t, 409, send(`{"op":"version","model":"m","version":3,"method":"hold","holder":"n","fence":5,"expected":0}`))
	must.Eq(t, 412, send(`{"op":"version","model":"m","version":3,"method":"hold","holder":"n","fence":4}`))
	must.Len(t, 5, orders)
	must.Eq(t, 5, orders[1].Fence)
	must.Eq(t, 202, orders[1].Status)
}

func TestLeaveSendsDrainingAndLeave(t *testing.T) {
	var mu sync.Mutex
	var calls []string
	controller := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		var beat api.Heartbeat
		_ = json.NewDecoder(request.Body).Decode(&beat)
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, strings.Split(request.URL.Path, "/")[2]+" "+string(beat.State))
	}))
	defer controller.Close()
	runner, _, _ := startRunner(t, Config{Controllers: []string{strings.TrimPrefix(controller.URL, "http://")}, HeartbeatInterval: time.Hour, DrainTime: time.Millisecond})
	acknowledged := runner.Leave(t.Context())
	must.False(t, acknowledged.IsZero())
	must.SliceContains(t, calls, "Runners.Heartbeat draining")
	must.Eq(t, "Runners.Leave ", calls[len(calls)-1])
}

func TestLeaveUndrainedSendsNoDrainingAndServesOn(t *testing.T) {
	var mu sync.Mutex
	var calls []string
	controller := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, strings.Split(request.URL.Path, "/")[2])
	}))
	defer controller.Close()
	runner, _, _ := startRunner(t, Config{Controllers: []string{strings.TrimPrefix(controller.URL, "http://")}, HeartbeatInterval: time.Millisecond, DrainTime: time.Millisecond})
	const serveOn = 50 * time.Millisecond
	acknowledged := runner.LeaveUndrained(t.Context(), serveOn)
	must.False(t, acknowledged.IsZero())
	must.GreaterEq(t, serveOn, time.Since(acknowledged))
	must.Eq(t, "Runners.Leave", calls[len(calls)-1], must.Sprint("a heartbeat would bring the runner back"))
}

func TestLeaveReturnsZeroTimeWithoutAcknowledgement(t *testing.T) {
	runner, _, _ := startRunner(t, Config{Controllers: []string{"127.0.0.1:1"}})
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	must.True(t, runner.Leave(ctx).IsZero())
}
