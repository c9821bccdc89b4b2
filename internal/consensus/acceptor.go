// Acceptor is one member's part in agreeing on a register: what it knows to be
// committed, the ballot it has promised for the next slot and what it has
// accepted there. It is a pure state machine; whoever drives it must make a
// changed record durable before the word goes out.
package consensus

import "beechtide.org/beechtide/internal/messages"

// Acceptor answers asks for one part under one identity.
type Acceptor struct {
	ID  string
	Rec messages.Record
}

// Less orders ballots.
func Less(a, b messages.Ballot) bool {
	if a.N != b.N {
		return a.N < b.N
	}
	return a.Who < b.Who
}

// Fold takes in a committed value learned elsewhere.
func (a *Acceptor) Learn(v messages.Value) bool {
	if v.Version <= a.Rec.Committed.Version && len(a.Rec.Committed.Group) > 0 || len(v.Group) == 0 {
		return false
	}
	a.Rec = messages.Record{Committed: v}
	return true
}

// Handle answers an ask. The second result tells that the record has changed
// and must reach the disk before the word is sent.
func (a *Acceptor) Handle(request messages.ConsensusRequest) (messages.ConsensusResponse, bool) {
	version := a.Rec.Committed.Version
	known := len(a.Rec.Committed.Group) > 0
	if request.Step == messages.Read {
		if request.To != "" && request.To != a.ID {
			return messages.ConsensusResponse{Verdict: messages.Stranger, Version: version}, false
		}
		response := messages.ConsensusResponse{Verdict: messages.Granted, Version: version, HasAccepted: a.Rec.HasAccepted}
		if !known {
			response.Verdict = messages.Behind
		} else if version >= request.Slot {
			response.Value = a.Rec.Committed
		}
		return response, false
	}
	if request.To != a.ID {
		return messages.ConsensusResponse{Verdict: messages.Stranger, Version: version}, false
	}
	switch {
	case known && request.Slot <= version:
		return messages.ConsensusResponse{Verdict: messages.Ahead, Version: version, Value: a.Rec.Committed}, false
	case !known || request.Slot > version+1:
		return messages.ConsensusResponse{Verdict: messages.Behind, Version: version}, false
	}
	if Less(request.Ballot, a.Rec.Promised) {
		return messages.ConsensusResponse{Verdict: messages.Outbid, Version: version, Promised: a.Rec.Promised}, false
	}
	if request.Step == messages.Prepare {
		dirty := a.Rec.Promised != request.Ballot
		a.Rec.Promised = request.Ballot
		return messages.ConsensusResponse{Verdict: messages.Granted, Version: version, Promised: request.Ballot, AcceptedAt: a.Rec.AcceptedAt, HasAccepted: a.Rec.HasAccepted, Value: a.Rec.Accepted}, dirty
	}
	a.Rec.Promised, a.Rec.AcceptedAt, a.Rec.Accepted, a.Rec.HasAccepted = request.Ballot, request.Ballot, request.Value, true
	return messages.ConsensusResponse{Verdict: messages.Granted, Version: version, Promised: request.Ballot}, true
}
