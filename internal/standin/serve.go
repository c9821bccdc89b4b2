// Requests of clients: admission to a slot, streams and plain responses.

package standin

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"beechtide.org/beechtide/internal/loop"
)

// Headers of the protocol.
const (
	headerAttempt     = "Beechtide-Attempt-Id"
	headerSeal        = "Beechtide-Server-Seal"
	headerNotExecuted = "Beechtide-Not-Executed"
	headerTarget      = "Beechtide-Target-Instance"
	headerInstance    = "Beechtide-Instance"
	headerTenant      = "Beechtide-Tenant"
	headerTimeLeft    = "Beechtide-Time-Left"
	headerTokens      = "Beechtide-Token-Count"
	headerModel       = "Beechtide-Model"
	headerParts       = "Beechtide-Prompt-Prefix"
	headerSalt        = "Beechtide-Cache-Salt"
	headerExpected    = "Beechtide-Expected-Version"
	headerVersions    = "Beechtide-Weight-Versions"
	headerLoad        = "Beechtide-Load"
	headerLastEvent   = "Last-Event-Id"
	headerWait        = "Wait-Ms"
)

const contentTypeStream = "text/event-stream"

func (r *Runner) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", r.serveReport)
	mux.HandleFunc("POST /api/order", r.serveOrder)
	mux.HandleFunc("GET /api/kv-events", r.serveCacheEvents)
	mux.HandleFunc("GET /api/kv-list", r.serveCacheList)
	mux.HandleFunc("GET "+r.config.ProbePath, r.serveProbe)
	mux.HandleFunc("/", r.serveRequest)
	return mux
}

// serveRequest runs a request, or rejects it with the header Beechtide-Not-Executed.
func (r *Runner) serveRequest(w http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get(headerAttempt)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.Header().Set(headerAttempt, attempt)
	w.Header().Set(headerLoad, r.load())
	if status := r.rejectStatus(request); status != 0 {
		reject(w, status)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeLeft(request))
	defer cancel()
	if !r.acquireSlot(ctx) {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	defer r.releaseSlot()
	if r.weights.blocked(request.Header.Get(headerModel)) {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	r.run(ctx, w, request, body)
}

func reject(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}

// rejectStatus returns the status for a request that this runner must not run, 0 if it
// may run.
func (r *Runner) rejectStatus(request *http.Request) int {
	if request.Header.Get(headerAttempt) == "" {
		return http.StatusBadRequest
	}
	if target := request.Header.Get(headerTarget); target != "" && target != r.id {
		return http.StatusMisdirectedRequest
	}
	expected := request.Header.Get(headerExpected)
	if expected != "" && expected != strconv.FormatInt(r.weights.activeVersion(), 10) {
		return http.StatusMisdirectedRequest
	}
	if r.weights.blocked(request.Header.Get(headerModel)) {
		return http.StatusServiceUnavailable
	}
	return 0
}

// defaultTimeLeft is the timeout of requests without a valid Beechtide-Time-Left.
const defaultTimeLeft = 10 * time.Second

func timeLeft(request *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(request.Header.Get(headerTimeLeft), 64)
	if err != nil || ms <= 0 {
		return defaultTimeLeft
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// acquireSlot waits for a slot. It returns false if the queue is full or ctx ends first.
func (r *Runner) acquireSlot(ctx context.Context) bool {
	r.mu.Lock()
	if r.active >= r.config.Capacity && r.queued >= r.config.QueueLength {
		r.mu.Unlock()
		return false
	}
	r.queued++
	r.mu.Unlock()
	acquired := false
	select {
	case r.slots <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued--
	if acquired {
		r.active++
	}
	return acquired
}

func (r *Runner) releaseSlot() {
	<-r.slots
	r.mu.Lock()
	r.active--
	r.mu.Unlock()
}

// run runs one request and reports it to Config.OnRun. The response to a request with a
// token count is a stream that ends with the event of that number.
func (r *Runner) run(ctx context.Context, w http.ResponseWriter, request *http.Request, body []byte) {
	run := Run{
		Attempt: request.Header.Get(headerAttempt), Runner: r.id, Service: r.config.Service,
		Path: request.URL.Path, Tenant: request.Header.Get(headerTenant), Seal: r.nextSeal(),
		Checksum: crc32.ChecksumIEEE(body), Began: time.Now(),
		Resumed: request.Header.Get(headerLastEvent) != "",
	}
	r.config.OnRun(run)
	w.Header().Set(headerSeal, run.Seal)
	w.Header().Set(headerVersions, strconv.FormatInt(r.weights.activeVersion(), 10))
	tokens := outputTokens(request)
	if tokens > 0 {
		run.Finished = r.stream(ctx, w, request, tokens)
	} else {
		run.Finished = r.writeResponse(ctx, w, run)
	}
	run.Ended = time.Now()
	r.config.OnRun(run)
	if !run.Finished {
		panic(http.ErrAbortHandler) // breaks the connection, as the response isn't complete
	}
	r.cache.insert(request.Header.Get(headerSalt), request.Header.Get(headerParts), r.config.Model)
}

func (r *Runner) nextSeal() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seals++
	return fmt.Sprintf("%s.%x", r.id, r.seals)
}

// outputTokens returns the number of tokens that a request is to generate, 0 if it isn't a
// generation.
func outputTokens(request *http.Request) int {
	_, out, found := strings.Cut(request.Header.Get(headerTokens), ",")
	if !found {
		return 0
	}
	tokens, err := strconv.Atoi(strings.TrimSpace(out))
	if err != nil {
		return 0
	}
	return tokens
}

// ResponseBody returns the body of a plain response. A client compares it with the attempt
// and the checksum that it sent.
func ResponseBody(attempt, seal string, checksum uint32) string {
	return fmt.Sprintf("attempt=%s seal=%s sum=%08x", attempt, seal, checksum)
}

func (r *Runner) writeResponse(ctx context.Context, w http.ResponseWriter, run Run) bool {
	loop.Pause(ctx, r.config.WorkTime)
	if ctx.Err() != nil {
		return false
	}
	_, err := io.WriteString(w, ResponseBody(run.Attempt, run.Seal, run.Checksum))
	return err == nil
}

// Event returns the event of a stream with this number, counted from 1.
func Event(attempt string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", number, attempt, number)
}

// stream writes the events of a generation, beginning after Last-Event-Id. It reports
// whether all of them were written.
func (r *Runner) stream(ctx context.Context, w http.ResponseWriter, request *http.Request, tokens int) bool {
	last, err := strconv.Atoi(request.Header.Get(headerLastEvent))
	if err != nil {
		last = 0
	}
	loop.Pause(ctx, r.config.PrefillTime)
	w.Header().Set("Content-Type", contentTypeStream)
	controller := http.NewResponseController(w)
	for number := last + 1; number <= tokens; number++ {
		if ctx.Err() != nil {
			return false
		}
		if _, err := io.WriteString(w, Event(request.Header.Get(headerAttempt), number)); err != nil {
			return false
		}
		if controller.Flush() != nil {
			return false
		}
		if number < tokens {
			loop.Pause(ctx, r.config.TokenTime)
		}
	}
	return true
}
