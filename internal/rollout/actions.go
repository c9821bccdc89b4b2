package rollout

// Order is an order to be sent to a runner.
type Order struct {
	ID       string // the runner's identity
	Version  int64
	Expected *int64 // the runner's sequence number, nil if unknown; the runner rejects the order if its own differs
}

// Cordon is the desired registry state of a runner. With neither flag set the runner
// gets all requests.
type Cordon struct {
	ID       string
	Draining bool // no long requests
	Cordoned bool // no requests
}

// Actions are the operations that the caller has to carry out after a step.
type Actions struct {
	Cordons []Cordon
	Orders  []Order
	Poll    []string // IDs of the runners whose report to request
}
