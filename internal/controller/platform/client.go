// Package platform calls the HTTP API of the platform. Each call is sent by the holder of a
// register's lease and carries the lease's fencing token (package singleton), so that the platform
// can reject calls of earlier holders.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
)

// responseTimeout is how long the platform may take to respond.
const responseTimeout = 3 * time.Second

// Outcome classifies the result of a call.
type Outcome int

// Outcomes of a call.
const (
	NotSent      Outcome = iota // the grant had expired, or the content could not be encoded
	Accepted                    // the platform has executed the call
	FenceRefused                // the platform has received a call with a higher fencing token
	Failed                      // any other result: the platform may have executed the call
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"not_sent", "accepted", "fence_refused", "failed"}

// Config configures a Client. All fields are required.
type Config struct {
	// Holder identifies this machine to the platform.
	Holder string
	// Addr returns the current address of the platform's API.
	Addr   func() string
	Fences Fences
	HTTP   HTTPClient
	Clock  func() int64 // microseconds, monotonic
	Log    logr.Logger
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("platform: incomplete configuration")

// LastCall is the time and outcome of the newest call. The zero LastCall means that there was none.
type LastCall struct {
	SentUs  int64
	Outcome Outcome
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	config   Config
	outcomes [outcomeCount]atomic.Int64

	mu   sync.Mutex // guards what follows
	last [consensus.RegisterCount]LastCall
}

// New returns a Client.
func New(config Config) (*Client, error) {
	if config.Addr == nil || config.Fences == nil || config.HTTP == nil || config.Clock == nil {
		return nil, ErrConfig
	}
	return &Client{config: config}, nil
}

// Call sends a call under the grant of a register's lease, unless the grant has expired by then.
// After the platform has refused a fencing token, nothing more is sent under it.
func (c *Client) Call(ctx context.Context, register int, grant lease.Grant, path string, content any) Outcome {
	body, err := json.Marshal(content)
	if err != nil {
		c.config.Log.Error(err, "encode call to the platform failed", "path", path)
		return NotSent
	}
	headers := map[string]string{
		"Beechtide-Duty-Holder": c.config.Holder,
		"Beechtide-Fence":       strconv.FormatInt(grant.Fence, 10),
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	c.config.Fences.RecordFenceUsed(register, grant.Fence)
	if !c.config.Fences.MayCall(register, grant.Fence) {
		return NotSent
	}
	sentUs := c.config.Clock()
	status, err := c.config.HTTP.Ask(ctx, c.config.Addr(), http.MethodPost, path, headers, body)
	c.config.Log.Info("platform called", "path", path, "fence", grant.Fence, "status", status, "err", err)
	outcome := outcomeOf(status, err)
	if outcome == FenceRefused {
		c.config.Fences.RecordRefusal(register, grant.Fence)
	}
	c.outcomes[outcome].Add(1)
	c.recordCall(register, LastCall{SentUs: sentUs, Outcome: outcome})
	return outcome
}

func outcomeOf(status int, err error) Outcome {
	switch {
	case err == nil && status/100 == 2:
		return Accepted
	case err == nil && status == http.StatusConflict:
		return FenceRefused
	}
	return Failed
}

func (c *Client) recordCall(register int, call LastCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last[register] = call
}

// Last returns the time and outcome of the newest call under the lease of a register.
func (c *Client) Last(register int) LastCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last[register]
}

// OutcomeCounts returns the number of calls by the name of their outcome.
func (c *Client) OutcomeCounts() map[string]int64 {
	counts := map[string]int64{}
	for outcome, name := range outcomeNames {
		counts[name] = c.outcomes[outcome].Load()
	}
	return counts
}
