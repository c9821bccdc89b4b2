package consensus

import (
	"context"

	"beechtide.org/beechtide/internal/messages"
)

// Confirm asks a member whether it has the committed value v, or a newer one, on
// disk. It is the first of the two steps of a join: only members that confirmed are
// proposed. The value is sent only to a member that does not have it. A member whose
// build does not know the question never confirms, and so never joins.
func (r *Registers) Confirm(ctx context.Context, part int, m messages.Member, v messages.Value) (bool, error) {
	request := messages.ConsensusRequest{Part: part, To: m.ID, Step: messages.Commit, Slot: v.Version, Flush: true}
	response, err := r.send(ctx, m, request)
	if err != nil || response.Durable || response.Verdict != messages.Granted {
		return response.Durable, err
	}
	if isLarge(v) {
		return false, nil // the member fetches it in chunks and is asked again
	}
	request.Value = v
	response, err = r.send(ctx, m, request)
	return response.Durable, err
}

// Retire makes this member refuse to join any group from now on, since its process
// is shutting down. In groups that it belongs to it goes on voting.
func (r *Registers) Retire() { r.retired.Store(true) }

// confirmDurable answers a Confirm once the committed value is on disk.
func (r *Registers) confirmDurable(ctx context.Context, request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	if request.To != r.id {
		return messages.ConsensusResponse{Verdict: messages.Stranger}, nil
	}
	register := r.registers[request.Part]
	if err := register.lock(ctx); err != nil {
		return messages.ConsensusResponse{}, err
	}
	defer register.unlock()
	v := register.committed.Load()
	if v == nil {
		return messages.ConsensusResponse{Verdict: messages.Granted}, nil
	}
	if err := r.persistLocked(request.Part, *v); err != nil {
		return messages.ConsensusResponse{}, err
	}
	joins := !containsMember(register.acceptor.Rec.Committed.Group, r.id)
	confirmed := register.durableVersion >= request.Slot && !(joins && r.retired.Load())
	return messages.ConsensusResponse{Verdict: messages.Granted, Version: register.durableVersion, Durable: confirmed}, nil
}
