// Observations of the target weights versions.

package soak

import "time"

// WeightsEvidence holds the observations of the weights.
type WeightsEvidence struct {
	Namings []WeightsTarget
	Weights []LoadedWeights // at the end of the soak
}

// WeightsTarget is a weights version that the operator set as the target.
type WeightsTarget struct {
	Version      int64
	Sent         time.Time
	Ended        time.Time
	Acknowledged bool
}

// LoadedWeights is the weights version that a runner has loaded at the end of the soak.
type LoadedWeights struct {
	Runner  string
	Version int64
}
