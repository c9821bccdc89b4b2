package consensus

import (
	"sync"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// transfers are the two ends of the transfers of one register's large values: what
// this node serves and what it receives. It is safe for concurrent use.
type transfers struct {
	mu           sync.Mutex          // guards all below
	server       statesync.Server    // encoded values that others fetch
	incoming     statesync.Transfer  // what has arrived of the value being fetched
	transferring bool                // a catch-up receives chunks
	fetching     map[string]struct{} // addresses that a catch-up is under way from
}

func newTransfers() *transfers { return &transfers{fetching: map[string]struct{}{}} }

// startFetch allows one catch-up at a time from an address, and none while chunks are
// being received.
func (t *transfers) startFetch(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, under := t.fetching[addr]; t.transferring || under {
		return false
	}
	t.fetching[addr] = struct{}{}
	return true
}

func (t *transfers) endFetch(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.fetching, addr)
}

// startTransfer makes the caller the one that receives chunks.
func (t *transfers) startTransfer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.transferring {
		return false
	}
	t.transferring = true
	return true
}

func (t *transfers) endTransfer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transferring = false
}

// nextChunk returns the version being received, zero for none, and the offset in bytes
// from which it is wanted.
func (t *transfers) nextChunk() (version, offset int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incoming.Next()
}

// receive takes in a chunk. It returns the encoded value once all of it is there.
func (t *transfers) receive(response messages.ConsensusResponse) ([]byte, statesync.AddResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incoming.Add(statesync.Chunk{
		Version: response.Version,
		Offset:  response.Offset,
		Total:   response.Total,
		Sum:     uint32(response.Sum),
		Bytes:   response.Piece,
	})
}

// serve returns the chunk of a value that a request asks for. nowUs is the time since
// the start of the process, by which encoded values are forgotten.
func (t *transfers) serve(request messages.ConsensusRequest, v *messages.Value, nowUs int64) (statesync.Chunk, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	encode := func() ([]byte, error) { return v.MarshalMsg(nil) }
	return t.server.ReadChunk(request.Slot, request.Offset, nowUs, v.Version, encode)
}

// expire forgets encoded values that nobody fetches any more.
func (t *transfers) expire(nowUs int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.server.Forget(nowUs)
}
