// Outlier detection: what the outcomes of requests say of a runner, whatever its
// health endpoint says. A runner that fails far more of its requests than the others
// is ejected from the candidates for a while, longer each time, and comes back with
// few requests at first. The outcomes are this node's own; those of the other nodes
// are a hint, which counts half. An ejected runner stays in the registry and is used
// where no other is left.

package admission

import (
	"math"
	"sort"
)

// Values of the ejection.
const (
	spanUs     = 4_000_000  // outcomes are counted by spans; this one and the last count
	hintPart   = 0.5        // what the others' outcomes count
	illShare   = 0.2        // share of failures from which a runner may be ejected
	illTimes   = 3.0        // and how many times the share of the well ones it must be
	illLeast   = 1.5        // failures that it takes at least
	outPart    = 0.2        // of a service's runners, how many may be out at once
	outUs      = 2_000_000  // how long the first time
	outMaxUs   = 16_000_000 // and at most
	forgiveUs  = 30_000_000 // after which the next time is a first one
	returnUs   = 4_000_000  // over which a runner comes back
	returnCost = 300_000.0  // what it costs in the matching at first
)

type outcomes struct{ tried, failed int }

type health struct {
	span      int64
	now, last outcomes
	hint      outcomes
	outUntil  int64
	outFor    int64
}

func (s *health) roll(nowUs int64) {
	switch span := nowUs / spanUs; {
	case span == s.span:
	case span == s.span+1:
		s.span, s.last, s.now = span, s.now, outcomes{}
	default:
		s.span, s.last, s.now = span, outcomes{}, outcomes{}
	}
}

func (s *health) note(good bool, nowUs int64) {
	s.roll(nowUs)
	s.now.tried++
	if !good {
		s.now.failed++
	}
}

// own are this node's outcomes that still count.
func (s *health) own(nowUs int64) outcomes {
	s.roll(nowUs)
	return outcomes{s.now.tried + s.last.tried, s.now.failed + s.last.failed}
}

func (s *health) weighed(nowUs int64) (tried, failed float64) {
	own := s.own(nowUs)
	return float64(own.tried) + hintPart*float64(s.hint.tried), float64(own.failed) + hintPart*float64(s.hint.failed)
}

func (s *health) out(nowUs int64) bool { return nowUs < s.outUntil }

// doubtUs is what a runner that has just come back costs in the matching.
func (s *health) doubtUs(nowUs int64) float64 {
	if s.outUntil == 0 {
		return 0
	}
	return returnCost * math.Max(0, 1-float64(max(nowUs-s.outUntil, 0))/returnUs)
}

// eject works out anew which runners of a service are out. Where most of them
// fail it is not the runners, and none is.
func (p *pool) eject(nowUs int64) {
	type suspect struct {
		s     *health
		share float64
	}
	var ill []suspect
	wellTried, wellFailed, out := 0.0, 0.0, 0
	for _, id := range p.order {
		s := &p.runners[id].health
		if s.out(nowUs) {
			out++
			continue
		}
		tried, failed := s.weighed(nowUs)
		if share := failed / (tried + 1); failed >= illLeast && share >= illShare {
			ill = append(ill, suspect{s, share})
			continue
		}
		wellTried, wellFailed = wellTried+tried, wellFailed+failed
	}
	if len(ill) == 0 || len(p.order) < 2 || 2*len(ill) > len(p.order) && len(p.order) > 2 {
		return
	}
	sort.SliceStable(ill, func(i, j int) bool { return ill[i].share > ill[j].share })
	most := max(int(outPart*float64(len(p.order))), 1)
	for _, x := range ill {
		if out >= most || x.share < illTimes*wellFailed/math.Max(wellTried, 1) {
			return
		}
		if nowUs-x.s.outUntil > forgiveUs || x.s.outFor == 0 {
			x.s.outFor = outUs
		} else {
			x.s.outFor = min(2*x.s.outFor, outMaxUs)
		}
		// what was seen has had its effect; the next time is judged anew
		x.s.outUntil, x.s.now, x.s.last, x.s.hint = nowUs+x.s.outFor, outcomes{}, outcomes{}, outcomes{}
		out++
	}
}
