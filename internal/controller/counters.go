// Counters for the metrics of a controller: the calls of runners and of the operator.

package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"beechtide.org/beechtide/internal/dissemination"
	"beechtide.org/beechtide/internal/histogram"
)

// counters are safe for concurrent use, and their zero value is ready for use.
type counters struct {
	calls         [callCount]callCounter
	publishes     histogram.Durations // from when a configuration was known to be committed until it was active here
	subscriptions dissemination.SubscriptionCounts
}

// callKind identifies a call of the API for runners and the operator.
type callKind int

const (
	callHeartbeat callKind = iota
	callLeave
	callReplace
	callRead
	callNameWeights
	callAmend
	callReadTally
	callEvacuate
	callBeginRollout
	callReadRollout
	callCount
)

var callNames = [callCount]string{"heartbeat", "leave", "replace", "read", "name_weights", "amend_tally", "read_tally", "evacuate", "begin_rollout", "read_rollout"}

// callCounter counts the responses to one call. A 3xx asks the caller to confirm its order. A status
// above 4xx counts as unsure: the caller tries another controller.
type callCounter struct {
	done, unconfirmed, rejected, unsure atomic.Int64
	durations                           histogram.Durations
}

func (c *callCounter) record(status int, took time.Duration) {
	switch status / 100 {
	case 2:
		c.done.Add(1)
	case 3:
		c.unconfirmed.Add(1)
	case 4:
		c.rejected.Add(1)
	default:
		c.unsure.Add(1)
	}
	c.durations.Observe(took)
}

// countResponses wraps a handler so that its responses are counted.
func (c *Controller) countResponses(kind callKind, serve app.HandlerFunc) app.HandlerFunc {
	counter := &c.counters.calls[kind]
	return func(ctx context.Context, rc *app.RequestContext) {
		begun := time.Now()
		serve(ctx, rc)
		counter.record(rc.Response.StatusCode(), time.Since(begun))
	}
}
