package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a runner.
type arrival struct {
	id, runner, tenant, salt string
	at                       time.Time
	ran                      bool
}

// runner is a sound stand-in for a model runner.
type runner struct {
	f                     *fleet
	id, service, zone     string
	addr, model, software string
	version               int
	work                  time.Duration
	serving               serving
	hooks
	mu      sync.Mutex
	beats   beats
	running int
	cache   cache
}

// hooks are called by a runner: at the arrival of a request, to ask whether the next answer is a
// failure, and when a request uses a part that is kept.
type hooks struct {
	onArrival func(arrival)
	fails     func() bool
	onKept    func(runner, tenant, maker, salt, part, attempt string)
}

// serving is the runner's server.
type serving struct {
	listener net.Listener
	server   *http.Server
	stop     context.CancelFunc
}

// beats is what the runner tells the system about itself.
type beats struct {
	state, beatTo string
	sequence      int
	silent        bool // sends no more beats
}

// runnerCapacity is how many requests a runner works on at a time.
const runnerCapacity = 48

// cache holds the parts that a runner keeps and the events about them.
type cache struct {
	kept   map[string]keptPart
	events [][]any
}

// keptPart is a part of a prompt that the runner keeps, with the tenant whose request made it.
type keptPart struct {
	tenant, salt, id, model string
	tokens                  int
}

func (f *fleet) newRunner(service, zone, ip, model string) (*runner, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	return &runner{
		f: f, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, addr: l.Addr().String(), model: model, software: "v1", version: 1,
		work: 15 * time.Millisecond, serving: serving{listener: l}, beats: beats{state: "ready"}, cache: cache{kept: map[string]keptPart{}},
		hooks: hooks{onArrival: func(arrival) {}, fails: func() bool { return false }, onKept: func(_, _, _, _, _, _ string) {}},
	}, nil
}

func (r *runner) run() {
	ctx, stop := context.WithCancel(context.Background())
	r.serving.stop = stop
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", r.health)
	mux.HandleFunc("GET /api/report", r.report)
	mux.HandleFunc("GET /api/kv-events", r.kvEvents)
	mux.HandleFunc("GET /api/kv-list", r.kvList)
	mux.HandleFunc("POST /api/order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	mux.HandleFunc("/", r.serve)
	r.serving.server = &http.Server{Handler: mux}
	go func() { _ = r.serving.server.Serve(r.serving.listener) }()
	go func() {
		for ctx.Err() == nil {
			r.mu.Lock()
			silent := r.beats.silent
			r.mu.Unlock()
			if !silent {
				r.beat()
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(r.f.beatMs) * time.Millisecond):
			}
		}
	}()
}

// end ends the runner's process.
func (r *runner) end() {
	r.serving.stop()
	_ = r.serving.server.Close()
}

// beat sends one heartbeat: to the address of the last answer, else to one node after the other.
func (r *runner) beat() (acknowledged time.Time, by string) {
	r.mu.Lock()
	r.beats.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": r.software, "capacity": runnerCapacity, "state": r.beats.state, "coldLeftMs": 0,
		"phase": "combined", "models": []any{map[string]any{"name": r.model, "version": r.version, "adapters": []any{}}}, "sequence": r.beats.sequence,
	})
	first := r.beats.beatTo
	r.mu.Unlock()
	at, by, raw := r.callAny("/api/Runners.Heartbeat/"+r.id, body, first)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats.beatTo = ""
	if !at.IsZero() {
		var answer struct {
			BeatTo string `json:"beatTo"`
		}
		_ = json.Unmarshal(raw, &answer)
		r.beats.beatTo = by
		if answer.BeatTo != "" {
			r.beats.beatTo = answer.BeatTo
		}
	}
	return at, by
}

