package transport

import "sync"

// pendingRequests holds the requests of one connection that wait for a response.
// A response is matched by sequence number and kind. Sequence numbers are never
// reused on a connection, so a late or repeated response matches no request.
type pendingRequests struct {
	mu      sync.Mutex // guards the fields below
	waiting map[int64]pendingRequest
	seq     int64 // of the newest request
}

type pendingRequest struct {
	kind   int
	result chan result // buffered, so that sending the one result never blocks
}

// result is the outcome of a request: the body of its response or an error.
type result struct {
	body []byte
	err  error
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{waiting: map[int64]pendingRequest{}}
}

// add registers a request and returns its sequence number and the channel that
// receives its result.
func (p *pendingRequests) add(kind int) (seq int64, ch chan result) {
	ch = make(chan result, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	p.waiting[p.seq] = pendingRequest{kind, ch}
	return p.seq, ch
}

// remove deletes a request whose caller no longer waits for a response.
func (p *pendingRequests) remove(seq int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, seq)
}

// complete passes a result to the pending request with this sequence number, if there
// is one. It returns false if the peer violated the protocol: the response has a
// different kind than the request.
func (p *pendingRequests) complete(seq int64, kind int, r result) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	request, ok := p.waiting[seq]
	if !ok {
		return true // late, repeated or never requested
	}
	if request.kind != kind {
		return false
	}
	delete(p.waiting, seq)
	request.result <- r
	return true
}

// failAll completes all pending requests with an error.
func (p *pendingRequests) failAll(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for seq, request := range p.waiting {
		delete(p.waiting, seq)
		request.result <- result{err: err}
	}
}
