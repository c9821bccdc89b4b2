package consensus

import (
	"sync"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// transfers is the state of the transfers of one register's large values, both those that
// this node serves and the one that it receives. It is safe for concurrent use.
type transfers struct {
	mu           sync.Mutex            // guards all below
	server       statesync.ChunkServer // encoded values that other nodes fetch
	incoming     statesync.Transfer    // the chunks received of the value being fetched
	transferring bool                  // a catch-up is receiving chunks
	fetching     map[string]struct{}   // addresses from which a catch-up is in progress
}

func newTransfers() *transfers { return &transfers{fetching: map[string]struct{}{}} }

// startFetch marks a catch-up from an address as in progress. It returns false if there
// is one already, or while chunks are being received.
func (t *transfers) startFetch(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, inProgress := t.fetching[addr]; t.transferring || inProgress {
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

// startTransfer marks the caller as the one receiver of chunks. It returns false if there
// is another one.
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

// nextChunk returns the version being received, zero for none, and the offset in bytes of
// its next chunk.
func (t *transfers) nextChunk() (version, offset int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incoming.Next()
}

// receive adds a chunk, and returns the encoded value once it is complete.
func (t *transfers) receive(response messages.ConsensusResponse) ([]byte, statesync.AddResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incoming.Add(statesync.Chunk{
		Version:  response.Version,
		Offset:   response.Offset,
		Total:    response.Total,
		Checksum: uint32(response.Sum),
		Bytes:    response.Piece,
	})
}

// serve returns the requested chunk of a value. nowUs is the time since the process
// opened the registers, by which encoded values expire.
func (t *transfers) serve(request messages.ConsensusRequest, v *messages.Value, nowUs int64) (statesync.Chunk, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	encode := func() ([]byte, error) { return v.MarshalMsg(nil) }
	return t.server.ReadChunk(request.Slot, request.Offset, nowUs, v.Version, encode)
}

// expire frees the encoded values that no node fetches any more.
func (t *transfers) expire(nowUs int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.server.EvictIdle(nowUs)
}
