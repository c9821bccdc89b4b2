package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// startRolloutServer starts a server that handles rollout calls. It responds to the first
// calls, as many as unavailableCalls, with 503, and reports the given states to reads in order.
func startRolloutServer(t *testing.T, unavailableCalls int32, states ...string) (addr string, orders *[]string) {
	t.Helper()
	var calls atomic.Int32
	orders = &[]string{}
	read := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case calls.Add(1) <= unavailableCalls:
			w.WriteHeader(503)
		case r.Method == http.MethodPost:
			body, _ := io.ReadAll(r.Body)
			*orders = append(*orders, string(body))
			if strings.Contains(string(body), "v9") {
				w.WriteHeader(409)
				_, _ = io.WriteString(w, `{"error":"another rollout of the service is running"}`)
			}
		default:
			_, _ = io.WriteString(w, `{"state":"`+states[min(read, len(states)-1)]+`","targetVersion":"v2"}`)
			read++
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), orders
}

func TestRolloutBeginReadAndWatchPrintState(t *testing.T) {
	addr, orders := startRolloutServer(t, 2, "running", "running", "settled")
	status, stdout, _ := runCommand(t, "rollout", "begin", "-at", addr, "chat", "v2", "15")
	must.Eq(t, 0, status)
	must.Eq(t, "ordered: chat to v2 within 15s\n", stdout)
	must.Eq(t, []string{`{"overS":15,"service":"chat","targetVersion":"v2"}`}, *orders)
	status, stdout, _ = runCommand(t, "rollout", "read", "-at", addr, "chat")
	must.Eq(t, 0, status)
	must.Eq(t, "chat to v2: running\n", stdout)
	status, stdout, _ = runCommand(t, "rollout", "watch", "-at", addr, "chat")
	must.Eq(t, 0, status)
	must.StrContains(t, stdout, "chat to v2: running\n")
	must.StrContains(t, stdout, "chat to v2: settled\n")
}

func TestRolloutReturnsStatusOfRefusalAndReversion(t *testing.T) {
	addr, _ := startRolloutServer(t, 0, "reverted")
	status, _, stderr := runCommand(t, "rollout", "begin", "-at", addr, "chat", "v9", "15")
	must.Eq(t, 1, status)
	must.StrContains(t, stderr, "409")
	status, _, _ = runCommand(t, "rollout", "watch", "-at", addr, "chat")
	must.Eq(t, 3, status)
	for _, args := range [][]string{{"rollout"}, {"rollout", "begin", "-at", addr, "chat", "v2"}, {"rollout", "begin", "-at", addr, "chat", "v2", "-3"}, {"rollout", "stop", "chat"}} {
		status, _, _ := runCommand(t, args...)
		must.Eq(t, 2, status, must.Sprint(args))
	}
}
