// Package load is a load generator: concurrent clients send idempotent, effectful and streaming
// requests on persistent connections and record the result of each request.
//
// Every request carries its own attempt id and the time left to it. A client checks each
// response by itself (the attempt id, the seal, the body or the events) and passes a Record to
// Config.OnRecord; the caller evaluates the records. Connections are distributed over the
// routers as a cloud load balancer does it: new connections go to ready routers, open
// connections stay with their router.
//
// Run returns once its context has ended and the last request of every client has completed. It
// is the only exported function that starts goroutines, and it does not modify its Config.
// Package soak and the load command call it.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Class determines how often a request may run and how it is answered.
type Class int

// The classes of requests.
const (
	Idempotent Class = iota // may run more than once
	Effectful               // runs at most once per attempt
	Streaming               // answered by events, at most once per attempt
	Resumable               // answered by events, may be resumed at another runner
)

func (c Class) String() string {
	return [...]string{"idempotent", "effectful", "streaming", "resumable"}[c]
}

// Repeatable reports whether a request may run more than once.
func (c Class) Repeatable() bool { return c == Idempotent || c == Resumable }

// IsStream reports whether the answer is a series of events.
func (c Class) IsStream() bool { return c == Streaming || c == Resumable }

// Kind is a template for requests.
type Kind struct {
	Host     string
	Path     string
	Key      string // tenant key; empty for none
	Class    Class
	Model    string
	Tokens   int           // events of a stream
	TimeLeft time.Duration // sent to the router
}

// Router is a router that clients connect to, with its addresses for requests and for readiness
// checks.
type Router struct {
	Node  string
	Front string
	Ready string
}

// Config configures the clients.
type Config struct {
	Routers  []Router
	Kinds    []Kind
	Clients  int
	Think    time.Duration // mean pause of a client between two requests
	Patience time.Duration // wait beyond TimeLeft before a request times out
	Seed     uint64
	OnRecord func(Record)
}

// Run sends requests until ctx ends.
func Run(ctx context.Context, config Config) {
	var clients sync.WaitGroup
	routerBalancer := newBalancer(config.Routers)
	clients.Go(func() { routerBalancer.watch(ctx) })
	for number := range config.Clients {
		clients.Go(func() {
			c := &client{
				number: number, config: config, balancer: routerBalancer,
				random: rand.New(rand.NewPCG(config.Seed, uint64(number))),
			}
			c.run(ctx)
		})
	}
	clients.Wait()
}
