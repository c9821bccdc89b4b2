package controller

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// mostLookedAt bounds the bytes of a response that is decoded a second time.
const mostLookedAt = 4 << 10

// contactCaller carries the registers' requests and notes the responses of members:
// each is a round trip, which renews the lease without a message more. It matters
// under many changes, when the comparisons of versions are late.
type contactCaller struct {
	next    consensus.Caller
	contact *contact
	clock   func() int64
}

// Call carries a request and notes who answered it.
func (c contactCaller) Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error) {
	sentUs := c.clock()
	out, err := c.next.Call(ctx, addr, kind, body)
	request, ok := body.(*messages.ConsensusRequest)
	if err != nil || !ok || len(out) > mostLookedAt || !namesMember(request) {
		return out, err
	}
	var response messages.ConsensusResponse
	if _, err := response.UnmarshalMsg(out); err == nil && response.Verdict != messages.Stranger {
		c.contact.answered(request.To, sentUs)
	}
	return out, nil
}

// namesMember tells a request that only the member it names answers, or else as a
// stranger. A commit is taken from anybody by anybody.
func namesMember(r *messages.ConsensusRequest) bool {
	return r.To != "" && r.Step != messages.Commit
}
