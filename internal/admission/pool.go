// Pools: the runners, stores and limits of a service.

package admission

import "beechtide.org/beechtide/internal/messages"

type pool struct {
	runners         map[string]*runner
	order           []string
	queue           queue
	stores          []Store
	connectionLimit int                        // connections that a runner accepts from all nodes together; 0: no limit
	certified       map[string]map[string]bool // by regime, the identities of the certified runners and stores
	memoryTokens    int                        // memory of a runner, in tokens
	// warmupRatePerS is how many requests a second a runner bears while it warms up; 0: any number.
	warmupRatePerS     float64
	warmupShare        warmupShare
	rollout            *rollout // the newest of the service; nil for none
	transferUsPerToken float64  // microseconds to transfer the memory of one token between runners; 0: no transfers
}

// Store is a server that caches blocks for the runners of a service.
type Store struct {
	ID     string
	Addr   string
	Zone   string
	MoveUs float64 // microseconds to transfer the memory of one token
}

// SetService sets the runners of a service, the memory of each in tokens, and how many
// microseconds the transfer of one token's memory takes.
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
		r.record, r.capacity, r.blocks = n, n.Capacity, memoryTokens/a.T.BlockTokens
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

// requestConnectionShare is the part of a runner's connections that requests may take; the
// rest is for reports, events and orders.
const requestConnectionShare = 0.9

// SetLinks sets how many connections a runner of a service accepts in all.
func (a *Admitter) SetLinks(service string, limit int) { a.pool(service).connectionLimit = limit }

// connectionShare returns how many requests this node may have at one runner at a time,
// each on a connection of its own; 0 means any number.
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

// permits reports whether a request may use a runner or store: it has no regime, or the
// runner or store is known to be certified for it.
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

func (a *Admitter) pool(service string) *pool {
	p := a.pools[service]
	if p == nil {
		p = &pool{runners: map[string]*runner{}}
		a.pools[service] = p
	}
	return p
}

func (a *Admitter) totalCapacity(p *pool) int {
	n := 0
	for _, id := range p.order {
		n += p.runners[id].capacity
	}
	return n
}

func (a *Admitter) totalPrefillRate(p *pool) float64 {
	sum := 0.0
	for _, id := range p.order {
		sum += p.runners[id].prefillRate(&a.T)
	}
	return max(sum, a.T.RateFloor)
}
