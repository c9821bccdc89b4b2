package consensus

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

const (
	// chunkTimeout bounds one response. A chunk is small, so a longer silence is a
	// broken link or a sender that is gone, not a slow one.
	chunkTimeout = 1500 * time.Millisecond
	// maxUselessResponses is how many responses in a row may be missing or of no use
	// before a transfer is given up.
	maxUselessResponses = 3
	// transferTimePerByte is the time that a byte of a large value adds to a timeout.
	transferTimePerByte = 4 * time.Microsecond
)

// isLarge reports whether a value is sent in chunks to nodes that lack it.
func isLarge(v messages.Value) bool { return len(v.Body) > statesync.ChunkBytes }

// transferAllowance is what a round trip with a large value may take longer.
func transferAllowance(v messages.Value) time.Duration {
	if !isLarge(v) {
		return 0
	}
	return time.Duration(len(v.Body)) * transferTimePerByte
}

// Pull is the catch-up: it learns what the controller at addr has committed, a small
// value in one response, a large one in chunks. It does nothing while another
// catch-up from there, or a transfer of this register, is under way. After
// ErrTransferStalled what has arrived is kept, and the next catch-up, from any
// controller, resumes there.
func (r *Registers) Pull(ctx context.Context, addr string, part int) error {
	transfers := r.registers[part].transfers
	if !transfers.startFetch(addr) {
		return nil
	}
	defer transfers.endFetch(addr)
	response, err := r.fetchChunk(ctx, addr, part)
	switch {
	case ctx.Err() != nil:
		return errors.Wrap(ErrTransferStalled, ctx.Err().Error())
	case err != nil:
		return err
	case len(response.Piece) == 0:
		r.Learn(part, response.Value)
		return nil
	}
	if !transfers.startTransfer() {
		return nil
	}
	defer transfers.endTransfer()
	return r.receiveChunks(ctx, addr, part, response)
}

// receiveChunks stores the first chunk of a large value and fetches the others.
func (r *Registers) receiveChunks(ctx context.Context, addr string, part int, response messages.ConsensusResponse) error {
	transfers := r.registers[part].transfers
	for useless := 0; ; {
		encoded, taken := transfers.receive(response)
		switch taken {
		case statesync.Complete:
			return r.learnEncoded(part, encoded)
		case statesync.Ignored, statesync.Corrupt:
			useless++
		default:
			useless = 0
		}
		var err error
		if response, useless, err = r.fetchNextChunk(ctx, addr, part, useless); err != nil {
			return err
		}
		if len(response.Piece) == 0 {
			r.Learn(part, response.Value)
			return nil
		}
	}
}

// fetchNextChunk repeats a fetch until there is a response, or too many in a row were
// missing or of no use. It returns the count of those.
func (r *Registers) fetchNextChunk(ctx context.Context, addr string, part, useless int) (messages.ConsensusResponse, int, error) {
	for ; useless < maxUselessResponses; useless++ {
		response, err := r.fetchChunk(ctx, addr, part)
		if ctx.Err() != nil {
			return response, useless, errors.Wrap(ErrTransferStalled, ctx.Err().Error())
		}
		if err == nil {
			return response, useless, nil
		}
	}
	return messages.ConsensusResponse{}, useless, ErrTransferStalled
}

// fetchChunk asks for the next chunk of the value being received, or for any value
// newer than the committed one.
func (r *Registers) fetchChunk(ctx context.Context, addr string, part int) (messages.ConsensusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	version, offset := r.registers[part].transfers.nextChunk()
	if known, ok := r.Committed(part); ok && version == 0 {
		version = known.Version + 1
	}
	return r.send(ctx, messages.Member{Addr: addr}, messages.ConsensusRequest{Part: part, Step: messages.Read, Slot: version, Offset: offset, Pieces: true})
}

func (r *Registers) learnEncoded(part int, encoded []byte) error {
	var v messages.Value
	if _, err := v.UnmarshalMsg(encoded); err != nil {
		return errors.Wrap(err, "consensus: decode value")
	}
	r.Learn(part, v)
	return nil
}

// serveCommitted answers a catch-up with the committed value, or a chunk of it. It
// never waits for a disk: a committed value is true whoever has it.
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
		Piece: chunk.Bytes, Offset: chunk.Offset, Total: chunk.Total, Sum: int64(chunk.Sum),
	}, nil
}

// ForgetTransfers drops encoded values that nobody fetches any more.
func (r *Registers) ForgetTransfers() {
	for _, register := range r.registers {
		register.transfers.expire(r.uptimeUs())
	}
}

// uptimeUs is the time since this process opened the registers, in microseconds.
func (r *Registers) uptimeUs() int64 { return time.Since(r.started).Microseconds() }
