// What was seen of named weights.

package soak

import "time"

// WeightsTarget is a version of the weights that the operator named.
type WeightsTarget struct {
	Version      int64
	Sent         time.Time
	Ended        time.Time
	Acknowledged bool
}

// LoadedWeights is the version that a runner has at the end.
type LoadedWeights struct {
	Runner  string
	Version int64
}
