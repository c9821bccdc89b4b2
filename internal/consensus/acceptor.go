package consensus

import "beechtide.org/beechtide/internal/messages"

// Acceptor is the Paxos acceptor of one register under one identity. Its record has
// the newest committed value that it has learned, the ballot that it has promised for
// the next version and the value that it has accepted there. It is a pure state
// machine; its driver makes a changed record durable before the response is sent.
type Acceptor struct {
	ID     string          // the identity that it votes under
	Record messages.Record // the state that must survive a restart
}

// ballotLess orders ballots: by number, then by proposer.
func ballotLess(a, b messages.Ballot) bool {
	if a.N != b.N {
		return a.N < b.N
	}
	return a.Who < b.Who
}

// Learn merges a committed value and reports whether it is newer than the one in the
// record. If it is, the promise and the accepted value are discarded.
func (a *Acceptor) Learn(v messages.Value) bool {
	hasCommitted := len(a.Record.Committed.Group) > 0
	if len(v.Group) == 0 || hasCommitted && v.Version <= a.Record.Committed.Version {
		return false
	}
	a.Record = messages.Record{Committed: v}
	return true
}

// Handle responds to a read, prepare or accept request. changed reports that the record
// has changed and must be on disk before the response is sent.
func (a *Acceptor) Handle(request messages.ConsensusRequest) (response messages.ConsensusResponse, changed bool) {
	if request.Step == messages.Read {
		return a.read(request), false
	}
	if response, ok := a.admit(request); !ok {
		return response, false
	}
	if request.Step == messages.Prepare {
		return a.prepare(request.Ballot, request.Value)
	}
	return a.accept(request.Ballot, request.Value)
}

// read responds to a read. The response has the committed value only if that is at or
// above the requested version, and reports whether a value is accepted and not known to
// be committed.
func (a *Acceptor) read(request messages.ConsensusRequest) messages.ConsensusResponse {
	version := a.Record.Committed.Version
	if request.To != "" && request.To != a.ID {
		return messages.ConsensusResponse{Verdict: messages.Stranger, Version: version}
	}
	response := messages.ConsensusResponse{Verdict: messages.Granted, Version: version, HasAccepted: a.Record.HasAccepted}
	if len(a.Record.Committed.Group) == 0 {
		response.Verdict = messages.Behind
	} else if version >= request.Slot {
		response.Value = a.Record.Committed
	}
	return response
}

// admit rejects a prepare or accept that is for another identity or another
// version, or under a lower ballot than the promised one.
func (a *Acceptor) admit(request messages.ConsensusRequest) (rejection messages.ConsensusResponse, ok bool) {
	version := a.Record.Committed.Version
	hasCommitted := len(a.Record.Committed.Group) > 0
	switch {
	case request.To != a.ID:
		return messages.ConsensusResponse{Verdict: messages.Stranger, Version: version}, false
	case hasCommitted && request.Slot <= version:
		return messages.ConsensusResponse{Verdict: messages.Ahead, Version: version, Value: a.Record.Committed}, false
	case !hasCommitted || request.Slot > version+1:
		return messages.ConsensusResponse{Verdict: messages.Behind, Version: version}, false
	case ballotLess(request.Ballot, a.Record.Promised):
		return messages.ConsensusResponse{Verdict: messages.Outbid, Version: version, Promised: a.Record.Promised}, false
	}
	return messages.ConsensusResponse{}, true
}

// prepare promises a ballot and reports the value accepted under a lower one: by
// reference, if the proposer has sent the reference to that value.
func (a *Acceptor) prepare(ballot messages.Ballot, reference messages.Value) (response messages.ConsensusResponse, changed bool) {
	changed = a.Record.Promised != ballot
	a.Record.Promised = ballot
	accepted := a.Record.Accepted
	if a.Record.HasAccepted && isReference(reference) && refersTo(reference, accepted) {
		accepted = reference
	}
	return messages.ConsensusResponse{
		Verdict:     messages.Granted,
		Version:     a.Record.Committed.Version,
		Promised:    ballot,
		AcceptedAt:  a.Record.AcceptedAt,
		HasAccepted: a.Record.HasAccepted,
		Value:       accepted,
	}, changed
}

// accept accepts a value, and thereby promises its ballot. A reference is resolved to
// the value that is accepted already. A reference to another value is rejected with the
// same verdict as a lower ballot, and changes nothing.
func (a *Acceptor) accept(ballot messages.Ballot, v messages.Value) (response messages.ConsensusResponse, changed bool) {
	version := a.Record.Committed.Version
	if isReference(v) {
		if !a.Record.HasAccepted || !refersTo(v, a.Record.Accepted) {
			return messages.ConsensusResponse{Verdict: messages.Outbid, Version: version, Promised: a.Record.Promised}, false
		}
		v = a.Record.Accepted
	}
	a.Record.Promised, a.Record.AcceptedAt = ballot, ballot
	a.Record.Accepted, a.Record.HasAccepted = v, true
	return messages.ConsensusResponse{Verdict: messages.Granted, Version: version, Promised: ballot}, true
}
