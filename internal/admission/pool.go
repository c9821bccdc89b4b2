// Pools: the runners, stores and limits of a service.
package admission

import "beechtide.org/beechtide/internal/messages"

type pool struct {
	runners map[string]*runner
	order   []string
	queue   pending
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
func (d *Controller) SetService(service string, notes []messages.RunnerRecord, tokens int, moveUs float64) {
	p := d.pool(service)
	p.tokens, p.moveUs = tokens, moveUs
	keep := map[string]bool{}
	p.order = p.order[:0]
	for _, n := range notes {
		r := p.runners[n.ID]
		if r == nil {
			r = newRunner()
			p.runners[n.ID] = r
		}
		r.note, r.capacity, r.blocks = n, n.Capacity, tokens/d.T.BlockTokens
		r.absence.hear(n)
		keep[n.ID] = true
		p.order = append(p.order, n.ID)
	}
	for id, r := range p.runners {
		if !keep[id] && r.own.count == 0 {
			delete(p.runners, id)
			d.Index.Reset(id)
		}
	}
}

// linkPart is the part of a runner's connections that requests may take; the
// rest is for reports, events and orders.
const linkPart = 0.9

// SetLinks tells how many connections a runner of a service takes in all.
func (d *Controller) SetLinks(service string, limit int) { d.pool(service).links = limit }

// linkShare is how many requests this node may have at one runner at a time,
// each on a connection of its own; 0 means any number.
func (d *Controller) linkShare(p *pool) int {
	if p.links <= 0 {
		return 0
	}
	return max(int(linkPart*float64(p.links))/d.nodes, 1)
}

// SetCertified tells which runners and stores of a service each regime lets in.
func (d *Controller) SetCertified(service string, allowed map[string]map[string]bool) {
	d.pool(service).allowed = allowed
}

// lets tells whether a request may have to do with a runner or store. Without
// sure knowledge the answer is no.
func (p *pool) lets(a Ask, id string) bool { return a.Regime == "" || p.allowed[a.Regime][id] }

// SetStores tells the stores that runners of a service may use.
func (d *Controller) SetStores(service string, stores []Store) { d.pool(service).stores = stores }

// Services lists those with requests waiting.
func (d *Controller) Services() []string {
	var out []string
	for name := range d.pools {
		out = append(out, name)
	}
	return out
}

func (d *Controller) pool(service string) *pool {
	p := d.pools[service]
	if p == nil {
		p = &pool{runners: map[string]*runner{}}
		d.pools[service] = p
	}
	return p
}

func (d *Controller) places(p *pool) int {
	n := 0
	for _, id := range p.order {
		n += p.runners[id].capacity
	}
	return n
}

func (d *Controller) rate(p *pool) float64 {
	sum := 0.0
	for _, id := range p.order {
		sum += p.runners[id].readRate(&d.T)
	}
	return max(sum, d.T.RateFloor)
}
