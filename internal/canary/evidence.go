package canary

import (
	"math"
)

// Outcome counts the answers of some runners so far, and how many of them were bad.
type Outcome struct {
	Answers int
	Bad     int
}

func (o Outcome) subtract(earlier Outcome) Outcome {
	return Outcome{Answers: o.Answers - earlier.Answers, Bad: o.Bad - earlier.Bad}
}

func (o Outcome) isValid() bool { return o.Bad >= 0 && o.Answers >= o.Bad }

// Pair holds the outcomes of one comparison at the new version and at the others, which
// are its baseline.
type Pair struct{ New, Baseline Outcome }

// Evidence holds the outcomes by the name of the comparison, which stands for a kind of
// request and a criterion for bad answers.
type Evidence map[string]Pair

// Parameters of the comparisons.
const (
	// minBadAnswers is the minimum number of bad answers for a version to be found worse.
	minBadAnswers = 4
	// worseThreshold is the log-likelihood ratio above which a version is found worse. The
	// probability that a single comparison finds a version worse whose share of bad answers is
	// just tolerable is at most exp(-worseThreshold).
	worseThreshold = 11.0
	// minTolerableShare is the share of bad answers that is tolerable however few the others have.
	minTolerableShare = 0.03
	// tolerableRatio is the tolerable ratio of the version's share of bad answers to that of
	// the others.
	tolerableRatio = 1.5
	// worseShareDifference is the difference between the tolerable share of bad answers and the
	// share of a version that is worse.
	worseShareDifference = 0.15
	// acceptThreshold is the negated log-likelihood ratio below which a version is as good as the
	// others, by all requests. It is lower than worseThreshold because the version is monitored
	// further.
	acceptThreshold = 2.0
	// partialAcceptThreshold is the log-likelihood ratio below which a version is as good as the
	// others, by the requests of one kind. There are fewer of these, so the ratio only has to be
	// clearly negative.
	partialAcceptThreshold = -0.5
	// priorAnswers and priorBad are the assumed outcomes of the others before their first answers.
	priorAnswers = 20.0
	priorBad     = 0.3
	// maxBaselineBadShare is the share of bad answers of the others above which a comparison has no
	// result.
	maxBaselineBadShare = 0.5
)

// logLikelihoodRatio returns the log-likelihood ratio of Wald's sequential probability ratio test
// that the new version is worse than the others, between a tolerable share of bad answers and one
// that is not. Both shares are derived from the outcomes of the other versions over the same time,
// so that faults of the network, the clients or the load affect both sides alike.
func logLikelihoodRatio(pair Pair) float64 {
	baselineShare := (float64(pair.Baseline.Bad) + priorBad) / (float64(pair.Baseline.Answers) + priorAnswers)
	if baselineShare > maxBaselineBadShare {
		return 0
	}
	tolerableShare := max(minTolerableShare, tolerableRatio*baselineShare)
	worseShare := tolerableShare + worseShareDifference
	good := float64(pair.New.Answers - pair.New.Bad)
	return float64(pair.New.Bad)*math.Log(worseShare/tolerableShare) + good*math.Log((1-worseShare)/(1-tolerableShare))
}

// isAcceptable reports whether the outcomes show that the new version is as good as the others.
func isAcceptable(name string, pair Pair) bool {
	threshold := partialAcceptThreshold
	if name == AllRequests {
		threshold = -acceptThreshold
	}
	return pair.New.isValid() && pair.Baseline.isValid() && logLikelihoodRatio(pair) < threshold
}

// isWorse reports whether the outcomes show that the new version is worse.
func isWorse(pair Pair) bool {
	return pair.New.isValid() && pair.Baseline.isValid() && pair.New.Bad >= minBadAnswers && logLikelihoodRatio(pair) > worseThreshold
}

// sample is the evidence at one time.
type sample struct {
	atUs     int64
	evidence Evidence
}

const (
	// windowUs is the time span of the recent outcomes, which are compared in addition to all
	// outcomes: a version may turn bad after a long time without failures.
	windowUs         = int64(2_500_000)
	sampleIntervalUs = int64(250_000)
)

// monitor compares all and the recent outcomes of a rollout.
type monitor struct {
	newest  Evidence
	samples []sample
}

// observe records the outcomes so far, and samples them for the recent window.
func (m *monitor) observe(evidence Evidence, nowUs int64) {
	m.newest = evidence
	if n := len(m.samples); n > 0 && nowUs-m.samples[n-1].atUs < sampleIntervalUs {
		return
	}
	m.samples = append(m.samples, sample{nowUs, evidence})
	for len(m.samples) > 1 && nowUs-m.samples[1].atUs >= windowUs {
		m.samples = m.samples[1:]
	}
}

// findWorse returns the name of a comparison that finds the new version worse, by all outcomes or
// by the recent ones; empty for none.
func (m *monitor) findWorse() string {
	for name, pair := range m.newest {
		if isWorse(pair) {
			return name
		}
		if isWorse(m.recentOutcomes(name, pair)) {
			return name + " of late"
		}
	}
	return ""
}

// findUnproven returns the name of a comparison whose outcomes do not show that the new version is
// as good as the others; empty for none. Comparisons with fewer than minAnswers answers of the new
// version are skipped.
func (m *monitor) findUnproven() string {
	for name, pair := range m.newest {
		if pair.New.Answers >= minAnswers && !isAcceptable(name, pair) {
			return name
		}
	}
	return ""
}

// findWeaklyWorse returns the name of a comparison whose recent outcomes are weak evidence that the
// new version is worse; empty for none.
func (m *monitor) findWeaklyWorse() string {
	for name, pair := range m.newest {
		if recent := m.recentOutcomes(name, pair); recent.New.Bad >= minBadAnswers && recent.New.isValid() && recent.Baseline.isValid() && logLikelihoodRatio(recent) > acceptThreshold {
			return name
		}
	}
	return ""
}

// recentOutcomes returns the outcomes of a comparison within the window.
func (m *monitor) recentOutcomes(name string, pair Pair) Pair {
	if len(m.samples) == 0 {
		return pair
	}
	earliest := m.samples[0].evidence[name]
	return Pair{New: pair.New.subtract(earliest.New), Baseline: pair.Baseline.subtract(earliest.Baseline)}
}

// AllRequests is the name of the comparison that counts every answer; a failed one is bad.
const AllRequests = "all"
