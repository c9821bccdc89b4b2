package controller

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// maxDecodedResponseBytes is the largest response, in bytes, that contactCaller decodes to check
// its verdict.
const maxDecodedResponseBytes = 4 << 10

// contactCaller sends the registers' requests and records the responses of members: each is a
// round trip that renews the contact lease without an extra message. This matters under a high
// rate of changes, when the comparisons of versions are late.
type contactCaller struct {
	next    consensus.Caller
	contact *contactLease
	clock   func() int64
}

// Call sends a request and records the member that answered it.
func (c contactCaller) Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error) {
	sentUs := c.clock()
	response, err := c.next.Call(ctx, addr, kind, body)
	request, ok := body.(*messages.ConsensusRequest)
	if err != nil || !ok || len(response) > maxDecodedResponseBytes || !isAddressedToMember(request) {
		return response, err
	}
	var decoded messages.ConsensusResponse
	if _, err := decoded.UnmarshalMsg(response); err == nil && decoded.Verdict != messages.Stranger {
		c.contact.recordAnswer(request.To, sentUs)
	}
	return response, nil
}

// isAddressedToMember reports whether a request is accepted only by the member it is addressed to;
// any other node answers with the verdict Stranger. A commit is accepted by every node.
func isAddressedToMember(r *messages.ConsensusRequest) bool {
	return r.To != "" && r.Step != messages.Commit
}
