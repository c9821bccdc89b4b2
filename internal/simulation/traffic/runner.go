package traffic

import "slices"

// runner models a runner with chunked prefill. It prefills prompts sequentially, in chunks
// between the tokens of the up to runnerCapacity requests that it decodes at once. A token
// takes chunkUs during prefill and decodeTokenUs otherwise.
type runner struct {
	id          string
	prefillRate float64 // prefilled tokens per microsecond
	queue       []*request
	active      int
	current     *request        // in prefill; nil: none
	prefilling  bool            // in prefill, also between two prompts without a gap
	cached      map[uint64]bool // by key of the prompt part
	usedTokens  int             // prompt tokens of active requests
	arrivals    int

	decoding         []*stream
	decodedTokens    float64 // tokens decoded per stream since the start of the run
	updatedUs        int64   // time of the last update of decodedTokens
	prefillStartedUs int64   // start of the current prefill without a gap
	generation       int     // incremented to invalidate the scheduled end of a stream
}

// stream is a response that is being decoded.
type stream struct {
	request        *request
	endTokens      float64 // decodedTokens at its end
	startedUs      int64
	longestPauseUs int64 // longest prefill without a gap during the stream
}

func newRunner(id string, slow bool) *runner {
	r := &runner{id: id, prefillRate: prefillTokensPerUs, cached: map[uint64]bool{}}
	if slow {
		r.prefillRate /= slowRunnerFactor
	}
	return r
}

func (r *runner) enqueue(f *fleet, q *request) {
	r.arrivals++
	r.queue = append(r.queue, q)
	r.startPrefill(f)
}

// startPrefill starts the prefill of the next prompt, unless another one is in prefill or
// the runner is at capacity.
func (r *runner) startPrefill(f *fleet) {
	if r.current != nil || r.active >= runnerCapacity || len(r.queue) == 0 {
		return
	}
	q := r.queue[0]
	r.queue = r.queue[1:]
	r.current = q
	if !r.prefilling {
		r.updateDecoded(f)
		r.prefilling, r.prefillStartedUs = true, f.kernel.NowUs()
		r.scheduleEnd(f)
	}
	r.active++
	r.usedTokens += q.TokensIn
	tokens, transferUs := r.uncached(f, q)
	f.result.PrefilledTokens += tokens
	us := transferUs + float64(tokens)/r.prefillRate + attentionUs(tokens, q.TokensIn) + decodeTokenUs
	f.kernel.After(int64(us), func() { r.finishPrefill(f, q) })
}

// uncached returns the number of prompt tokens that need prefill, and the duration of the
// transfer of cached blocks that the router requested.
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

// cachedTokens returns the length in tokens of the longest cached prefix of a prompt.
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

// attentionUs returns the additional time for the last tokens of a prompt, as each token
// attends to all tokens before it.
func attentionUs(tokens, promptTokens int) float64 {
	pairs := float64(tokens) * (float64(promptTokens) - float64(tokens)/2)
	return pairs * attentionPairUs
}

func (r *runner) finishPrefill(f *fleet, q *request) {
	r.current = nil
	f.routers[q.router].RecordFirstToken(q.admitted, f.kernel.NowUs())
	f.result.Classes[q.class].recordFirstToken(f.kernel.NowUs()-q.arrivedUs, f.options.Classes[q.class])
	if f.kernel.NowUs()-q.arrivedUs <= f.options.Classes[q.class].FirstTokenTarget.Microseconds() {
		_, onTime := f.partitionCounters(q.arrivedUs)
		*onTime++
	}
	r.cachePrompt(f, q)
	r.startPrefill(f)
	r.updateDecoded(f)
	if r.current == nil {
		r.endPrefill(f)
	}
	r.decoding = append(r.decoding, &stream{request: q, endTokens: r.decodedTokens + float64(q.TokensOut), startedUs: f.kernel.NowUs()})
	r.scheduleEnd(f)
}

// cachePrompt adds the shared parts of a prompt to the cache, and reports them to the
// routers after eventDelayUs.
func (r *runner) cachePrompt(f *fleet, q *request) {
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

// endPrefill ends a prefill without a gap and records its duration for all streams.
func (r *runner) endPrefill(f *fleet) {
	for _, s := range r.decoding {
		r.recordPause(f, s)
	}
	r.prefilling = false
}

// recordPause updates the longest prefill without a gap during a stream.
func (r *runner) recordPause(f *fleet, s *stream) {
	s.longestPauseUs = max(s.longestPauseUs, f.kernel.NowUs()-max(r.prefillStartedUs, s.startedUs))
}

// tokenUs returns the current duration of a token of each stream.
func (r *runner) tokenUs() float64 {
	if r.prefilling {
		return chunkUs
	}
	return decodeTokenUs
}

// updateDecoded updates decodedTokens to the current time.
func (r *runner) updateDecoded(f *fleet) {
	now := f.kernel.NowUs()
	r.decodedTokens += float64(now-r.updatedUs) / r.tokenUs()
	r.updatedUs = now
}

// scheduleEnd schedules the end of the stream that ends first.
func (r *runner) scheduleEnd(f *fleet) {
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
	r.updateDecoded(f)
	now := f.kernel.NowUs()
	if r.prefilling {
		r.recordPause(f, s)
	}
	r.decoding = slices.DeleteFunc(r.decoding, func(other *stream) bool { return other == s })
	r.active--
	r.usedTokens -= s.request.TokensIn
	f.result.Classes[s.request.class].recordEnd(s.longestPauseUs)
	router := f.routers[s.request.router]
	router.RecordOutcome(s.request.admitted, true, now)
	router.Release(s.request.admitted, true, now)
	r.startPrefill(f)
	r.scheduleEnd(f)
}
