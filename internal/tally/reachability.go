package tally

const (
	// unreachableUs is for how long all calls to a peer must fail before it counts as unreachable,
	// in microseconds. It is less than the second for which callers wait, so that an add that
	// arrives at the beginning of a partition is acknowledged before its caller retries at another
	// replica.
	unreachableUs = 600_000
	// maxEvidenceAgeUs is how old the evidence of a partition may be when an add is acknowledged by
	// it, in microseconds: the time for which an add may still be acknowledged on fewer disks
	// after the partition has ended.
	maxEvidenceAgeUs = 250_000
)

// Examination is the result of examining a peer to which calls fail: a witness, another node, is
// asked whether it reaches the peer, and then, while this replica probes the peer, asked again.
type Examination struct {
	// ProbedUs is when the probe was sent.
	ProbedUs int64
	// PathCut is set if the probe failed, and a witness reached the peer both before and during
	// the probe. The peer is then running, and the path from this replica to it is cut. Without
	// such a witness, a peer that has lost its power cannot be told from one behind a partition.
	PathCut bool
}

// peerPath is what is known of the path to a peer.
type peerPath struct {
	failing        bool
	failingSinceUs int64 // start of the first failed call since the last answer
	lastFailedUs   int64 // end of the last failed call
	examined       Examination
}

func (p *peerPath) recordAnswer() { *p = peerPath{} }

func (p *peerPath) recordFailure(sentUs, nowUs int64) {
	if !p.failing {
		p.failing, p.failingSinceUs = true, sentUs
	}
	p.lastFailedUs = nowUs
}

func (p *peerPath) recordExamination(examination Examination) {
	if p.failing {
		p.examined = examination
	}
}

// unreachable reports whether all calls have failed for at least unreachableUs. Callers must use
// shorter call timeouts and must not record a failed call that ended far later, as after a pause of
// this process: one such call is no evidence, at least two failed calls are required.
func (p *peerPath) unreachable() bool {
	return p.failing && p.lastFailedUs-p.failingSinceUs >= unreachableUs
}

// cut reports whether the path to the peer is cut, by a probe that was not sent before sinceUs.
func (p *peerPath) cut(sinceUs int64) bool {
	return p.unreachable() && p.examined.PathCut && p.examined.ProbedUs >= sinceUs
}
