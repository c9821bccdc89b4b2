// Pull brings this node what another has committed, of any size: small values in
// one answer, large ones by pieces. Only silence ends it. What has arrived stays,
// so that the next pull, from whomever, goes on from there.
package consensus

import (
	"bytes"
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

const (
	// pieceWait is how long one answer may take. A piece is small, so this much
	// silence is a link or a sender that is gone, not a slow one.
	pieceTimeout = 1500 * time.Millisecond
	// mostFruitless is how many answers in a row may be missing or of no use.
	maxUselessResponses = 3
	// perByte is the time that a byte of a large value may take in a round.
	transferTimePerByte = 4 * time.Microsecond
)

// ErrSilent means that a transfer stopped; what has arrived of it is kept.
var ErrTransferStalled = errors.New("consensus: the sender of a value fell silent")

// large tells whether a value travels by pieces to whoever lacks it.
func isLarge(v messages.Value) bool { return len(v.Body) > statesync.PieceBytes }

// transferWait is what a round trip with a large value may take longer.
func transferAllowance(v messages.Value) time.Duration {
	if !isLarge(v) {
		return 0
	}
	return time.Duration(len(v.Body)) * transferTimePerByte
}

// nameOf stands for a large value towards a member that is likely to have accepted
// it: no group, and a digest in place of the body. Who has not accepted it, and a
// build that knows no names, takes no notice.
func referenceTo(v messages.Value) messages.Value {
	encoded, _ := v.MarshalMsg(nil)
	digest := sha256.Sum256(encoded)
	return messages.Value{Version: v.Version, Body: digest[:], Stamp: v.Stamp}
}

// commitNamed learns what this member has accepted, if that is the value named.
func (r *Registers) commitByDigest(ctx context.Context, request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	register := r.registers[request.Part]
	select {
	case register.recordLock <- struct{}{}:
	case <-ctx.Done():
		return messages.ConsensusResponse{}, errors.Wrap(ErrStore, "busy")
	}
	rec := register.acceptor.Rec
	<-register.recordLock
	accepted := rec.Accepted
	if rec.HasAccepted && accepted.Version == request.Value.Version && accepted.Stamp == request.Value.Stamp && bytes.Equal(referenceTo(accepted).Body, request.Value.Body) {
		r.Learn(request.Part, accepted)
	}
	return messages.ConsensusResponse{Verdict: messages.Granted}, nil
}

// transfers are both ends of the transfers of one part.
type transfers struct {
	mu           sync.Mutex
	server       statesync.Server
	incoming     statesync.Transfer
	transferring bool            // one transfer is under way
	fetching     map[string]bool // who is being asked
}

// begin lets one pull from an address go on at a time, and none beside a transfer.
func (t *transfers) startFetch(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.transferring || t.fetching[addr] {
		return false
	}
	if t.fetching == nil {
		t.fetching = map[string]bool{}
	}
	t.fetching[addr] = true
	return true
}

func (t *transfers) endFetch(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.fetching, addr)
}

// claim makes the caller the one that transfers.
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

func (t *transfers) nextPiece() (version, offset int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incoming.Next()
}

func (t *transfers) receive(response messages.ConsensusResponse) ([]byte, statesync.Taken) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incoming.Take(statesync.Piece{Version: response.Version, Offset: response.Offset, Total: response.Total, Sum: uint32(response.Sum), Bytes: response.Piece})
}

// Pull learns what the controller at addr has committed. It does nothing while
// another pull from there, or a transfer of this part, is under way.
func (r *Registers) Pull(ctx context.Context, addr string, part int) error {
	t := &r.registers[part].transfers
	if !t.startFetch(addr) {
		return nil
	}
	defer t.endFetch(addr)
	claimed := false
	for fruitless := 0; fruitless < maxUselessResponses; {
		response, err := r.fetchPiece(ctx, addr, part)
		switch {
		case ctx.Err() != nil:
			return errors.Wrap(ErrTransferStalled, ctx.Err().Error())
		case err != nil && !claimed:
			return err
		case err != nil:
			fruitless++
			continue
		case len(response.Piece) == 0:
			r.Learn(part, response.Value)
			return nil
		}
		if !claimed {
			if !t.startTransfer() {
				return nil
			}
			claimed = true
			defer t.endTransfer()
		}
		whole, taken := t.receive(response)
		switch taken {
		case statesync.Whole:
			return r.learnSnapshot(part, whole)
		case statesync.Ignored, statesync.Spoiled:
			fruitless++
		default:
			fruitless = 0
		}
	}
	return ErrTransferStalled
}

func (r *Registers) fetchPiece(ctx context.Context, addr string, part int) (messages.ConsensusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	version, offset := r.registers[part].transfers.nextPiece()
	if mine, ok := r.Committed(part); ok && version == 0 {
		version = mine.Version + 1
	}
	return r.send(ctx, messages.Member{Addr: addr}, messages.ConsensusRequest{Part: part, Step: messages.Read, Slot: version, Offset: offset, Pieces: true})
}

func (r *Registers) learnSnapshot(part int, whole []byte) error {
	var v messages.Value
	if _, err := v.UnmarshalMsg(whole); err != nil {
		return errors.Wrap(err, "consensus: value")
	}
	r.Learn(part, v)
	return nil
}

// give answers a pull with what this node knows to be committed. It waits for no
// disk: a committed value is true whoever holds it.
func (r *Registers) serveRead(request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	register := r.registers[request.Part]
	v := register.committed.Load()
	if v == nil {
		return messages.ConsensusResponse{Verdict: messages.Behind}, nil
	}
	if !request.Pieces || !isLarge(*v) {
		return messages.ConsensusResponse{Verdict: messages.Granted, Version: v.Version, Value: *v}, nil
	}
	t := &register.transfers
	t.mu.Lock()
	defer t.mu.Unlock()
	encode := func() ([]byte, error) { return v.MarshalMsg(nil) }
	piece, err := t.server.Give(request.Slot, request.Offset, r.uptimeUs(), v.Version, encode)
	if err != nil {
		return messages.ConsensusResponse{}, errors.Wrap(err, "consensus: value")
	}
	return messages.ConsensusResponse{Verdict: messages.Granted, Version: piece.Version, Piece: piece.Bytes, Offset: piece.Offset, Total: piece.Total, Sum: int64(piece.Sum)}, nil
}

// ForgetTransfers lets go of encoded values that nobody fetches any more.
func (r *Registers) ForgetTransfers() {
	for _, register := range r.registers {
		register.transfers.mu.Lock()
		register.transfers.server.Forget(r.uptimeUs())
		register.transfers.mu.Unlock()
	}
}

func (r *Registers) uptimeUs() int64 { return time.Since(r.started).Microseconds() }
