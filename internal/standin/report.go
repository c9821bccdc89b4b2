// The runner's own endpoints: health probe, load report, cached prompt parts.

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"beechtide.org/beechtide/internal/api"
)

// load returns the value of the header Beechtide-Load: running requests, queued requests
// and slots.
func (r *Runner) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.active, r.queued, r.config.Capacity)
}

func (r *Runner) serveProbe(w http.ResponseWriter, request *http.Request) {
	w.Header().Set(headerInstance, r.id)
	w.Header().Set(headerLoad, r.load())
	w.Header().Set(headerAttempt, request.Header.Get(headerAttempt))
	if target := request.Header.Get(headerTarget); target != "" && target != r.id {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	if draining {
		reject(w, http.StatusServiceUnavailable)
	}
}

func (r *Runner) serveReport(w http.ResponseWriter, request *http.Request) {
	if target := request.Header.Get(headerTarget); target != "" && target != r.id {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	sequence, busy := r.weights.state()
	r.mu.Lock()
	report := api.Report{
		Phase: "combined", Active: r.active, Queued: r.queued, Saturated: busy, Sequence: sequence,
		CacheTotal: r.config.CacheTokens,
		Models:     []api.HeartbeatModel{{Name: r.config.Model, Version: r.weights.activeVersion()}},
	}
	r.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (r *Runner) serveCacheEvents(w http.ResponseWriter, request *http.Request) {
	since, err := strconv.ParseInt(request.URL.Query().Get("since"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(request.Header.Get(headerWait))
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	writeJSON(w, http.StatusOK, r.cache.eventsSince(ctx, since))
}

func (r *Runner) serveCacheList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.cache.list())
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
