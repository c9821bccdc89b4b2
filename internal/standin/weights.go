// Orders to load other weights.

package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/api"
)

// Order is an order that a runner received, and the status of its response.
type Order struct {
	Runner  string
	Holder  string
	Fence   int64
	Model   string
	Version int64
	Status  int
	Arrived time.Time
}

// weights is the state of the loaded model and of the order being executed.
type weights struct {
	loadTime time.Duration

	mu       sync.Mutex
	model    string
	version  int64
	target   int64 // version being loaded; 0: none
	sequence int64
	fence    int64 // highest seen
}

func newWeights(model string, version int64, loadTime time.Duration) *weights {
	return &weights{model: model, version: version, loadTime: loadTime}
}

func (w *weights) activeVersion() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *weights) state() (sequence int64, busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sequence, w.target != 0
}

// blocked reports whether an order that is being executed blocks requests for a model.
func (w *weights) blocked(model string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.target != 0 && model == w.model
}

// accept evaluates an order and returns the status of the response. After 202 the new
// weights become active when the load time has passed.
func (w *weights) accept(order api.Order) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case order.Holder == "" || order.Fence == 0 || order.Op != api.Version || order.Model != w.model || order.Version <= 0:
		return http.StatusBadRequest
	case order.Fence < w.fence:
		return http.StatusPreconditionFailed
	}
	w.fence = order.Fence
	switch {
	case order.Version == w.version && w.target == 0:
		return http.StatusOK
	case w.target != 0, order.Expected != nil && *order.Expected != w.sequence:
		return http.StatusConflict
	}
	w.sequence++
	w.target = order.Version
	time.AfterFunc(w.loadTime, w.activateTarget)
	return http.StatusAccepted
}

func (w *weights) activateTarget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version, w.target = w.target, 0
}

func (r *Runner) serveOrder(w http.ResponseWriter, request *http.Request) {
	if target := request.Header.Get(headerTarget); target != "" && target != r.id {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	var order api.Order
	arrived := time.Now()
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := r.weights.accept(order)
	r.config.OnOrder(Order{
		Runner: r.id, Holder: order.Holder, Fence: order.Fence,
		Model: order.Model, Version: order.Version, Status: status, Arrived: arrived,
	})
	w.WriteHeader(status)
	if status == http.StatusAccepted {
		r.cache.dropAll()
	}
}
