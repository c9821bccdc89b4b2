// What was seen of the configuration.

package soak

import "time"

// ChangeOutcome is what became of a configuration change, as far as the operator knows.
type ChangeOutcome string

// The outcomes.
const (
	ChangeAcknowledged ChangeOutcome = "acknowledged"
	ChangeConflict     ChangeOutcome = "conflict"
	ChangeRefused      ChangeOutcome = "refused"
	ChangeUnknown      ChangeOutcome = "unknown"
)

// Change is a configuration that was sent.
type Change struct {
	Version int64
	Base    int64
	Digest  string // of the content
	Sent    time.Time
	Ended   time.Time
	Calls   int
	Outcome ChangeOutcome
	Repeat  bool // of a change that was acknowledged, with no other sent since
}

// Read is a configuration that was read.
type Read struct {
	Node    string
	Sent    time.Time
	Status  int
	Version int64
	Digest  string
	Final   bool // at the end, when all parties are well
}

// Probe is a request on the route that one version alone has.
type Probe struct {
	Node    string
	Life    int
	Attempt string
	Version int64
	Sent    time.Time
	Ended   time.Time
	Status  int // 0: no answer
	Newest  int64
}

// Convergence is how long a router took, in calm, to have an acknowledged version in
// force.
type Convergence struct {
	Node     string
	Version  int64
	Took     time.Duration
	Complete bool
}
