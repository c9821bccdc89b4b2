// Confirm is the first of the two steps in which a member joins: it is brought
// the committed value and says, from its disk, that it holds it. A member whose
// build does not know the question never says so, and is not taken in.
package consensus

import (
	"context"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// Confirm asks a member whether it holds the committed value v, or a newer one,
// on its disk. It sends the value only to a member that does not have it.
func (l *Registers) Confirm(ctx context.Context, p int, m messages.Member, v messages.Value) (bool, error) {
	ask := messages.ConsensusRequest{Part: p, To: m.ID, Step: messages.Commit, Slot: v.Version, Flush: true}
	w, err := l.send(ctx, m, ask)
	if err != nil || w.Kept || w.Verdict != messages.Granted {
		return w.Kept, err
	}
	if large(v) {
		return false, nil // it fetches that by pieces and is asked again
	}
	ask.Value = v
	w, err = l.send(ctx, m, ask)
	return w.Kept, err
}

// Retire makes this member refuse to join any group from now on, since it is
// about to end; it goes on as a member where it is one.
func (l *Registers) Retire() { l.retired.Store(true) }

// flush answers a commit once the value is on disk.
func (l *Registers) flush(ctx context.Context, ask messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	if ask.To != l.id {
		return messages.ConsensusResponse{Verdict: messages.Stranger}, nil
	}
	at := l.parts[ask.Part]
	select {
	case at.sem <- struct{}{}:
	case <-ctx.Done():
		return messages.ConsensusResponse{}, errors.Wrap(ErrStore, "busy")
	}
	defer func() { <-at.sem }()
	v := at.learned.Load()
	if v == nil {
		return messages.ConsensusResponse{Verdict: messages.Granted}, nil
	}
	if err := l.makeDurable(ask.Part, *v); err != nil {
		return messages.ConsensusResponse{}, err
	}
	joins := !has(at.acc.Rec.Committed.Group, l.id)
	kept := at.durable >= ask.Slot && !(joins && l.retired.Load())
	return messages.ConsensusResponse{Verdict: messages.Granted, Version: at.durable, Kept: kept}, nil
}

// makeDurable folds a committed value into the record and saves it, unless the
// disk holds it already. The caller holds the part.
func (l *Registers) makeDurable(p int, v messages.Value) error {
	at := l.parts[p]
	before := at.acc.Rec
	if !at.acc.Fold(v) && at.durable >= at.acc.Rec.Committed.Version {
		return l.store.Settle()
	}
	if err := l.save(p, at.acc.Rec); err != nil {
		at.acc.Rec = before
		return err
	}
	return nil
}
