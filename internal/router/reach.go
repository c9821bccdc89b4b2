package router

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// reachCallTimeout bounds the call with which a router checks whether it can reach another node.
const reachCallTimeout = 150 * time.Millisecond

// answerReach checks on behalf of a controller whether this router can reach another node, like
// the indirect probes of SWIM: the controller cannot reach that node itself, and must distinguish a
// node that is down from a broken link.
func (r *Router) answerReach(ctx context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var query messages.ReachQuery
	if _, err := query.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, reachCallTimeout)
	defer cancel()
	_, err := r.transport.Call(ctx, query.Addr, transport.KindVersions, &messages.Versions{Parts: []int64{}})
	response := messages.ReachAnswer{Reached: err == nil}
	return response.MarshalMsg(nil)
}
