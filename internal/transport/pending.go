package transport

import "sync"

// pendingRequests are the requests of one connection that wait for a response.
// A response is matched by sequence number and kind. Sequence numbers are never
// used again on a connection, so a late or repeated response matches nothing.
type pendingRequests struct {
	mu      sync.Mutex // guards the fields below
	waiting map[int64]pendingRequest
	seq     int64 // of the newest request
}

type pendingRequest struct {
	kind   int
	result chan result // has room for the one result
}

// result is how a request ended: with the body of its response or an error.
type result struct {
	body []byte
	err  error
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{waiting: map[int64]pendingRequest{}}
}

// add registers a request and gives its sequence number and the channel on which
// its result will come.
func (p *pendingRequests) add(kind int) (seq int64, ch chan result) {
	ch = make(chan result, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	p.waiting[p.seq] = pendingRequest{kind, ch}
	return p.seq, ch
}

// remove forgets a request that nobody waits for any more.
func (p *pendingRequests) remove(seq int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, seq)
}

// complete hands a result to the request that waits for it, if there is one. It
// returns false where the peer breaks the protocol: its response is of another
// kind than the request with this sequence number.
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

// failAll ends all requests that wait with an error.
func (p *pendingRequests) failAll(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for seq, request := range p.waiting {
		delete(p.waiting, seq)
		request.result <- result{err: err}
	}
}
