// Package invariant registers rules that must hold while the program runs, counts their
// violations and logs them.
//
// An Invariant is a package variable of the package that guarantees the rule. Code that
// detects a violation calls Violated, which only increments a counter, calls the handler
// if one is set, and logs at most one line a second for each invariant. Checking a rule
// that holds costs only the caller's comparison. Counts are per process. Tests set a
// handler (package invarianttest) that makes violations fail them.
package invariant

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// ErrViolated is the error under which violations are logged.
var ErrViolated = errors.New("invariant violated")

// logInterval is the least time between two log lines about one invariant.
const logInterval = time.Second

// Invariant is a named rule. It is safe for concurrent use.
type Invariant struct {
	name       string
	rule       string
	violations atomic.Int64
	lastLogNs  atomic.Int64 // Unix nanoseconds of the last log line
}

// Violation is one occurrence of an invariant not holding.
type Violation struct {
	Name   string
	Rule   string
	Detail []any // alternating keys and values, as for a log line
}

// Count is the number of violations of an invariant.
type Count struct {
	Name       string
	Rule       string
	Violations int64
}

// Handler is called for every violation, on the goroutine that detected it.
type Handler func(v Violation)

var registered struct {
	mu      sync.Mutex
	all     []*Invariant
	log     logr.Logger
	handler Handler
}

// New registers an invariant. The name consists of lower case letters and underscores and
// is unique in the process; the rule is one sentence for the operator.
func New(name, rule string) *Invariant {
	i := &Invariant{name: name, rule: rule}
	registered.mu.Lock()
	defer registered.mu.Unlock()
	registered.all = append(registered.all, i)
	return i
}

// Name returns the name under which violations are counted.
func (i *Invariant) Name() string { return i.name }

// Violations returns how often the invariant was violated in this process.
func (i *Invariant) Violations() int64 { return i.violations.Load() }

// Violated records a violation. The detail describes it as alternating keys and values, as
// for a log line.
func (i *Invariant) Violated(detail ...any) {
	total := i.violations.Add(1)
	registered.mu.Lock()
	log, handler := registered.log, registered.handler
	registered.mu.Unlock()
	if handler != nil {
		handler(Violation{Name: i.name, Rule: i.rule, Detail: detail})
	}
	nowNs := time.Now().UnixNano()
	lastLogNs := i.lastLogNs.Load()
	if nowNs-lastLogNs < int64(logInterval) || !i.lastLogNs.CompareAndSwap(lastLogNs, nowNs) {
		return
	}
	log.Error(ErrViolated, i.rule, append([]any{"invariant", i.name, "violations", total}, detail...)...)
}

// Counts returns the counts of all invariants, sorted by name.
func Counts() []Count {
	registered.mu.Lock()
	defer registered.mu.Unlock()
	out := make([]Count, 0, len(registered.all))
	for _, i := range registered.all {
		out = append(out, Count{Name: i.name, Rule: i.rule, Violations: i.violations.Load()})
	}
	slices.SortFunc(out, func(a, b Count) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Violations returns the counts of the invariants that were violated, to be included in a
// node's condition.
func Violations() []messages.ViolationCount {
	var out []messages.ViolationCount
	for _, c := range Counts() {
		if c.Violations > 0 {
			out = append(out, messages.ViolationCount{Name: c.Name, Count: c.Violations})
		}
	}
	return out
}

// LogTo sets the logger for violations. Until it is called they are only counted.
func LogTo(log logr.Logger) {
	registered.mu.Lock()
	defer registered.mu.Unlock()
	registered.log = log
}

// SetHandler sets the function that is called for every violation, nil for none, and returns
// the previous one.
func SetHandler(handler Handler) Handler {
	registered.mu.Lock()
	defer registered.mu.Unlock()
	previous := registered.handler
	registered.handler = handler
	return previous
}
