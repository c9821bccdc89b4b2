package consensus

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

const (
	// chunkTimeout bounds the wait for one response. A chunk is small, so a longer wait
	// means a broken link or a failed sender, not a slow one.
	chunkTimeout = 1500 * time.Millisecond
	// maxFailedResponses is how many responses in a row may be missing or unusable
	// before a transfer is abandoned.
	maxFailedResponses = 3
	// transferTimePerByte is the time that each byte of a large value adds to a timeout.
	transferTimePerByte = 4 * time.Microsecond
)

// isLarge reports whether a value is sent in chunks to nodes that do not have it.
func isLarge(v messages.Value) bool { return len(v.Body) > statesync.ChunkBytes }

// transferAllowance returns how much longer a round trip with a value may take, which is
// zero for a small value.
func transferAllowance(v messages.Value) time.Duration {
	if !isLarge(v) {
		return 0
	}
	return time.Duration(len(v.Body)) * transferTimePerByte
}

// CatchUp catches up with the controller at addr: it fetches and learns the committed value
// of a register, a small value in one response, a large one in chunks. It does nothing
// while another catch-up from that address, or a transfer of this register, is in
// progress. After ErrTransferStalled the chunks received are retained, and the next
// catch-up, from any controller, resumes after them.
func (r *Registers) CatchUp(ctx context.Context, addr string, index int) error {
	transfers := r.registers[index].transfers
	if !transfers.startFetch(addr) {
		return nil
	}
	defer transfers.endFetch(addr)
	response, err := r.fetchChunk(ctx, addr, index)
	switch {
	case ctx.Err() != nil:
		return errors.Wrap(ErrTransferStalled, ctx.Err().Error())
	case err != nil:
		return err
	case len(response.Piece) == 0:
		r.Learn(index, response.Value)
		return nil
	}
	if !transfers.startTransfer() {
		return nil
	}
	defer transfers.endTransfer()
	return r.receiveChunks(ctx, addr, index, response)
}

// receiveChunks stores the first chunk of a large value and fetches the others.
func (r *Registers) receiveChunks(ctx context.Context, addr string, index int, response messages.ConsensusResponse) error {
	transfers := r.registers[index].transfers
	for failures := 0; ; {
		encoded, result := transfers.receive(response)
		switch result {
		case statesync.Complete:
			return r.learnEncoded(index, encoded)
		case statesync.Ignored, statesync.Corrupt:
			failures++
		default:
			failures = 0
		}
		var err error
		if response, failures, err = r.fetchNextChunk(ctx, addr, index, failures); err != nil {
			return err
		}
		if len(response.Piece) == 0 {
			r.Learn(index, response.Value)
			return nil
		}
	}
}

// fetchNextChunk retries a fetch until there is a response, or too many in a row were
// missing or unusable. It returns their count.
func (r *Registers) fetchNextChunk(ctx context.Context, addr string, index, failures int) (messages.ConsensusResponse, int, error) {
	for ; failures < maxFailedResponses; failures++ {
		response, err := r.fetchChunk(ctx, addr, index)
		if ctx.Err() != nil {
			return response, failures, errors.Wrap(ErrTransferStalled, ctx.Err().Error())
		}
		if err == nil {
			return response, failures, nil
		}
	}
	return messages.ConsensusResponse{}, failures, ErrTransferStalled
}

// fetchChunk requests the next chunk of the value being received, or else any value newer
// than the committed one.
func (r *Registers) fetchChunk(ctx context.Context, addr string, index int) (messages.ConsensusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	version, offset := r.registers[index].transfers.nextChunk()
	if committed, ok := r.Committed(index); ok && version == 0 {
		version = committed.Version + 1
	}
	return r.send(ctx, messages.Member{Addr: addr}, messages.ConsensusRequest{Part: index, Step: messages.Read, Slot: version, Offset: offset, Pieces: true})
}

func (r *Registers) learnEncoded(index int, encoded []byte) error {
	var v messages.Value
	if _, err := v.UnmarshalMsg(encoded); err != nil {
		return errors.Wrap(err, "consensus: decode value")
	}
	r.Learn(index, v)
	return nil
}

// serveCommitted responds to a catch-up with the committed value, or a chunk of it. It
// does not wait for the disk: a committed value never changes, so a node may serve it
// before it has stored it.
func (r *Registers) serveCommitted(request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	register := r.registers[request.Part]
	v := register.committed.Load()
	if v == nil {
		return messages.ConsensusResponse{Verdict: messages.Behind}, nil
	}
	if !request.Pieces || !isLarge(*v) {
		return messages.ConsensusResponse{Verdict: messages.Granted, Version: v.Version, Value: *v}, nil
	}
	chunk, err := register.transfers.serve(request, v, r.uptimeUs())
	if err != nil {
		return messages.ConsensusResponse{}, errors.Wrap(err, "consensus: encode value")
	}
	return messages.ConsensusResponse{
		Verdict: messages.Granted, Version: chunk.Version,
		Piece: chunk.Bytes, Offset: chunk.Offset, Total: chunk.Total, Sum: int64(chunk.Checksum),
	}, nil
}

// ExpireTransfers frees the encoded values that no node fetches any more.
func (r *Registers) ExpireTransfers() {
	for _, register := range r.registers {
		register.transfers.expire(r.uptimeUs())
	}
}

// uptimeUs returns the time since Open, in microseconds.
func (r *Registers) uptimeUs() int64 { return time.Since(r.started).Microseconds() }
