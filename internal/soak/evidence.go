// The observations of a soak, collected from all components for Evaluate.

package soak

import (
	"sync"
	"time"

	"beechtide.org/beechtide/internal/load"
	"beechtide.org/beechtide/internal/standin"
)

// Span is the period of an injected fault, until the affected component served again.
type Span struct {
	Fault Fault
	Node  string // name of the process; empty for a runner
	From  time.Time
	To    time.Time
	Back  bool // the component served again in time
	// Acknowledged is when a controller acknowledged the draining of the runner; zero if none did.
	Acknowledged time.Time
	Runner       string // id of the affected runner incarnation
}

// LogFinding is a line of a child process's log that contains one of forbiddenLogTexts.
type LogFinding struct {
	Node string
	Line string
}

// ProcessEvidence holds the observations of the child processes.
type ProcessEvidence struct {
	OwnEnds     []string // processes that exited unexpectedly
	LogFindings []LogFinding
	MemoryPeaks []MemoryPeak
}

// Evidence holds all observations of one soak.
type Evidence struct {
	Records []load.Record
	Runs    []standin.Run // entry when a run begins and when it ends; the later entry of a seal replaces the earlier
	Spans   []Span
	Changes []Change
	Reads   []Read
	Probes  []Probe
	WeightsEvidence
	Orders []standin.Order
	TallyEvidence
	EvacuationEvidence
	Calls        []standin.PlatformCall
	UsageDue     int64 // the newest usage window that must have been reported
	Convergences []Convergence
	ProcessEvidence
	Faulty   time.Time // start of the faults
	Calm     time.Time // since when all components are healthy
	Unserved []string  // components that do not serve at the end
}

// recorder collects evidence from concurrent goroutines.
type recorder struct {
	mu       sync.Mutex
	evidence Evidence
}

func (r *recorder) update(change func(e *Evidence)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.evidence)
}

func (r *recorder) onRecord(record load.Record) {
	r.update(func(e *Evidence) { e.Records = append(e.Records, record) })
}

func (r *recorder) onRun(run standin.Run) {
	r.update(func(e *Evidence) { e.Runs = append(e.Runs, run) })
}

func (r *recorder) onCall(call standin.PlatformCall) {
	r.update(func(e *Evidence) { e.Calls = append(e.Calls, call) })
}

func (r *recorder) onOrder(order standin.Order) {
	r.update(func(e *Evidence) { e.Orders = append(e.Orders, order) })
}
