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

// crowdOf are runners that answer in every wrong way, drawn by seed, and that
// note what they have run.
type crowdOf struct {
	mu   sync.Mutex
	rng  *rand.Rand
	runs map[string]int
	seen map[string]int // by way
}

// way is how a runner treats one request: whether it runs it, what it writes
// (ID stands for the request's id, LATE for the one before on the connection)
// and whether it then ends the connection, or says nothing more.
type way struct {
	name   string
	runs   bool
	raw    string
	closes bool
	mute   bool
}

const (
	fine  = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 5\r\n\r\nBODY "
	stray = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: LATE\r\nContent-Length: 5\r\n\r\nwrong"
)

var ways = []way{
	{name: "fine", runs: true, raw: fine},
	{name: "fine", runs: true, raw: fine},
	{name: "fine", runs: true, raw: fine},
	{name: "forgets the connection", runs: true, raw: fine, closes: true},
	{name: "no answer", runs: true, closes: true},
	{name: "silence", runs: true, mute: true},
	{name: "part of a head", runs: true, raw: fine[:30], closes: true},
	{name: "part of a body", runs: true, raw: strings.TrimSuffix(fine, "Y "), closes: true},
	{name: "part of a body, then silence", runs: true, raw: strings.TrimSuffix(fine, "Y "), mute: true},
	{name: "a second answer", runs: true, raw: fine + fine},
	{name: "a late answer first", runs: true, raw: stray + fine},
	{name: "only a late answer", runs: true, raw: stray, closes: true},
	{name: "bytes that are no answer", runs: true, raw: "\x00\x01\r\n\r\n" + fine},
	{name: "an answer to nobody", runs: true, raw: strings.Replace(fine, "Beechtide-Attempt-Id: ID\r\n", "", 1)},
	{name: "a promise that is none", runs: true, raw: "HTTP/1.1 503 Service Unavailable\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"},
	{name: "full", raw: "HTTP/1.1 503 Service Unavailable\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "another instance", raw: "HTTP/1.1 421 Misdirected Request\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"},
}

func (h *crowdOf) draw(id string) way {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := ways[h.rng.IntN(len(ways))]
	h.seen[w.name]++
	if w.runs {
		h.runs[id]++
	}
	return w
}

func (h *crowdOf) ran(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

func (h *crowdOf) serve(c net.Conn) {
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
		w := h.draw(id)
		_, _ = io.WriteString(c, strings.NewReplacer("ID", id, "LATE", late, "BODY", id[len(id)-4:]).Replace(w.raw))
		late = id
		if w.mute {
			_, _ = br.ReadByte() // until the router ends the connection
			return
		}
		if w.closes {
			return
		}
	}
}

func (h *crowdOf) runner(t *testing.T) *runner {
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

// TestAnswersOfBadRunnersReachTheirRequestsOnce sends requests to runners that
// answer late, twice, in part, for others or not at all. What a client gets is its
// own and whole; what may run once runs once; what was promised not to run has not.
func TestAnswersOfBadRunnersReachTheirRequestsOnce(t *testing.T) {
	for seed := range uint64(3) {
		h := &crowdOf{rng: rand.New(rand.NewPCG(seed, 5)), runs: map[string]int{}, seen: map[string]int{}}
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
		must.Greater(t, len(ways)/2, len(h.seen), must.Sprint("seed", seed))
	}
}

// send makes one request and checks what came of it.
func (h *crowdOf) send(t *testing.T, front, id string, repeatable bool) int {
	path, most := "/pay/", 1
	if repeatable {
		path, most = "/open/", 2
	}
	raw := strings.NewReplacer("id1", id, "2500", "120").Replace(request(path, "x"))
	ans, body, err := say(t, front, raw)
	ran := h.ran(id)
	if ran > most {
		t.Errorf("%s ran %d times", id, ran)
	}
	if err != nil {
		return 0
	}
	if ans.StatusCode == 200 && body != id[len(id)-4:]+" " {
		t.Errorf("%s got the body %q", id, body)
	}
	if impliesNotExecuted(ans.StatusCode) && ran > 0 {
		t.Errorf("%s ran, and the answer was %d", id, ans.StatusCode)
	}
	return ans.StatusCode
}
