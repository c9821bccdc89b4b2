// References to large values: a member that has accepted a value needs only its digest to
// identify it, not all of it again. After a loss of power at all members, each of them
// runs a round to finish the same accepted value; with the value in each response these
// rounds would take so long that they preempt one another for seconds.

package consensus

import (
	"bytes"
	"context"
	"crypto/sha256"

	"beechtide.org/beechtide/internal/messages"
)

// referenceTo returns a reference to a large value that the receiver has probably
// accepted. A reference has no group, and a digest in place of the body. A receiver that
// has not accepted the value ignores it, as does a build without support for references.
func referenceTo(v messages.Value) messages.Value {
	encoded, _ := v.MarshalMsg(nil)
	digest := sha256.Sum256(encoded)
	return messages.Value{Version: v.Version, Body: digest[:], Stamp: v.Stamp}
}

// isReference reports whether a value is a reference, as returned by referenceTo.
func isReference(v messages.Value) bool { return len(v.Group) == 0 && len(v.Body) > 0 }

// refersTo reports whether a reference is to a value.
func refersTo(reference, v messages.Value) bool {
	return v.Version == reference.Version && v.Stamp == reference.Stamp && bytes.Equal(referenceTo(v).Body, reference.Body)
}

// sameReference reports whether two references are to the same value.
func sameReference(a, b messages.Value) bool {
	return a.Version == b.Version && a.Stamp == b.Stamp && bytes.Equal(a.Body, b.Body)
}

// commitReferenced learns the value that this member has accepted, if the request refers
// to it. The response has the newest committed version that it has learned by then.
func (r *Registers) commitReferenced(ctx context.Context, request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	register := r.registers[request.Part]
	if err := register.lock(ctx); err != nil {
		return messages.ConsensusResponse{}, err
	}
	record := register.acceptor.Record
	register.unlock()
	if record.HasAccepted && refersTo(request.Value, record.Accepted) {
		r.Learn(request.Part, record.Accepted)
	}
	committed, _ := r.Committed(request.Part)
	return messages.ConsensusResponse{Verdict: messages.Granted, Version: committed.Version}, nil
}

// acceptedValue returns the value that this member has accepted itself, or the zero Value.
func (r *Registers) acceptedValue(ctx context.Context, index int) messages.Value {
	register := r.registers[index]
	if register.lock(ctx) != nil {
		return messages.Value{}
	}
	defer register.unlock()
	if !register.acceptor.Record.HasAccepted {
		return messages.Value{}
	}
	return register.acceptor.Record.Accepted
}
