package router

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// reachWait bounds the call by which a router looks whether it reaches another node.
const reachWait = 150 * time.Millisecond

// answerReach answers a controller that does not reach another one and wants to know whether
// that one is down or the way there is cut, as the indirect probes of SWIM do.
func (r *Router) answerReach(ctx context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var query messages.ReachQuery
	if _, err := query.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, reachWait)
	defer cancel()
	_, err := r.transport.Call(ctx, query.Addr, transport.KindVersions, &messages.Versions{Parts: []int64{}})
	answer := messages.ReachAnswer{Reached: err == nil}
	return answer.MarshalMsg(nil)
}
