// Package placement chooses the runner for an admitted request among the
// candidates that the admission control has not excluded.
//
// It chooses the runner with the lowest expected time to the first token: the
// cost of a candidate weighs its cached prefix of the prompt against its backlog.
// If no candidate has a useful part of the prompt in its cache, rendezvous hashing
// of the prompt's shared prefix decides, so that all routers send the same prefix
// to the same runner without coordination.
//
// All functions are pure: equal arguments, the state of the random source included,
// give equal results. The package keeps no state and starts no goroutine.
package placement

import (
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"

	"beechtide.org/beechtide/internal/statesync"
)

// DuplicatePrefillUs is the additional cost in microseconds, beyond the prefill
// time, of each token that a candidate prefills although another runner has it in
// its cache.
const DuplicatePrefillUs = 100.0

// Weights of the components of a candidate's cost, in microseconds if the name
// ends with Us.
const (
	otherZoneUs = 2_000  // the candidate is in another zone
	occupancyUs = 20_000 // all of its slots are in use; proportional to the share in use
	notHomeUs   = 60_000 // rendezvous hashing assigns the prefix to another candidate
	fullCacheUs = 80_000 // all of its memory is in use; grows with the square of the share

	// prefillDelayShare weighs the delay that a prefill causes for each active
	// request, as a share of the prefill's time.
	prefillDelayShare = 0.3

	// slowDecodeUs is the cost of each token of output if the candidate spends
	// all of its time on prefill.
	slowDecodeUs = 8_000
)

// minPrefillRate is the lower limit of the prefill rate used for a candidate, in tokens
// per microsecond.
const minPrefillRate = 0.002

// usefulCacheDivisor: a candidate other than the home of the prefix is charged
// notHomeUs if it has less than 1/usefulCacheDivisor of the prompt in its cache.
const usefulCacheDivisor = 4

// randomChoices is the number of random candidates in a sample.
const randomChoices = 2

// maxFullComparison is the number of candidates up to which all of them are compared
// instead of a sample.
const maxFullComparison = randomChoices + 1

// Candidate is a runner that may receive the request, with its state in the view
// of the admission control.
type Candidate struct {
	ID                  string
	SameZone            bool    // in the router's zone
	CachedTokens        int     // tokens of the prompt in its cache
	TransferableTokens  int     // tokens of the prompt that it could transfer from another runner's cache
	TransferUs          float64 // how long the transfer takes
	TransferFrom        string  // address of that other runner
	DuplicateTokens     int     // shared tokens it would prefill although another runner has them cached
	QueuedPrefillTokens int     // tokens waiting for prefill
	ActiveRequests      int     // requests in progress
	Capacity            int     // maximum number of concurrent requests; 0: unknown
	MemoryUsed          float64 // share of its memory in use, 0 to 1
	PrefillRate         float64 // prefill rate, tokens per microsecond
	HealthPenaltyUs     float64 // cost added for suspected bad health
	PrefillShare        float64 // share of its time spent on prefill, 0 to 1
}

// uncached returns the number of prompt tokens that the candidate must prefill.
func (c *Candidate) uncached(p Prompt) int {
	return max(p.Tokens-c.CachedTokens-c.TransferableTokens, 0)
}

// Prompt describes the request.
type Prompt struct {
	Tokens          int
	MaxOutputTokens int    // maximum number of output tokens
	SharedPrefix    uint64 // hash of the deepest shared prefix; 0 without one
}

// Choose returns the index of the candidate with the lowest cost, or -1 without any.
//
// With a nil random, all candidates are compared, and the first of equals is chosen. This
// suits a router that has the exact backlogs. If many routers share the runners, each
// receives the load caused by the others with a delay. If every router compared all
// candidates, they would all send to the few that were idle a moment ago, until the next
// load update. So with random, only a sample is compared: the home of the prefix (the
// candidate that rendezvous hashing assigns it to), one candidate with the longest cached
// prefix, and randomChoices others ("power of two choices": Mitzenmacher, "How Useful Is
// Old Information?", 2000).
func Choose(p Prompt, candidates []Candidate, random *rand.Rand) int {
	best, bestUs := -1, 0.0
	home := homeIndex(p.SharedPrefix, candidates)
	compare := func(i int) {
		c := &candidates[i]
		us := costUs(p, c)
		if p.SharedPrefix != 0 && i != home && c.CachedTokens+c.TransferableTokens < p.Tokens/usefulCacheDivisor {
			us += notHomeUs
		}
		if best < 0 || us < bestUs {
			best, bestUs = i, us
		}
	}
	if random == nil || len(candidates) <= maxFullComparison {
		for i := range candidates {
			compare(i)
		}
		return best
	}
	if home >= 0 {
		compare(home)
	}
	if longest := longestPrefix(candidates, random); longest >= 0 {
		compare(longest)
	}
	for range randomChoices {
		compare(random.IntN(len(candidates)))
	}
	return best
}

// longestPrefix returns a random one of the candidates with the most cached tokens of
// the prompt, or -1 if none has any.
func longestPrefix(candidates []Candidate, random *rand.Rand) int {
	best, bestTokens, ties := -1, 0, 0
	for i := range candidates {
		switch cached := candidates[i].CachedTokens; {
		case cached > bestTokens:
			best, bestTokens, ties = i, cached, 1
		case cached == bestTokens && cached > 0:
			if ties++; random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// costUs estimates the time to the first token at a candidate, with penalties
// for the delay that the request causes for other requests.
func costUs(p Prompt, c *Candidate) float64 {
	rate := max(c.PrefillRate, minPrefillRate)
	us := float64(c.QueuedPrefillTokens+c.uncached(p))/rate + c.TransferUs
	us += DuplicatePrefillUs * float64(c.DuplicateTokens)
	us += prefillDelayShare * float64(c.uncached(p)) / rate * float64(c.ActiveRequests)
	us += slowDecodeUs * float64(p.MaxOutputTokens) * min(c.PrefillShare, 1)
	if c.Capacity > 0 {
		us += occupancyUs * float64(c.ActiveRequests) / float64(c.Capacity)
	}
	us += fullCacheUs * c.MemoryUsed * c.MemoryUsed
	if !c.SameZone {
		us += otherZoneUs
	}
	us += c.HealthPenaltyUs
	return us
}

// homeIndex returns the index of the candidate with the highest hash of prefix
// and ID (Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous",
// 1996), or -1 without a prefix or candidates. When a candidate leaves, only its
// own prefixes move to others.
func homeIndex(prefix uint64, candidates []Candidate) int {
	if prefix == 0 {
		return -1
	}
	best, highest := -1, uint64(0)
	for i, c := range candidates {
		if score := rendezvousScore(prefix, c.ID); best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

// rendezvousScore returns the weight of a runner for a prefix. It must be the same on
// all routers: a change of the function moves prefixes away from the caches that hold
// them.
func rendezvousScore(prefix uint64, id string) uint64 {
	h := fnv.New64a()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte(id))
	return statesync.Mix(h.Sum64()) // FNV alone distributes short inputs poorly over the high bits
}
