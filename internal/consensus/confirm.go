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
func (r *Registers) Confirm(ctx context.Context, part int, m messages.Member, v messages.Value) (bool, error) {
	request := messages.ConsensusRequest{Part: part, To: m.ID, Step: messages.Commit, Slot: v.Version, Flush: true}
	response, err := r.send(ctx, m, request)
	if err != nil || response.Kept || response.Verdict != messages.Granted {
		return response.Kept, err
	}
	if isLarge(v) {
		return false, nil // it fetches that by pieces and is asked again
	}
	request.Value = v
	response, err = r.send(ctx, m, request)
	return response.Kept, err
}

// Retire makes this member refuse to join any group from now on, since it is
// about to end; it goes on as a member where it is one.
func (r *Registers) Retire() { r.retired.Store(true) }

// flush answers a commit once the value is on disk.
func (r *Registers) confirmDurable(ctx context.Context, request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	if request.To != r.id {
		return messages.ConsensusResponse{Verdict: messages.Stranger}, nil
	}
	register := r.registers[request.Part]
	select {
	case register.recordLock <- struct{}{}:
	case <-ctx.Done():
		return messages.ConsensusResponse{}, errors.Wrap(ErrStore, "busy")
	}
	defer func() { <-register.recordLock }()
	v := register.committed.Load()
	if v == nil {
		return messages.ConsensusResponse{Verdict: messages.Granted}, nil
	}
	if err := r.persistLocked(request.Part, *v); err != nil {
		return messages.ConsensusResponse{}, err
	}
	joins := !containsMember(register.acceptor.Rec.Committed.Group, r.id)
	confirmed := register.durableVersion >= request.Slot && !(joins && r.retired.Load())
	return messages.ConsensusResponse{Verdict: messages.Granted, Version: register.durableVersion, Kept: confirmed}, nil
}

// makeDurable folds a committed value into the record and saves it, unless the
// disk holds it already. The caller holds the part.
func (r *Registers) persistLocked(part int, v messages.Value) error {
	register := r.registers[part]
	before := register.acceptor.Rec
	if !register.acceptor.Learn(v) && register.durableVersion >= register.acceptor.Rec.Committed.Version {
		return r.store.Settle()
	}
	if err := r.saveRecord(part, register.acceptor.Rec); err != nil {
		register.acceptor.Rec = before
		return err
	}
	return nil
}
