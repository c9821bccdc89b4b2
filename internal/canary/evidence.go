package canary

import (
	"math"
)

// Outcome is how the requests to some runners ended, so far.
type Outcome struct {
	Answers int
	Bad     int
}

func (o Outcome) minus(earlier Outcome) Outcome {
	return Outcome{Answers: o.Answers - earlier.Answers, Bad: o.Bad - earlier.Bad}
}

func (o Outcome) valid() bool { return o.Bad >= 0 && o.Answers >= o.Bad }

// Pair is the outcomes of the same kind of requests, looked at in the same way, at the new
// version and at the others.
type Pair struct{ New, Other Outcome }

// Evidence is pairs of outcomes by the name of the comparison: a kind of request and what is
// looked at.
type Evidence map[string]Pair

// Parameters of the comparisons.
const (
	// minBad is how many bad answers a version has to give at least to be found worse.
	minBad = 4
	// errorExponent bounds the chance, e to the power of minus it, that a comparison finds a
	// version worse that is as bad as tolerated, if it is made once.
	errorExponent = 11.0
	// tolerated is the least share of bad answers that is not held against a version.
	tolerated = 0.03
	// toleratedFactor is how much worse than the others a version may be.
	toleratedFactor = 1.5
	// worseBy is by how much the share of bad answers of a version is larger that is worse.
	worseBy = 0.15
	// fineExponent is the same as errorExponent for a version that is as good as the others. It is
	// lower: such a version is watched on.
	fineExponent = 2.0
	// openExponent is the same for the outcomes of one kind of request, of which there are fewer:
	// they must not leave it open which way they lean.
	openExponent = -0.5
	// priorAnswers and priorBad stand for what is known of the others before the first answers.
	priorAnswers = 20.0
	priorBad     = 0.3
	// maxOtherBad is the share of bad answers of the others above which nothing can be told.
	maxOtherBad = 0.5
)

// evidenceFor returns how much the outcomes speak for a version that is worse than the others:
// the logarithm of the likelihood ratio of Wald's sequential test, between a share of bad answers
// that is tolerated and one that is not. Both follow from the outcomes of the other versions at
// the same time, so that what is wrong with the network, the clients or the load counts for both.
func evidenceFor(pair Pair) float64 {
	other := (float64(pair.Other.Bad) + priorBad) / (float64(pair.Other.Answers) + priorAnswers)
	if other > maxOtherBad {
		return 0
	}
	fine := max(tolerated, toleratedFactor*other)
	worse := fine + worseBy
	good := float64(pair.New.Answers - pair.New.Bad)
	return float64(pair.New.Bad)*math.Log(worse/fine) + good*math.Log((1-worse)/(1-fine))
}

// isFine reports whether the outcomes show that the new version is as good as the others.
func isFine(name string, pair Pair) bool {
	bound := openExponent
	if name == AllRequests {
		bound = -fineExponent
	}
	return pair.New.valid() && pair.Other.valid() && evidenceFor(pair) < bound
}

// isWorse reports whether the outcomes show that the new version is worse.
func isWorse(pair Pair) bool {
	return pair.New.valid() && pair.Other.valid() && pair.New.Bad >= minBad && evidenceFor(pair) > errorExponent
}

// sample is the evidence as it was at one time.
type sample struct {
	atUs     int64
	evidence Evidence
}

const (
	// windowUs is how far back the recent outcomes go that are compared beside all of them: a
	// version may turn bad after a good while.
	windowUs      = int64(2_500_000)
	samplePauseUs = int64(250_000)
)

// monitor compares the outcomes of a rollout.
type monitor struct {
	newest  Evidence
	samples []sample
}

// observe takes the outcomes so far.
func (m *monitor) observe(evidence Evidence, nowUs int64) {
	m.newest = evidence
	if n := len(m.samples); n > 0 && nowUs-m.samples[n-1].atUs < samplePauseUs {
		return
	}
	m.samples = append(m.samples, sample{nowUs, evidence})
	for len(m.samples) > 1 && nowUs-m.samples[1].atUs >= windowUs {
		m.samples = m.samples[1:]
	}
}

// worse returns the comparison that finds the new version worse, empty for none: by all outcomes,
// or by the recent ones.
func (m *monitor) worse() string {
	for name, pair := range m.newest {
		if isWorse(pair) {
			return name
		}
		if isWorse(m.recent(name, pair)) {
			return name + " of late"
		}
	}
	return ""
}

// suspect returns a comparison of which the outcomes do not show that the new version is as good
// as the others; empty for none. One with few answers is left out.
func (m *monitor) suspect() string {
	for name, pair := range m.newest {
		if pair.New.Answers >= minAnswers && !isFine(name, pair) {
			return name
		}
	}
	return ""
}

// leans returns a comparison in which the recent outcomes speak for a version that is worse, be
// it weakly; empty for none.
func (m *monitor) leans() string {
	for name, pair := range m.newest {
		if recent := m.recent(name, pair); recent.New.Bad >= minBad && recent.New.valid() && recent.Other.valid() && evidenceFor(recent) > fineExponent {
			return name
		}
	}
	return ""
}

// recent is the outcomes of a comparison within the window.
func (m *monitor) recent(name string, pair Pair) Pair {
	if len(m.samples) == 0 {
		return pair
	}
	before := m.samples[0].evidence[name]
	return Pair{New: pair.New.minus(before.New), Other: pair.Other.minus(before.Other)}
}

// AllRequests is the name of the comparison that has every answer, by whether it failed.
const AllRequests = "all"
