// Package invariant names rules that hold while the program runs, counts their
// violations and reports them.
//
// An Invariant is a package variable of the package whose rule it is. The code that
// can tell calls Violated where the rule does not hold; nothing is changed by that
// but a count and, once a second at most for each invariant, a line in the log. Where
// a rule holds, it costs the comparison and nothing else. Counts are those of the
// process. Tests replace the handler (package invarianttest), so that a violation
// fails them.
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

// logInterval is the least time between two lines of one invariant in the log.
const logInterval = time.Second

// Invariant is a named rule. It is safe for concurrent use.
type Invariant struct {
	name       string
	rule       string
	violations atomic.Int64
	loggedAt   atomic.Int64 // Unix nanoseconds of the last line in the log
}

// Violation is one case in which an invariant did not hold.
type Violation struct {
	Name   string
	Rule   string
	Detail []any // keys and values, as for a line of the log
}

// Count is how often an invariant was violated.
type Count struct {
	Name       string
	Rule       string
	Violations int64
}

// Handler is told of every violation, on the goroutine that found it.
type Handler func(v Violation)

var registered struct {
	mu      sync.Mutex
	all     []*Invariant
	log     logr.Logger
	handler Handler
}

// New registers an invariant. The name is a word of lower case letters and
// underscores, unique in the process; the rule is one sentence for the operator.
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

// Violated records that the rule did not hold. The detail is keys and values that
// tell the case apart, as for a line of the log.
func (i *Invariant) Violated(detail ...any) {
	total := i.violations.Add(1)
	registered.mu.Lock()
	log, handler := registered.log, registered.handler
	registered.mu.Unlock()
	if handler != nil {
		handler(Violation{Name: i.name, Rule: i.rule, Detail: detail})
	}
	nowNs := time.Now().UnixNano()
	before := i.loggedAt.Load()
	if nowNs-before < int64(logInterval) || !i.loggedAt.CompareAndSwap(before, nowNs) {
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

// Violations returns the counts of the invariants that were violated, for a node's
// condition.
func Violations() []messages.ViolationCount {
	var out []messages.ViolationCount
	for _, c := range Counts() {
		if c.Violations > 0 {
			out = append(out, messages.ViolationCount{Name: c.Name, Count: c.Violations})
		}
	}
	return out
}

// LogTo sets the log that violations are written to; before that they are only
// counted.
func LogTo(log logr.Logger) {
	registered.mu.Lock()
	defer registered.mu.Unlock()
	registered.log = log
}

// SetHandler sets who is told of every violation, nil for nobody, and returns the
// handler before.
func SetHandler(handler Handler) Handler {
	registered.mu.Lock()
	defer registered.mu.Unlock()
	before := registered.handler
	registered.handler = handler
	return before
}
