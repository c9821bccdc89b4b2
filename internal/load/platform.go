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

func (b *balancer) watch(ctx context.Context) {
	loop.Every(ctx, readyInterval, func() {
		for i := range b.routers {
			go b.check(ctx, i)
		}
	})
}

func (b *balancer) check(ctx context.Context, i int) {
	ready := b.isReady(ctx, b.routers[i].Ready)
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.misses[i] = 0
		return
	}
	b.misses[i]++
}

func (b *balancer) isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick selects a random ready router for a new connection, or any router if fewer than half are
// ready.
func (b *balancer) pick(random *rand.Rand) Router {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []Router
	for i, router := range b.routers {
		if b.misses[i] < maxMisses {
			ready = append(ready, router)
		}
	}
	if 2*len(ready) < len(b.routers) {
		ready = b.routers
	}
	return ready[random.IntN(len(ready))]
}