// leave sends the call that says that the runner leaves, until it is acknowledged.
func (r *runner) leave(tries int) (time.Time, string) {
	r.mu.Lock()
	r.beats.silent = true
	first := r.beats.beatTo
	r.mu.Unlock()
	for range tries {
		if at, by, _ := r.callAny("/api/Runners.Leave/"+r.id, nil, first); !at.IsZero() {
			return at, by
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, ""
}

// drain says draining until that is acknowledged, serves on for a while and leaves.
func (r *runner) drain(serveOn time.Duration) {
	r.mu.Lock()
	r.beats.state = "draining"
	r.mu.Unlock()
	for range 10 {
		if at, _ := r.beat(); !at.IsZero() {
			break
		}
	}
	time.Sleep(serveOn)
	r.leave(5)
}

func (r *runner) callAny(path string, body []byte, first string) (time.Time, string, []byte) {
	addrs := r.f.controls()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	if first != "" {
		addrs = append([]string{first}, addrs...)
	}
	for _, addr := range addrs {
		response, err := control.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		raw, err := io.ReadAll(io.LimitReader(response.Body, 4096))
		response.Body.Close()
		if err == nil && response.StatusCode/100 == 2 {
			return time.Now(), addr, raw
		}
	}
	return time.Time{}, "", nil
}

func (r *runner) health(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	state := r.beats.state
	r.mu.Unlock()
	w.Header().Set("Beechtide-Instance", r.id)
	if state != "ready" {
		w.WriteHeader(503)
	}
}

func (r *runner) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, map[string]any{
		"phase": "combined", "models": []any{map[string]any{"name": r.model, "version": r.version, "adapters": []any{}}}, "saturated": false,
		"sequence": 0, "queued": 0, "active": r.running, "cacheUsed": 0, "cacheTotal": 100000, "handles": 0,
	})
}

func (r *runner) kvEvents(w http.ResponseWriter, request *http.Request) {
	since, _ := strconv.Atoi(request.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(request.Header.Get("Wait-Ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		r.mu.Lock()
		events := r.cache.events[min(since, len(r.cache.events)):]
		next := len(r.cache.events)
		r.mu.Unlock()
		if len(events) > 0 || time.Now().After(until) {
			writeJSON(w, map[string]any{"epoch": 7, "nextPage": next, "lost": false, "events": append([][]any{}, events...)})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (r *runner) kvList(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := [][]any{}
	for _, k := range r.cache.kept {
		held = append(held, []any{k.salt, k.id, k.tokens, k.model})
	}
	writeJSON(w, map[string]any{"epoch": 7, "nextPage": len(r.cache.events), "held": held})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serve runs a request, unless it names another runner or another version.
func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	a := arrival{id: request.Header.Get("Beechtide-Attempt-Id"), runner: r.id, tenant: request.Header.Get("Beechtide-Tenant"), salt: request.Header.Get("Beechtide-Cache-Salt"), at: time.Now()}
	_, _ = io.ReadAll(request.Body)
	w.Header().Set("Beechtide-Attempt-Id", a.id)
	target, expected := request.Header.Get("Beechtide-Target-Instance"), request.Header.Get("Beechtide-Expected-Version")
	if target != "" && target != r.id || expected != "" && expected != strconv.Itoa(r.version) {
		w.Header().Set("Beechtide-Weight-Versions", strconv.Itoa(r.version))
		w.Header().Set("Beechtide-Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	a.ran = true
	r.onArrival(a)
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	r.readParts(request, a)
	time.Sleep(r.work)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	w.Header().Set("Beechtide-Weight-Versions", strconv.Itoa(r.version))
	w.Header().Set("Beechtide-Server-Seal", fmt.Sprintf("%s.%x", r.id, rand.Uint32()))
	if r.fails() {
		w.WriteHeader(500)
	}
	fmt.Fprintf(w, "ran %s at %s", a.id, r.id)
}

// readParts takes the kept parts at the beginning of the prompt and keeps the rest.
func (r *runner) readParts(request *http.Request, a arrival) {
	parts := request.Header.Get("Beechtide-Prompt-Prefix")
	if parts == "" {
		return
	}
	model, before := request.Header.Get("Beechtide-Model"), true
	r.mu.Lock()
	defer r.mu.Unlock()
	for part := range strings.SplitSeq(parts, ",") {
		id, text, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(text)
		key := a.salt + "\x00" + model + "\x00" + id
		if k, ok := r.cache.kept[key]; ok && before {
			r.onKept(r.id, a.tenant, k.tenant, a.salt, id, a.id)
			continue
		}
		before = false
		r.cache.kept[key] = keptPart{a.tenant, a.salt, id, model, tokens}
		r.cache.events = append(r.cache.events, []any{len(r.cache.events) + 1, "+", a.salt, id, tokens, model})
	}
}
