// The load balancer in front of the routers: it checks the readiness of each router and assigns
// new connections to ready routers.

package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/loop"
)

const (
	readyInterval = time.Second
	readyTimeout  = time.Second
	maxMisses     = 2
)

type balancer struct {
	routers []Router
	client  http.Client

	mu     sync.Mutex
	misses []int
}

func newBalancer(routers []Router) *balancer {
	return &balancer{
		routers: routers, misses: make([]int, len(routers)),
		client: http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (p *balancer) watch(ctx context.Context) {
	loop.Every(ctx, readyInterval, func() {
		for i := range p.routers {
			go p.check(ctx, i)
		}
	})
}

func (p *balancer) check(ctx context.Context, i int) {
	ready := p.isReady(ctx, p.routers[i].Ready)
	p.mu.Lock()
	defer p.mu.Unlock()
	if ready {
		p.misses[i] = 0
		return
	}
	p.misses[i]++
}

func (p *balancer) isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := p.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick selects a random ready router for a new connection, or any router if fewer than half are
// ready.
func (p *balancer) pick(random *rand.Rand) Router {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ready []Router
	for i, router := range p.routers {
		if p.misses[i] < maxMisses {
			ready = append(ready, router)
		}
	}
	if 2*len(ready) < len(p.routers) {
		ready = p.routers
	}
	return ready[random.IntN(len(ready))]
}
