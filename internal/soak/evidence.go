// What was seen in a soak, from all parties, as the judge takes it.

package soak

import (
	"sync"
	"time"

	"beechtide.org/beechtide/internal/load"
	"beechtide.org/beechtide/internal/standin"
)

// Span is a fault as it was played: until the party served again.
type Span struct {
	Fault Fault
	Node  string // name of the process; empty for a runner
	From  time.Time
	To    time.Time
	Back  bool // the party served again in time
	// Acknowledged is when a controller acknowledged that the runner drains; zero: never.
	Acknowledged time.Time
	Runner       string // id of the runner's incarnation
}

// LogFinding is a line of a child's log that no child should write.
type LogFinding struct {
	Node string
	Line string
}

// Evidence is all that was seen.
type Evidence struct {
	Records      []load.Record
	Runs         []standin.Run // each begun; the later entry of one seal replaces the earlier
	Spans        []Span
	Changes      []Change
	Reads        []Read
	Probes       []Probe
	Namings      []WeightsTarget
	Orders       []standin.Order
	Weights      []LoadedWeights // at the end
	Calls        []standin.PlatformCall
	UsageDue     int64 // the newest window of usage that must have been reported
	Convergences []Convergence
	OwnEnds      []string // processes that ended by themselves
	LogFindings  []LogFinding
	Faulty       time.Time // from when on faults were played
	Calm         time.Time // from when on all parties were well
	Unserved     []string  // parties that don't serve at the end
}

// recorder collects evidence from many goroutines.
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
