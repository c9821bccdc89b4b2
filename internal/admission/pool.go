// Pools: the runners, block stores and limits of a service.

package admission

import "beechtide.org/beechtide/internal/messages"

// pool holds the admission state of one service. order lists the runners in the order in
// which SetService received them.
type pool struct {
	runners         map[string]*runner
	order           []string
	queue           queue
	stores          []Store
	connectionLimit int                        // connections that each runner accepts from all nodes together; 0: no limit
	certified       map[string]map[string]bool // by regime, the identities of the certified runners and stores
	memoryTokens    int                        // memory of each runner, in tokens
	// warmupRatePerS is the request rate that a runner can serve during warm-up; 0: no limit.
	warmupRatePerS     float64
	warmupShare        warmupShare
	rollout            *rollout        // the newest rollout; nil if there is none
	reverted           map[string]bool // software versions that were reverted before the newest rollout
	transferUsPerToken float64         // microseconds to transfer the memory of one token between runners; 0: no transfers
}

// Store is a server that caches memory blocks for the runners of a service.
type Store struct {
	ID                 string
	Addr               string
	Zone               string
	TransferUsPerToken float64 // microseconds to transfer the memory of one token
}

// SetService sets the runners of a service, the memory of each in tokens, and the time in
// microseconds to transfer the memory of one token between runners. A runner that is not
// listed any more is removed at the first call after its last request has ended.
func (a *Admitter) SetService(service string, records []messages.RunnerRecord, memoryTokens int, transferUsPerToken float64) {
	p := a.pool(service)
	p.memoryTokens, p.transferUsPerToken = memoryTokens, transferUsPerToken
	listed := map[string]bool{}
	p.order = p.order[:0]
	for _, n := range records {
		r := p.runners[n.ID]
		if r == nil {
			r = newRunner()
			p.runners[n.ID] = r
		}
		r.record, r.capacity, r.blocks = n, n.Capacity, memoryTokens/a.Tuning.BlockTokens
		r.absence.observe(n)
		listed[n.ID] = true
		p.order = append(p.order, n.ID)
	}
	p.chooseCanaryRunners()
	for id, r := range p.runners {
		if !listed[id] && r.ownLoad.count == 0 {
			delete(p.runners, id)
			a.Index.Reset(id)
		}
	}
}

// requestConnectionShare is the share of a runner's connections that requests may use. The
// rest is reserved for reports, events and operator commands.
const requestConnectionShare = 0.9

// SetConnectionLimit sets the maximum number of connections that each runner of a service accepts.
func (a *Admitter) SetConnectionLimit(service string, limit int) {
	a.pool(service).connectionLimit = limit
}

// connectionShare returns the maximum number of concurrent requests of this node at one
// runner, each of which uses a connection; 0 means no limit.
func (a *Admitter) connectionShare(p *pool) int {
	if p.connectionLimit <= 0 {
		return 0
	}
	return max(int(requestConnectionShare*float64(p.connectionLimit))/a.nodes, 1)
}

// SetCertified sets which runners and stores of a service are certified for each regime.
func (a *Admitter) SetCertified(service string, certified map[string]map[string]bool) {
	a.pool(service).certified = certified
}

// permits reports whether the regime of a request allows the use of a runner or store:
// the request has no regime, or the runner or store is certified for it.
func (p *pool) permits(request Request, id string) bool {
	return request.Regime == "" || p.certified[request.Regime][id]
}

// SetStores sets the stores that runners of a service may use.
func (a *Admitter) SetStores(service string, stores []Store) { a.pool(service).stores = stores }

// Services returns the names of all services, in no particular order.
func (a *Admitter) Services() []string {
	var out []string
	for name := range a.pools {
		out = append(out, name)
	}
	return out
}

// pool returns the pool of a service, and creates it at the first use.
func (a *Admitter) pool(service string) *pool {
	p := a.pools[service]
	if p == nil {
		p = &pool{runners: map[string]*runner{}}
		a.pools[service] = p
	}
	return p
}

// totalCapacity returns the sum of the runners' request capacities.
func (a *Admitter) totalCapacity(p *pool) int {
	n := 0
	for _, id := range p.order {
		n += p.runners[id].capacity
	}
	return n
}

// totalPrefillRate returns the sum of the runners' prefill rates, at least MinRate.
func (a *Admitter) totalPrefillRate(p *pool) float64 {
	sum := 0.0
	for _, id := range p.order {
		sum += p.runners[id].prefillRate(&a.Tuning)
	}
	return max(sum, a.Tuning.MinRate)
}
