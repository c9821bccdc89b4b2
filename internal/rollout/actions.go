package rollout

// Order is an order to be sent to a runner.
type Order struct {
	ID       string // the runner's identity
	Version  int64
	Expected *int64 // the runner's sequence, if known; it rejects the order at another
}

// Cordon is the state in which the registry is to list a runner. With neither flag set
// the runner gets all requests again.
type Cordon struct {
	ID       string
	Draining bool // no long requests
	Cordoned bool // none at all
}

// Actions are what the caller has to do after a step.
type Actions struct {
	Cordons []Cordon
	Orders  []Order
	Poll    []string // identities of the runners to ask for their report
}
