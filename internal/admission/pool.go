// Pools: the runners, stores and limits of a service.

package admission

import "beechtide.org/beechtide/internal/messages"

type pool struct {
	runners map[string]*runner
	order   []string
	queue   queue
	stores  []Store
	links   int                        // connections a runner takes from all nodes together; 0: no limit
	allowed map[string]map[string]bool // by regime, the ids of runners and stores let in
	tokens  int                        // memory of a runner, in tokens
	moveUs  float64                    // to move the memory of one token between runners; 0: not moved
}

// Store is a box that keeps parts for the runners of a service.
type Store struct {
	ID     string
	Addr   string
	Zone   string
	MoveUs float64 // to move the memory of one token
}

// SetService tells the runners of a service, the memory of each in tokens, and
// how long moving the memory of a token takes.
func (a *Admitter) SetService(service string, notes []messages.RunnerRecord, tokens int, moveUs float64) {
	p := a.pool(service)
	p.tokens, p.moveUs = tokens, moveUs
	keep := map[string]bool{}
	p.order = p.order[:0]
	for _, n := range notes {
		r := p.runners[n.ID]
		if r == nil {
			r = newRunner()
			p.runners[n.ID] = r
		}
		r.note, r.capacity, r.blocks = n, n.Capacity, tokens/a.T.BlockTokens
		r.absence.hear(n)
		keep[n.ID] = true
		p.order = append(p.order, n.ID)
	}
	for id, r := range p.runners {
		if !keep[id] && r.own.count == 0 {
			delete(p.runners, id)
			a.Index.Reset(id)
		}
	}
}

// linkPart is the part of a runner's connections that requests may take; the
// rest is for reports, events and orders.
const linkPart = 0.9

// SetLinks tells how many connections a runner of a service takes in all.
func (a *Admitter) SetLinks(service string, limit int) { a.pool(service).links = limit }

// linkShare is how many requests this node may have at one runner at a time,
// each on a connection of its own; 0 means any number.
func (a *Admitter) linkShare(p *pool) int {
	if p.links <= 0 {
		return 0
	}
	return max(int(linkPart*float64(p.links))/a.nodes, 1)
}

// SetCertified tells which runners and stores of a service each regime lets in.
func (a *Admitter) SetCertified(service string, allowed map[string]map[string]bool) {
	a.pool(service).allowed = allowed
}

// lets tells whether a request may have to do with a runner or store. Without
// sure knowledge the answer is no.
func (p *pool) lets(request Request, id string) bool {
	return request.Regime == "" || p.allowed[request.Regime][id]
}

// SetStores tells the stores that runners of a service may use.
func (a *Admitter) SetStores(service string, stores []Store) { a.pool(service).stores = stores }

// Services lists those with requests waiting.
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

func (a *Admitter) places(p *pool) int {
	n := 0
	for _, id := range p.order {
		n += p.runners[id].capacity
	}
	return n
}

func (a *Admitter) rate(p *pool) float64 {
	sum := 0.0
	for _, id := range p.order {
		sum += p.runners[id].readRate(&a.T)
	}
	return max(sum, a.T.RateFloor)
}
