// Package history records the calls of operators to the control plane with their
// answers, and checks them.
//
// The register of the configuration and the named weights must be linearizable
// (decided by porcupine), and an order that was refused for good must never come into
// force. Time is a count of events: a call that returned before another began comes
// before it.
//
// The package is pure and starts no goroutine. A History is not safe for concurrent
// use.
package history

import (
	"fmt"
	"math"
	"strings"
)

// Kind says what a call asks for.
type Kind int

// Kinds of calls.
const (
	Replace     Kind = iota // bring a configuration
	Read                    // read the newest configuration
	NameWeights             // name the newest weights of a model
	ReadWeights             // read the newest weights of a model
)

// Verdict is what the caller was told.
type Verdict int

// Verdicts. Unclear stands for 503, silence and a lost answer alike: the call
// may have had its effect, may have it later, or never.
const (
	Unclear   Verdict = iota
	Taken             // 200
	Overtaken         // 412
	Invalid           // 400
)

func (v Verdict) String() string {
	return [...]string{"unclear", "taken", "overtaken", "invalid"}[v]
}

// Call is what was asked.
type Call struct {
	Kind    Kind
	Digest  string // of the configuration's bytes
	Version int64  // of the configuration or the weights
	Base    int64  // the version that the configuration builds on
	Faulty  bool   // validation refuses the configuration
	// Disputed says that some versions of the program take the configuration and
	// others refuse it. Either will do, but not both.
	Disputed bool
	Model    string // whose weights
}

func (c Call) String() string {
	switch c.Kind {
	case Replace:
		return fmt.Sprintf("Replace %s version %d on %d", c.Digest, c.Version, c.Base)
	case Read:
		return "Read"
	case NameWeights:
		return fmt.Sprintf("NameWeights %s %d", c.Model, c.Version)
	default:
		return "ReadWeights " + c.Model
	}
}

func (c Call) reads() bool { return c.Kind == Read || c.Kind == ReadWeights }

// Answer is what came back. Digest and Version belong to reads; version 0 is
// that of a register that holds nothing yet.
type Answer struct {
	Verdict Verdict
	Digest  string
	Version int64
}

func (a Answer) String() string {
	if a.Version == 0 && a.Digest == "" {
		return a.Verdict.String()
	}
	return fmt.Sprintf("%s: version %d %s", a.Verdict, a.Version, a.Digest)
}

// entry is one call with its answer.
type entry struct {
	client       int
	call         Call
	answer       Answer
	began, ended int64
}

// open is the end of a call that has no clear answer: it may still have its
// effect after everything else.
const open = math.MaxInt64

// History is a record of calls in the order in which they began and ended. The
// zero value is empty and ready.
type History struct {
	entries []entry
	lines   []string
	now     int64
}

// Begin notes that a client makes a call, and returns its number.
func (h *History) Begin(client int, call Call) int {
	h.now++
	h.entries = append(h.entries, entry{client: client, call: call, began: h.now, ended: open})
	id := len(h.entries) - 1
	h.Note("call %d by client %d: %s", id, client, call)
	return id
}

// End notes what the client was told. A call that never ends here is unclear.
func (h *History) End(id int, answer Answer) {
	h.now++
	h.Note("call %d: %s", id, answer)
	if answer.Verdict == Unclear {
		return
	}
	h.entries[id].answer, h.entries[id].ended = answer, h.now
}

// Note adds a line to the printed history: a fault, a step of a node.
func (h *History) Note(format string, args ...any) {
	h.lines = append(h.lines, fmt.Sprintf("%5d  ", h.now)+fmt.Sprintf(format, args...))
}

// String prints the history in order.
func (h *History) String() string { return strings.Join(h.lines, "\n") }
