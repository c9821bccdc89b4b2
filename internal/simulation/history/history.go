// Package history records the calls of operators to the control plane with their
// responses, and checks them. The simulated clusters use it.
//
// The register of the configuration and the named weights must be linearizable
// (decided by porcupine), and an order that was refused for good must never come into
// force. Time is a count of events: a call that returned before another began precedes
// it.
//
// The package is pure and starts no goroutine. A History is not safe for concurrent
// use.
package history

import (
	"fmt"
	"math"
	"strings"
)

// Kind is the type of a call.
type Kind int

// Kinds of calls.
const (
	Replace     Kind = iota // replace the configuration
	Read                    // read the newest configuration
	SetWeights              // set the newest weights version of a model
	ReadWeights             // read the newest weights version of a model
)

// Verdict is the outcome of a call as seen by the caller.
type Verdict int

// Verdicts. Unclear stands for 503, a timeout or a lost response: the call may have taken
// effect, may take effect later, or never.
const (
	Unclear    Verdict = iota
	Accepted           // 200
	Superseded         // 412
	Invalid            // 400
)

func (v Verdict) String() string {
	return [...]string{"unclear", "taken", "overtaken", "invalid"}[v]
}

// Call is a call by an operator with its arguments.
type Call struct {
	Kind    Kind
	Digest  string // of the configuration's bytes
	Version int64  // of the configuration or the weights
	Base    int64  // the version that the configuration replaces
	Faulty  bool   // the configuration fails validation
	// Disputed marks a configuration that some versions of the program accept and
	// others refuse. Either outcome is correct, but not both.
	Disputed bool
	Model    string // of the weights
}

func (c Call) String() string {
	switch c.Kind {
	case Replace:
		return fmt.Sprintf("Replace %s version %d on %d", c.Digest, c.Version, c.Base)
	case Read:
		return "Read"
	case SetWeights:
		return fmt.Sprintf("NameWeights %s %d", c.Model, c.Version)
	default:
		return "ReadWeights " + c.Model
	}
}

func (c Call) reads() bool { return c.Kind == Read || c.Kind == ReadWeights }

// Response is the result of a call. Digest and Version are set for reads; version 0 is that
// of an empty register.
type Response struct {
	Verdict Verdict
	Digest  string
	Version int64
}

func (a Response) String() string {
	if a.Version == 0 && a.Digest == "" {
		return a.Verdict.String()
	}
	return fmt.Sprintf("%s: version %d %s", a.Verdict, a.Version, a.Digest)
}

// entry is a recorded call with its result.
type entry struct {
	client       int
	call         Call
	response     Response
	began, ended int64
}

// neverEnded is the end time of a call without a clear result: it may still take effect after
// all other calls.
const neverEnded = math.MaxInt64

// History is a record of calls in the order in which they began and ended. The zero value
// is an empty history ready to use.
type History struct {
	entries []entry
	lines   []string
	now     int64
}

// Begin records the start of a call by a client, and returns the call's number.
func (h *History) Begin(client int, call Call) int {
	h.now++
	h.entries = append(h.entries, entry{client: client, call: call, began: h.now, ended: neverEnded})
	id := len(h.entries) - 1
	h.Logf("call %d by client %d: %s", id, client, call)
	return id
}

// End records the result of a call. A call without End is unclear.
func (h *History) End(id int, response Response) {
	h.now++
	h.Logf("call %d: %s", id, response)
	if response.Verdict == Unclear {
		return
	}
	h.entries[id].response, h.entries[id].ended = response, h.now
}

// Logf adds a line to the printed history, such as a fault or a step of a node.
func (h *History) Logf(format string, args ...any) {
	h.lines = append(h.lines, fmt.Sprintf("%5d  ", h.now)+fmt.Sprintf(format, args...))
}

// String returns the lines of the history in order.
func (h *History) String() string { return strings.Join(h.lines, "\n") }
