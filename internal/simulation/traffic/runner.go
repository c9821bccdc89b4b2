package traffic

// runner is the model of a runner: it reads the prompts that it was sent one after the
// other, and decodes up to runnerCapacity of them at once.
type runner struct {
	id       string
	rate     float64 // tokens read in a microsecond
	queue    []*request
	active   int
	reading  bool
	cached   map[uint64]bool // keys of parts
	used     int             // tokens of requests that run
	arrivals int
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
	if r.reading || r.active >= runnerCapacity || len(r.queue) == 0 {
		return
	}
	q := r.queue[0]
	r.queue = r.queue[1:]
	r.reading = true
	r.active++
	r.used += q.TokensIn
	tokens, transferUs := r.uncached(f, q)
	f.result.TokensRead += tokens
	us := transferUs + float64(tokens)/r.rate + decodeTokenUs
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

func (r *runner) finishReading(f *fleet, q *request) {
	r.reading = false
	router := f.routers[q.router]
	router.FirstToken(q.admitted, f.kernel.NowUs())
	f.result.Classes[q.class].firstToken(f.kernel.NowUs()-q.arrivedUs, f.options.Classes[q.class])
	for i, key := range q.admitted.Keys[:len(q.admitted.Keys)-1] {
		r.cached[key] = true
		tokens := int32(q.Parts[i].Tokens)
		f.kernel.After(eventDelayUs, func() {
			for _, a := range f.routers {
				a.Index.Put(r.id, key, tokens)
			}
		})
	}
	f.kernel.After(r.decodeUs(q), func() {
		r.active--
		r.used -= q.TokensIn
		router.Ended(q.admitted, true, f.kernel.NowUs())
		router.Done(q.admitted, true, f.kernel.NowUs())
		r.readNext(f)
	})
	r.readNext(f)
}

// decodeUs is how long the tokens of a response take after the first one. Where prompts
// wait, chunks of them are read between the steps.
func (r *runner) decodeUs(q *request) int64 {
	us := decodeTokenUs * int64(q.TokensOut) * int64(100+decodeSharePercent*r.active) / 100
	if len(r.queue) > 0 {
		us *= 2
	}
	return us
}
