package consensus

import (
	"context"

	"beechtide.org/beechtide/internal/messages"
)

// Confirm requests a confirmation that a member has the committed value v, or a newer
// one, on disk. It is the first of the two steps of a join: only members that confirmed
// are proposed. The value is sent only to a member that does not have it. A member whose
// build does not support confirmations never confirms, and so never joins.
func (r *Registers) Confirm(ctx context.Context, index int, m messages.Member, v messages.Value) (bool, error) {
	request := messages.ConsensusRequest{Part: index, To: m.ID, Step: messages.Commit, Slot: v.Version, Flush: true}
	response, err := r.send(ctx, m, request)
	if err != nil || response.Durable || response.Verdict != messages.Granted {
		return response.Durable, err
	}
	if isLarge(v) {
		return false, nil // the member fetches it in chunks, and the caller retries
	}
	request.Value = v
	response, err = r.send(ctx, m, request)
	return response.Durable, err
}

// Retire prevents this member from joining any further group, because its process is
// shutting down. It continues to vote in the groups that it belongs to.
func (r *Registers) Retire() { r.retired.Store(true) }

// confirmDurable responds to a Confirm once the committed value is on disk.
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
	joins := !containsMember(register.acceptor.Record.Committed.Group, r.id)
	confirmed := register.durableVersion >= request.Slot && !(joins && r.retired.Load())
	return messages.ConsensusResponse{Verdict: messages.Granted, Version: register.durableVersion, Durable: confirmed}, nil
}
