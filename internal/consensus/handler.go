package consensus

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// handleTimeout bounds the handling of a request, which may wait for the disk.
const handleTimeout = 2 * time.Second

// Handle responds to a request that was received over the transport.
func (r *Registers) Handle(ctx context.Context, body []byte) ([]byte, error) {
	var request messages.ConsensusRequest
	if _, err := request.UnmarshalMsg(body); err != nil {
		return nil, errors.Wrap(err, "consensus: decode request")
	}
	if request.Part < 0 || request.Part >= RegisterCount {
		return nil, errors.New("consensus: handle request: register index out of range")
	}
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	response, err := r.handleRequest(ctx, request)
	if err != nil {
		return nil, err
	}
	return response.MarshalMsg(nil)
}

func (r *Registers) handleRequest(ctx context.Context, request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	switch {
	case request.Step == messages.Commit:
		return r.handleCommit(ctx, request)
	case request.Step == messages.Read && request.To == "":
		return r.serveCommitted(request)
	}
	return r.handleVote(ctx, request)
}

// handleCommit learns a committed value, or the accepted value if the request has a
// reference to it. With Flush set, it responds once the value is on disk.
func (r *Registers) handleCommit(ctx context.Context, request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	if isReference(request.Value) {
		return r.commitReferenced(ctx, request)
	}
	r.Learn(request.Part, request.Value)
	if request.Flush {
		return r.confirmDurable(ctx, request)
	}
	return messages.ConsensusResponse{Verdict: messages.Granted}, nil
}

// handleVote passes a read, prepare or accept request to the acceptor. A changed record
// is on disk when it returns; if the write fails, the change is rolled back.
func (r *Registers) handleVote(ctx context.Context, request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	register := r.registers[request.Part]
	if err := register.lock(ctx); err != nil {
		return messages.ConsensusResponse{}, err
	}
	defer register.unlock()
	if v := register.committed.Load(); v != nil {
		register.acceptor.Learn(*v)
	}
	before := register.acceptor.Record
	response, changed := register.acceptor.Handle(request)
	if !changed {
		return response, r.store.Sync()
	}
	if err := r.saveRecord(request.Part, register.acceptor.Record); err != nil {
		register.acceptor.Record = before
		return messages.ConsensusResponse{}, err
	}
	return response, nil
}

// send sends a request to a member, which may be this one.
func (r *Registers) send(ctx context.Context, to messages.Member, request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	if to.Addr == r.addr {
		return r.handleRequest(ctx, request)
	}
	encoded, err := r.caller.Call(ctx, to.Addr, r.kind, &request)
	if err != nil {
		return messages.ConsensusResponse{}, err
	}
	var response messages.ConsensusResponse
	if _, err := response.UnmarshalMsg(encoded); err != nil {
		return messages.ConsensusResponse{}, errors.Wrap(err, "consensus: decode response")
	}
	return response, nil
}
