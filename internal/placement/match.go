// Package placement matches an admitted request to one of the runners that the
// admission control left as candidates: the one where its first token can be expected
// soonest, kept prompt parts against waiting. Where nothing is kept anywhere,
// rendezvous hashing of the shared parts sends the same prompts to the same
// runner without the nodes having to talk.
package placement

import "hash/fnv"

// AgainUs is what reading a token counts, beyond the time it takes, where
// another runner has it already.
const AgainUs = 100.0

// Candidate is a runner as the matching sees it.
type Candidate struct {
	ID       string
	NearSite bool
	Kept     int     // tokens of this prompt kept there
	Moved    int     // tokens it could take over from another runner
	MoveUs   float64 // how long that takes
	From     string  // address of that runner
	Again    int     // shared tokens it would read although another runner has them
	Prefill  int     // tokens waiting to be read there
	Active   int     // requests there
	Capacity int     // requests it takes at once
	Used     float64 // part of its memory in use
	Rate     float64 // tokens read a microsecond
	DoubtUs  float64 // what doubt in its soundness counts
	Reading  float64 // part of its time in which it has been reading prompts
}

// Prompt is what is asked for.
type Prompt struct {
	Tokens int
	Out    int    // tokens it may bring
	Shared uint64 // hash of the deepest shared part; 0 without one
}

// Weights of the parts of a match, in microseconds.
const (
	farUs      = 2_000
	slotUs     = 20_000
	homeUs     = 60_000
	fullUs     = 80_000
	delayPart  = 0.3   // what holding up each request that runs there counts
	slowUs     = 8_000 // for each token to come, where the runner always reads
	minRateTok = 0.002
)

// Match returns the index of the best candidate, or -1 without any.
func Match(p Prompt, list []Candidate) int {
	best, bestUs := -1, 0.0
	home := Home(p.Shared, list)
	for i, c := range list {
		us := CostUs(p, c)
		if p.Shared != 0 && i != home && c.Kept+c.Moved < p.Tokens/4 {
			us += homeUs
		}
		if best < 0 || us < bestUs {
			best, bestUs = i, us
		}
	}
	return best
}

// CostUs estimates how long the first token takes at a candidate.
func CostUs(p Prompt, c Candidate) float64 {
	rate := max(c.Rate, minRateTok)
	us := float64(c.Prefill+max(p.Tokens-c.Kept-c.Moved, 0))/rate + c.MoveUs
	us += AgainUs * float64(c.Again)
	us += delayPart * float64(max(p.Tokens-c.Kept-c.Moved, 0)) / rate * float64(c.Active)
	us += slowUs * float64(p.Out) * min(c.Reading, 1)
	if c.Capacity > 0 {
		us += slotUs * float64(c.Active) / float64(c.Capacity)
	}
	us += fullUs * c.Used * c.Used
	if !c.NearSite {
		us += farUs
	}
	us += c.DoubtUs
	return us
}

// Home is the candidate that rendezvous hashing gives to a shared part.
func Home(shared uint64, list []Candidate) int {
	if shared == 0 {
		return -1
	}
	best, top := -1, uint64(0)
	for i, c := range list {
		h := fnv.New64a()
		var b [8]byte
		for j := range b {
			b[j] = byte(shared >> (8 * j))
		}
		_, _ = h.Write(b[:])
		_, _ = h.Write([]byte(c.ID))
		if v := mix(h.Sum64()); best < 0 || v > top {
			best, top = i, v
		}
	}
	return best
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
