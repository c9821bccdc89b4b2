// Package load is a set of clients: they send idempotent, effectful and streaming
// requests on kept connections and record for each request what they saw.
//
// Every request carries an attempt id of its own and the time that is left to it. A
// client checks what it receives (the attempt id, the seal, the body or the events) and
// hands a Record to Config.OnRecord; what the records mean is for the caller to judge.
// Clients are passed to routers as the platform does it: new connections go to routers
// that were ready, open ones stay with theirs.
//
// Run returns when its context has ended and every client's last request has too. It
// is the only goroutine-starting function; Config isn't changed by it.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Class says what may be done with a request.
type Class int

// The classes of requests.
const (
	Idempotent Class = iota // may run more than once
	Effectful               // runs at most once per attempt
	Streaming               // answered by events, at most once per attempt
	Resumable               // answered by events, may be taken up at another runner
)

func (c Class) String() string {
	return [...]string{"idempotent", "effectful", "streaming", "resumable"}[c]
}

// Repeatable reports whether a request may run more than once.
func (c Class) Repeatable() bool { return c == Idempotent || c == Resumable }

// IsStream reports whether the answer is a series of events.
func (c Class) IsStream() bool { return c == Streaming || c == Resumable }

// Kind is a kind of request.
type Kind struct {
	Host     string
	Path     string
	Key      string // of the tenant; empty: none
	Class    Class
	Model    string
	Tokens   int           // events of a stream
	TimeLeft time.Duration // told to the router
}

// Router is where requests go.
type Router struct {
	Node  string
	Front string
	Ready string
}

// Config is what clients do.
type Config struct {
	Routers  []Router
	Kinds    []Kind
	Clients  int
	Think    time.Duration // mean pause of a client between two requests
	Patience time.Duration // waited beyond TimeLeft before a client gives up
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
