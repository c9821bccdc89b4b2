package traffic

import "slices"

// runner is the model of a runner: it reads the prompts that it was sent one after the
// other, in chunks between the tokens of the up to runnerCapacity requests that it
// decodes at once. So a token takes decodeTokenUs while it reads nothing, and chunkUs
// while it does.
type runner struct {
	id       string
	rate     float64 // tokens read in a microsecond
	queue    []*request
	active   int
	current  *request        // whose prompt it reads
	reading  bool            // it reads, or has just ended a prompt and begins the next
	cached   map[uint64]bool // keys of parts
	used     int             // tokens of requests that run
	arrivals int

	decoding      []*stream
	decodedTokens float64 // by a request that would have decoded since the start
	updatedUs     int64   // when decodedTokens was brought up to date
	readingUs     int64   // when the reading began that goes on without a gap
	generation    int     // counts the changes that make a planned end of a stream void
}

// stream is a response that is being decoded.
type stream struct {
	request   *request
	endTokens float64 // decodedTokens at its end
	startedUs int64
	longestUs int64 // the longest time that the runner read without a gap
}

func newRunner(id string, slow bool) *runner {
	r := &runner{id: id, rate: runnerRate, cached: map[uint64]bool{}}
	if slow {
		r.rate /= slowRunnerFactor
	}
	return r
}

func (r *runner) enqueue(f *fleet, q *request) {
	r.arrivals++
	r.queue = append(r.queue, q)
	r.readNext(f)
}

// readNext begins to read the next prompt, if the runner is free for it.
func (r *runner) readNext(f *fleet) {
	if r.current != nil || r.active >= runnerCapacity || len(r.queue) == 0 {
		return
	}
	q := r.queue[0]
	r.queue = r.queue[1:]
	r.current = q
	if !r.reading {
		r.progress(f)
		r.reading, r.readingUs = true, f.kernel.NowUs()
		r.planEnd(f)
	}
	r.active++
	r.used += q.TokensIn
	tokens, transferUs := r.uncached(f, q)
	f.result.TokensRead += tokens
	us := transferUs + float64(tokens)/r.rate + attentionUs(tokens, q.TokensIn) + decodeTokenUs
	f.kernel.After(int64(us), func() { r.finishReading(f, q) })
}

// uncached returns how many tokens of a prompt the runner has to read, and how long the
// transfer of cached blocks takes that the router asked for.
func (r *runner) uncached(f *fleet, q *request) (tokens int, transferUs float64) {
	cached := r.cachedTokens(q)
	if source := f.byAddr[q.admitted.Source]; source != nil {
		if there := source.cachedTokens(q); there > cached {
			transferUs = transferStartUs + transferTokenUs*float64(there-cached)
			cached = there
		}
	}
	return q.TokensIn - cached, transferUs
}

// cachedTokens counts the tokens of a prompt in the cache, from the first part on.
func (r *runner) cachedTokens(q *request) int {
	tokens := 0
	for i, key := range q.admitted.Keys {
		if !r.cached[key] {
			break
		}
		tokens += q.Parts[i].Tokens
	}
	return tokens
}

// attentionUs is how much longer the last so many tokens of a prompt take, since each
// attends to all before it.
func attentionUs(tokens, of int) float64 {
	pairs := float64(tokens) * (float64(of) - float64(tokens)/2)
	return pairs * attentionPairUs
}

func (r *runner) finishReading(f *fleet, q *request) {
	r.current = nil
	f.routers[q.router].RecordFirstToken(q.admitted, f.kernel.NowUs())
	f.result.Classes[q.class].firstToken(f.kernel.NowUs()-q.arrivedUs, f.options.Classes[q.class])
	if f.kernel.NowUs()-q.arrivedUs <= f.options.Classes[q.class].Aim.Microseconds() {
		_, inAim := f.phase(q.arrivedUs)
		*inAim++
	}
	r.cache(f, q)
	r.readNext(f)
	r.progress(f)
	if r.current == nil {
		r.endReading(f)
	}
	r.decoding = append(r.decoding, &stream{request: q, endTokens: r.decodedTokens + float64(q.TokensOut), startedUs: f.kernel.NowUs()})
	r.planEnd(f)
}

// cache has the shared parts of a prompt in the cache from now on; routers learn of that
// later.
func (r *runner) cache(f *fleet, q *request) {
	for i, key := range q.admitted.Keys[:len(q.admitted.Keys)-1] {
		r.cached[key] = true
		tokens := int32(q.Parts[i].Tokens)
		f.kernel.After(eventDelayUs, func() {
			for _, a := range f.routers {
				a.Index.RecordPrefilled(r.id, key, tokens)
			}
		})
	}
}

// endReading notes for all streams how long the runner has read without a gap.
func (r *runner) endReading(f *fleet) {
	for _, s := range r.decoding {
		r.notePause(f, s)
	}
	r.reading = false
}

// notePause notes for one stream how long the runner has read without a gap.
func (r *runner) notePause(f *fleet, s *stream) {
	s.longestUs = max(s.longestUs, f.kernel.NowUs()-max(r.readingUs, s.startedUs))
}

// tokenUs is how long a token of each stream takes now.
func (r *runner) tokenUs() float64 {
	if r.reading {
		return chunkUs
	}
	return decodeTokenUs
}

// progress brings decodedTokens up to date.
func (r *runner) progress(f *fleet) {
	now := f.kernel.NowUs()
	r.decodedTokens += float64(now-r.updatedUs) / r.tokenUs()
	r.updatedUs = now
}

// planEnd plans the end of the stream that ends first.
func (r *runner) planEnd(f *fleet) {
	r.generation++
	if len(r.decoding) == 0 {
		return
	}
	next := r.decoding[0]
	for _, s := range r.decoding {
		if s.endTokens < next.endTokens {
			next = s
		}
	}
	generation := r.generation
	f.kernel.After(int64((next.endTokens-r.decodedTokens)*r.tokenUs())+1, func() {
		if r.generation == generation {
			r.endStream(f, next)
		}
	})
}

func (r *runner) endStream(f *fleet, s *stream) {
	r.progress(f)
	now := f.kernel.NowUs()
	if r.reading {
		r.notePause(f, s)
	}
	r.decoding = slices.DeleteFunc(r.decoding, func(other *stream) bool { return other == s })
	r.active--
	r.used -= s.request.TokensIn
	f.result.Classes[s.request.class].ended(s.longestUs)
	router := f.routers[s.request.router]
	router.RecordOutcome(s.request.admitted, true, now)
	router.Release(s.request.admitted, true, now)
	r.readNext(f)
	r.planEnd(f)
}
