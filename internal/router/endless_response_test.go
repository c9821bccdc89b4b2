package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	endlessRunners     = 4
	endlessRequests    = 24
	endlessDuration    = 2 * time.Second
	heapSampleInterval = 10 * time.Millisecond
)

// endlessForms are the heads of responses whose bodies never end, with the part that is sent again and again.
var endlessForms = map[string]struct{ head, repeated string }{
	"until close":  {"HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: s\r\n\r\n", strings.Repeat("x", 32<<10)},
	"chunks":       {"HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + strings.Repeat("x", 32<<10) + "\r\n"},
	"one chunk":    {"HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", strings.Repeat("x", 32<<10)},
	"large length": {"HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: s\r\nContent-Length: 4294967296\r\n\r\n", strings.Repeat("x", 32<<10)},
	"one event":    {"HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\ndata: ", strings.Repeat("x", 32<<10)},
	"head":         {"HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 4<<10)},
	"trailer":      {"HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: y\r\n", 4<<10)},
}

// newFloodingRunner returns a runner whose responses end only when the caller closes the connection.
func newFloodingRunner(t *testing.T, head, repeated string) *runner {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go flood(c, head, repeated)
		}
	}()
	return &runner{addr: ln.Addr().String()}
}

func flood(c net.Conn, head, repeated string) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	_, err = io.WriteString(c, strings.ReplaceAll(head, "ID", q.Header.Get(hAttempt)))
	for err == nil {
		_, err = io.WriteString(c, repeated)
	}
}

// largestHeap samples the heap until the returned function is called, which returns the largest sample.
func largestHeap() (stop func() uint64) {
	var largest atomic.Uint64
	done := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		ticker := time.NewTicker(heapSampleInterval)
		defer ticker.Stop()
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			largest.Store(max(largest.Load(), stats.HeapInuse))
			select {
			case <-ticker.C:
			case <-done:
				return
			}
		}
	})
	return func() uint64 {
		close(done)
		sampling.Wait()
		return largest.Load()
	}
}

// Guards against a router that runs out of memory while runners send bytes without end.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	for name, form := range endlessForms {
		for _, path := range []string{"/pay/", "/chat/"} {
			t.Run(name+path, func(t *testing.T) {
				must.Less(t, machineMemoryMB<<20, heapDuringEndlessResponses(t, path, form.head, form.repeated))
			})
		}
	}
}

// heapDuringEndlessResponses returns the largest heap of this process while clients request a path whose
// runners send without end.
func heapDuringEndlessResponses(t *testing.T, path, head, repeated string) uint64 {
	t.Helper()
	var runners []*runner
	for range endlessRunners {
		runners = append(runners, newFloodingRunner(t, head, repeated))
	}
	_, front, _ := start(t, runners...)
	stop := largestHeap()
	var clients sync.WaitGroup
	for range endlessRequests {
		clients.Go(func() {
			for begin := time.Now(); time.Since(begin) < endlessDuration; {
				readUntil(t, front, path, begin.Add(endlessDuration))
			}
		})
	}
	clients.Wait()
	return stop()
}

// readUntil sends a request and reads its response until it ends or until a deadline.
func readUntil(t *testing.T, front, path string, deadline time.Time) {
	conn := dialAndSend(t, front, request(path, "x"))
	defer conn.Close()
	_ = conn.SetReadDeadline(deadline)
	_, _ = io.Copy(io.Discard, conn)
}

// Guards against clients that get no answer while another runner of the service sends without end.
func TestRequestsAreServedBesideEndlessResponses(t *testing.T) {
	form := endlessForms["until close"]
	healthy := newRunner(t)
	_, front, _ := start(t, newFloodingRunner(t, form.head, form.repeated), healthy)
	var answered atomic.Int64
	var clients sync.WaitGroup
	for range endlessRequests / 4 {
		clients.Go(func() {
			for range 4 {
				if r, _, err := roundTrip(t, front, request("/open/", "x")); err == nil && r.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	clients.Wait()
	must.Eq(t, endlessRequests, answered.Load())
	must.Eq(t, endlessRequests, healthy.requestCount())
}
