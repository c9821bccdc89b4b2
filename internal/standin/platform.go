package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/loop"
)

// Duties whose calls a platform accepts.
const (
	DutyUsage    = "usage"
	DutySetpoint = "setpoint"
)

// PlatformCall is a call received by a platform, with the status of the response.
type PlatformCall struct {
	Duty     string
	Subject  string // a service with its zone; empty for usage
	Holder   string
	Fence    int64
	Arrived  time.Time
	Status   int
	Usage    api.UsageReport
	Setpoint api.SetpointOrder
}

// PlatformConfig configures a platform. Zero values are replaced by defaults.
type PlatformConfig struct {
	Listen         string  // address to accept calls on; port 0 for any
	CallsPerSecond float64 // rate limit; calls beyond it get 429
	ResponseDelay  time.Duration
	OnCall         func(PlatformCall)
}

// Defaults of a platform.
const (
	defaultCallsPerSecond = 50
	defaultResponseDelay  = 5 * time.Millisecond
)

// Platform is a stand-in for the platform's API. It accepts usage reports and orders of
// runner counts, and rejects a call whose fencing token is lower than the highest one
// accepted for its subject. It is safe for concurrent use.
type Platform struct {
	config   PlatformConfig
	listener net.Listener
	server   *http.Server
	serving  sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	down       bool
	fences     map[string]int64
	usage      map[int64]api.UsageReport
	tokens     float64 // in the token bucket that limits the calls
	refilledAt time.Time
}

// NewPlatform returns a platform that isn't started yet.
func NewPlatform(config PlatformConfig) *Platform {
	setDefault(&config.Listen, "127.0.0.1:0")
	setDefault(&config.CallsPerSecond, defaultCallsPerSecond)
	setDefault(&config.ResponseDelay, defaultResponseDelay)
	if config.OnCall == nil {
		config.OnCall = func(PlatformCall) {}
	}
	return &Platform{config: config, fences: map[string]int64{}, usage: map[int64]api.UsageReport{}, tokens: config.CallsPerSecond, refilledAt: time.Now()}
}

// Start opens the listening address, accepts calls on it and returns it.
func (p *Platform) Start() (address string, err error) {
	p.listener, err = net.Listen("tcp4", p.config.Listen)
	if err != nil {
		return "", errors.Wrap(err, "standin: listen on the platform's address")
	}
	calls := http.NewServeMux()
	calls.HandleFunc("POST /usage", p.serveUsage)
	calls.HandleFunc("POST /setpoint", p.serveSetpoint)
	p.server = &http.Server{Handler: calls, ReadHeaderTimeout: time.Second}
	p.serving.Go(func() { _ = p.server.Serve(p.listener) })
	return p.listener.Addr().String(), nil
}

// Close stops the server and waits until it has ended.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.serving.Wait()
}

// SetDown makes the platform respond to every call with 503, or serve calls again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Usage returns the accepted usage reports by the sequence number of their window.
func (p *Platform) Usage() map[int64]api.UsageReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.usage)
}

func (p *Platform) serveUsage(w http.ResponseWriter, r *http.Request) {
	call := PlatformCall{Duty: DutyUsage}
	p.serve(w, r, &call, &call.Usage)
}

func (p *Platform) serveSetpoint(w http.ResponseWriter, r *http.Request) {
	call := PlatformCall{Duty: DutySetpoint}
	p.serve(w, r, &call, &call.Setpoint)
}

// serve decodes a call into content, evaluates it on arrival and responds after the
// configured delay.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request, call *PlatformCall, content any) {
	call.Arrived, call.Holder = time.Now(), r.Header.Get("Beechtide-Duty-Holder")
	fence, err := strconv.ParseInt(r.Header.Get("Beechtide-Fence"), 10, 64)
	if err == nil {
		err = json.NewDecoder(r.Body).Decode(content)
	}
	if err != nil || call.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call.Fence = fence
	if call.Duty == DutySetpoint {
		call.Subject = fmt.Sprintf("%s in %s", call.Setpoint.Service, call.Setpoint.Zone)
	}
	wait := p.evaluate(call)
	p.config.OnCall(*call)
	loop.Pause(r.Context(), wait)
	w.WriteHeader(call.Status)
}

// evaluate sets the status of a call and stores an accepted usage report. It returns the
// delay of the response.
func (p *Platform) evaluate(call *PlatformCall) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	subject := call.Duty + " " + call.Subject
	switch {
	case p.down:
		call.Status = http.StatusServiceUnavailable
	case !p.allowCall(call.Arrived):
		call.Status = http.StatusTooManyRequests
	case call.Fence < p.fences[subject]:
		call.Status = http.StatusConflict
	default:
		call.Status = http.StatusOK
		p.fences[subject] = call.Fence
		if _, repeated := p.usage[call.Usage.WindowSeq]; call.Duty == DutyUsage && !repeated {
			p.usage[call.Usage.WindowSeq] = call.Usage
		}
	}
	return p.config.ResponseDelay
}

// allowCall takes a token for one call, and returns false if the rate limit is reached.
func (p *Platform) allowCall(now time.Time) bool {
	p.tokens = min(p.tokens+now.Sub(p.refilledAt).Seconds()*p.config.CallsPerSecond, p.config.CallsPerSecond)
	p.refilledAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}
