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

// Duties that a platform knows.
const (
	DutyUsage    = "usage"
	DutySetpoint = "setpoint"
)

// PlatformCall is a call that reached a platform.
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

// PlatformConfig says how a platform behaves. Zero values are replaced by defaults.
type PlatformConfig struct {
	Listen     string  // address to accept calls on; port 0 for any
	CallsPerS  float64 // more calls in a second get 429
	AnswerTime time.Duration
	OnCall     func(PlatformCall)
}

// Defaults of a platform.
const (
	defaultCallsPerS  = 50
	defaultAnswerTime = 5 * time.Millisecond
)

// Platform is a stand-in for the platform's API: it takes reports of usage and orders of
// runners, each from one holder at a time, and refuses fences that are lower than one it
// has seen. It is safe for concurrent use.
type Platform struct {
	config   PlatformConfig
	listener net.Listener
	server   *http.Server
	serving  sync.WaitGroup

	mu       sync.Mutex // guards what follows
	down     bool
	fences   map[string]int64
	usage    map[int64]api.UsageReport
	tokens   float64 // calls that may be made now
	filledAt time.Time
}

// NewPlatform gives a platform that isn't started yet.
func NewPlatform(config PlatformConfig) *Platform {
	setDefault(&config.Listen, "127.0.0.1:0")
	setDefault(&config.CallsPerS, defaultCallsPerS)
	setDefault(&config.AnswerTime, defaultAnswerTime)
	if config.OnCall == nil {
		config.OnCall = func(PlatformCall) {}
	}
	return &Platform{config: config, fences: map[string]int64{}, usage: map[int64]api.UsageReport{}, tokens: config.CallsPerS, filledAt: time.Now()}
}

// Start accepts calls; it returns the address.
func (p *Platform) Start() (address string, err error) {
	p.listener, err = net.Listen("tcp4", p.config.Listen)
	if err != nil {
		return "", errors.Wrap(err, "standin: open the platform's address")
	}
	calls := http.NewServeMux()
	calls.HandleFunc("POST /usage", p.serveUsage)
	calls.HandleFunc("POST /setpoint", p.serveSetpoint)
	p.server = &http.Server{Handler: calls, ReadHeaderTimeout: time.Second}
	p.serving.Go(func() { _ = p.server.Serve(p.listener) })
	return p.listener.Addr().String(), nil
}

// Close ends the platform.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.serving.Wait()
}

// SetDown has the platform answer every call with 503, or serve again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Usage returns the reports that were accepted, by window.
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

// serve reads a call into content, judges it as it arrives and answers after a while.
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
	wait := p.judge(call)
	p.config.OnCall(*call)
	loop.Pause(r.Context(), wait)
	w.WriteHeader(call.Status)
}

// judge sets the status of a call, and returns how long its answer takes.
func (p *Platform) judge(call *PlatformCall) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	subject := call.Duty + " " + call.Subject
	switch {
	case p.down:
		call.Status = http.StatusServiceUnavailable
	case !p.mayCall(call.Arrived):
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
	return p.config.AnswerTime
}

// mayCall takes one of the calls that may be made in a second.
func (p *Platform) mayCall(now time.Time) bool {
	p.tokens = min(p.tokens+now.Sub(p.filledAt).Seconds()*p.config.CallsPerS, p.config.CallsPerS)
	p.filledAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}
