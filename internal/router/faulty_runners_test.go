package router

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// faultyRunners are runners that respond with faults drawn from a seeded source, and that record
// which requests they have run.
type faultyRunners struct {
	mu   sync.Mutex
	rng  *rand.Rand
	runs map[string]int
	seen map[string]int // draws, by name of the behavior
}

// behavior is how a runner handles one request: whether it runs it, what it writes (ID stands for
// the attempt id, LATE for that of the previous request on the connection), and whether it then
// closes the connection or stays silent.
type behavior struct {
	name   string
	runs   bool
	raw    string
	closes bool
	silent bool
}

const (
	goodResponse = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 5\r\n\r\nBODY "
	lateResponse = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: LATE\r\nContent-Length: 5\r\n\r\nwrong"
)

var behaviors = []behavior{
	{name: "complete response", runs: true, raw: goodResponse},
	{name: "complete response", runs: true, raw: goodResponse},
	{name: "complete response", runs: true, raw: goodResponse},
	{name: "complete response, then close", runs: true, raw: goodResponse, closes: true},
	{name: "no response", runs: true, closes: true},
	{name: "silence", runs: true, silent: true},
	{name: "truncated head", runs: true, raw: goodResponse[:30], closes: true},
	{name: "truncated body", runs: true, raw: strings.TrimSuffix(goodResponse, "Y "), closes: true},
	{name: "truncated body, then silence", runs: true, raw: strings.TrimSuffix(goodResponse, "Y "), silent: true},
	{name: "second response", runs: true, raw: goodResponse + goodResponse},
	{name: "late response to another request first", runs: true, raw: lateResponse + goodResponse},
	{name: "only a late response to another request", runs: true, raw: lateResponse, closes: true},
	{name: "invalid bytes first", runs: true, raw: "\x00\x01\r\n\r\n" + goodResponse},
	{name: "response without attempt id", runs: true, raw: strings.Replace(goodResponse, "Beechtide-Attempt-Id: ID\r\n", "", 1)},
	{name: "rejection without not-executed header", runs: true, raw: "HTTP/1.1 503 Service Unavailable\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"},
	{name: "no capacity", raw: "HTTP/1.1 503 Service Unavailable\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "wrong instance", raw: "HTTP/1.1 421 Misdirected Request\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"},
}

func (h *faultyRunners) drawBehavior(id string) behavior {
	h.mu.Lock()
	defer h.mu.Unlock()
	chosen := behaviors[h.rng.IntN(len(behaviors))]
	h.seen[chosen.name]++
	if chosen.runs {
		h.runs[id]++
	}
	return chosen
}

func (h *faultyRunners) ran(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

func (h *faultyRunners) serve(c net.Conn) {
	defer c.Close()
	br, late := bufio.NewReader(c), "nobody"
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if q.URL.Path == "/health" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBeechtide-Instance: %s\r\nContent-Length: 0\r\n\r\n", q.Header.Get(hTarget))
			continue
		}
		id := q.Header.Get(hAttempt)
		w := h.drawBehavior(id)
		_, _ = io.WriteString(c, strings.NewReplacer("ID", id, "LATE", late, "BODY", id[len(id)-4:]).Replace(w.raw))
		late = id
		if w.silent {
			_, _ = br.ReadByte() // until the router closes the connection
			return
		}
		if w.closes {
			return
		}
	}
}

func (h *faultyRunners) runner(t *testing.T) *runner {
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
			go h.serve(c)
		}
	}()
	return &runner{addr: ln.Addr().String()}
}

// TestFaultyRunnersCauseNoWrongResponseOrRepeatedRun sends requests to runners whose responses are
// late, repeated, truncated, for another request, or missing. A client must only receive its own
// complete response, a run-once request must run at most once, and a status that promises "not
// executed" must be true.
func TestFaultyRunnersCauseNoWrongResponseOrRepeatedRun(t *testing.T) {
	for seed := range uint64(3) {
		h := &faultyRunners{rng: rand.New(rand.NewPCG(seed, 5)), runs: map[string]int{}, seen: map[string]int{}}
		_, front, cancel := start(t, h.runner(t), h.runner(t), h.runner(t), h.runner(t))
		var wg sync.WaitGroup
		var mu sync.Mutex
		got := map[int]int{}
		for client := range 6 {
			wg.Go(func() {
				for i := range 20 {
					status := h.send(t, front, fmt.Sprintf("a%02d%04d", client, i), i%3 == 0)
					mu.Lock()
					got[status]++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		cancel()
		must.Greater(t, 20, got[200], must.Sprint("seed", seed, got, h.seen))
		must.Greater(t, len(behaviors)/2, len(h.seen), must.Sprint("seed", seed))
	}
}

// send makes one request and checks its response and its number of runs.
func (h *faultyRunners) send(t *testing.T, front, id string, repeatable bool) int {
	path, maxRuns := "/pay/", 1
	if repeatable {
		path, maxRuns = "/open/", 2
	}
	raw := strings.NewReplacer("id1", id, "2500", "120").Replace(request(path, "x"))
	ans, body, err := roundTrip(t, front, raw)
	ran := h.ran(id)
	if ran > maxRuns {
		t.Errorf("%s ran %d times", id, ran)
	}
	if err != nil {
		return 0
	}
	if ans.StatusCode == 200 && body != id[len(id)-4:]+" " {
		t.Errorf("%s received the body %q", id, body)
	}
	if impliesNotExecuted(ans.StatusCode) && ran > 0 {
		t.Errorf("%s ran, but the status %d promises that it did not", id, ans.StatusCode)
	}
	return ans.StatusCode
}
