// Observations of the configuration.

package soak

import "time"

// ChangeOutcome is the result of a configuration change as the operator observed it.
type ChangeOutcome string

// The outcomes.
const (
	ChangeAcknowledged ChangeOutcome = "acknowledged"
	ChangeConflict     ChangeOutcome = "conflict"
	ChangeRefused      ChangeOutcome = "refused"
	ChangeUnknown      ChangeOutcome = "unknown"
)

// Change is a configuration change that was submitted.
type Change struct {
	Version int64
	Base    int64
	Digest  string // of the content
	Sent    time.Time
	Ended   time.Time
	Calls   int
	Outcome ChangeOutcome
	Repeat  bool // second submission of an acknowledged change, with no other change submitted in between
}

// Read is the result of reading the configuration from a controller.
type Read struct {
	Node    string
	Sent    time.Time
	Status  int
	Version int64
	Digest  string
	Final   bool // read at the end, when all components are healthy
}

// Probe is a request on the route that only one version has.
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

// Convergence is the time a router took, in calm, to serve an acknowledged version.
type Convergence struct {
	Node     string
	Version  int64
	Took     time.Duration
	Complete bool
}
