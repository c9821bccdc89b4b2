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
	pieceWait = 1500 * time.Millisecond
	// mostFruitless is how many answers in a row may be missing or of no use.
	mostFruitless = 3
	// perByte is the time that a byte of a large value may take in a round.
	perByte = 4 * time.Microsecond
)

// ErrSilent means that a transfer stopped; what has arrived of it is kept.
var ErrSilent = errors.New("consensus: the sender of a value fell silent")

// large tells whether a value travels by pieces to whoever lacks it.
func large(v messages.Value) bool { return len(v.Body) > statesync.PieceBytes }

// transferWait is what a round trip with a large value may take longer.
func transferWait(v messages.Value) time.Duration {
	if !large(v) {
		return 0
	}
	return time.Duration(len(v.Body)) * perByte
}

// nameOf stands for a large value towards a member that is likely to have accepted
// it: no group, and a digest in place of the body. Who has not accepted it, and a
// build that knows no names, takes no notice.
func nameOf(v messages.Value) messages.Value {
	encoded, _ := v.MarshalMsg(nil)
	digest := sha256.Sum256(encoded)
	return messages.Value{Version: v.Version, Body: digest[:], Stamp: v.Stamp}
}

// commitNamed learns what this member has accepted, if that is the value named.
func (l *Registers) commitNamed(ctx context.Context, ask messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	at := l.parts[ask.Part]
	select {
	case at.sem <- struct{}{}:
	case <-ctx.Done():
		return messages.ConsensusResponse{}, errors.Wrap(ErrStore, "busy")
	}
	rec := at.acc.Rec
	<-at.sem
	accepted := rec.Accepted
	if rec.HasAccepted && accepted.Version == ask.Value.Version && accepted.Stamp == ask.Value.Stamp && bytes.Equal(nameOf(accepted).Body, ask.Value.Body) {
		l.Learn(ask.Part, accepted)
	}
	return messages.ConsensusResponse{Verdict: messages.Granted}, nil
}

// transfers are both ends of the transfers of one part.
type transfers struct {
	mu     sync.Mutex
	server statesync.Server
	in     statesync.Transfer
	busy   bool            // one transfer is under way
	asked  map[string]bool // who is being asked
}

// begin lets one pull from an address go on at a time, and none beside a transfer.
func (t *transfers) begin(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy || t.asked[addr] {
		return false
	}
	if t.asked == nil {
		t.asked = map[string]bool{}
	}
	t.asked[addr] = true
	return true
}

func (t *transfers) end(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.asked, addr)
}

// claim makes the caller the one that transfers.
func (t *transfers) claim() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy {
		return false
	}
	t.busy = true
	return true
}

func (t *transfers) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = false
}

func (t *transfers) next() (version, offset int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.in.Next()
}

func (t *transfers) take(w messages.ConsensusResponse) ([]byte, statesync.Taken) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.in.Take(statesync.Piece{Version: w.Version, Offset: w.Offset, Total: w.Total, Sum: uint32(w.Sum), Bytes: w.Piece})
}

// Pull learns what the controller at addr has committed. It does nothing while
// another pull from there, or a transfer of this part, is under way.
func (l *Registers) Pull(ctx context.Context, addr string, p int) error {
	t := &l.parts[p].transfers
	if !t.begin(addr) {
		return nil
	}
	defer t.end(addr)
	claimed := false
	for fruitless := 0; fruitless < mostFruitless; {
		w, err := l.askPiece(ctx, addr, p)
		switch {
		case ctx.Err() != nil:
			return errors.Wrap(ErrSilent, ctx.Err().Error())
		case err != nil && !claimed:
			return err
		case err != nil:
			fruitless++
			continue
		case len(w.Piece) == 0:
			l.Learn(p, w.Value)
			return nil
		}
		if !claimed {
			if !t.claim() {
				return nil
			}
			claimed = true
			defer t.release()
		}
		whole, taken := t.take(w)
		switch taken {
		case statesync.Whole:
			return l.learnEncoded(p, whole)
		case statesync.Ignored, statesync.Spoiled:
			fruitless++
		default:
			fruitless = 0
		}
	}
	return ErrSilent
}

func (l *Registers) askPiece(ctx context.Context, addr string, p int) (messages.ConsensusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceWait)
	defer cancel()
	version, offset := l.parts[p].transfers.next()
	if mine, ok := l.Committed(p); ok && version == 0 {
		version = mine.Version + 1
	}
	return l.send(ctx, messages.Member{Addr: addr}, messages.ConsensusRequest{Part: p, Step: messages.Read, Slot: version, Offset: offset, Pieces: true})
}

func (l *Registers) learnEncoded(p int, whole []byte) error {
	var v messages.Value
	if _, err := v.UnmarshalMsg(whole); err != nil {
		return errors.Wrap(err, "consensus: value")
	}
	l.Learn(p, v)
	return nil
}

// give answers a pull with what this node knows to be committed. It waits for no
// disk: a committed value is true whoever holds it.
func (l *Registers) give(ask messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	at := l.parts[ask.Part]
	v := at.learned.Load()
	if v == nil {
		return messages.ConsensusResponse{Verdict: messages.Behind}, nil
	}
	if !ask.Pieces || !large(*v) {
		return messages.ConsensusResponse{Verdict: messages.Granted, Version: v.Version, Value: *v}, nil
	}
	t := &at.transfers
	t.mu.Lock()
	defer t.mu.Unlock()
	encode := func() ([]byte, error) { return v.MarshalMsg(nil) }
	piece, err := t.server.Give(ask.Slot, ask.Offset, l.sinceStartUs(), v.Version, encode)
	if err != nil {
		return messages.ConsensusResponse{}, errors.Wrap(err, "consensus: value")
	}
	return messages.ConsensusResponse{Verdict: messages.Granted, Version: piece.Version, Piece: piece.Bytes, Offset: piece.Offset, Total: piece.Total, Sum: int64(piece.Sum)}, nil
}

// ForgetTransfers lets go of encoded values that nobody fetches any more.
func (l *Registers) ForgetTransfers() {
	for _, at := range l.parts {
		at.transfers.mu.Lock()
		at.transfers.server.Forget(l.sinceStartUs())
		at.transfers.mu.Unlock()
	}
}

func (l *Registers) sinceStartUs() int64 { return time.Since(l.started).Microseconds() }
