// Package platform calls the API of the platform. Each call is made by the holder of a
// register's lease and carries its fencing token (package singleton).
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

// answerTimeout is how long the platform may take to answer.
const answerTimeout = 3 * time.Second

// Answer is what became of a call.
type Answer int

// Outcomes of a call.
const (
	NotSent  Answer = iota // the grant had run out
	Accepted               // done
	Refused                // a call with a higher fence was seen
	Failed                 // anything else: it may have been done
	answerCount
)

var answerNames = [answerCount]string{"not_sent", "accepted", "fence_refused", "failed"}

// Config is what a Client is given. All fields are required.
type Config struct {
	// Holder names this machine to the platform.
	Holder string
	// Addr returns the address of the platform's API.
	Addr   func() string
	Fences Fences
	HTTP   Asker
	Clock  func() int64 // microseconds, monotonic
	Log    logr.Logger
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("platform: incomplete configuration")

// LastCall is when the newest call left, and what became of it. The zero LastCall is none.
type LastCall struct {
	SentUs int64
	Answer Answer
}

// Client is safe for concurrent use.
type Client struct {
	config  Config
	answers [answerCount]atomic.Int64

	mu   sync.Mutex // guards what follows
	last [consensus.RegisterCount]LastCall
}

// New returns a client.
func New(config Config) (*Client, error) {
	if config.Addr == nil || config.Fences == nil || config.HTTP == nil || config.Clock == nil {
		return nil, ErrConfig
	}
	return &Client{config: config}, nil
}

// Call makes a call under the grant of a register's lease, unless the grant has run
// out as it leaves. After a refusal nothing is sent under this fence any more.
func (c *Client) Call(ctx context.Context, part int, grant lease.Grant, path string, content any) Answer {
	body, err := json.Marshal(content)
	if err != nil {
		c.config.Log.Error(err, "a call to the platform cannot be written", "path", path)
		return NotSent
	}
	headers := map[string]string{
		"Beechtide-Duty-Holder": c.config.Holder,
		"Beechtide-Fence":       strconv.FormatInt(grant.Fence, 10),
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	c.config.Fences.RecordFenceUsed(part, grant.Fence)
	if !c.config.Fences.MayCall(part, grant.Fence) {
		return NotSent
	}
	sentUs := c.config.Clock()
	status, _, err := c.config.HTTP.Ask(ctx, c.config.Addr(), http.MethodPost, path, headers, body)
	c.config.Log.Info("platform called", "path", path, "fence", grant.Fence, "status", status, "err", err)
	answer := answerOf(status, err)
	if answer == Refused {
		c.config.Fences.Refuse(part, grant.Fence)
	}
	c.answers[answer].Add(1)
	c.record(part, LastCall{SentUs: sentUs, Answer: answer})
	return answer
}

func answerOf(status int, err error) Answer {
	switch {
	case err == nil && status/100 == 2:
		return Accepted
	case err == nil && status == http.StatusConflict:
		return Refused
	}
	return Failed
}

func (c *Client) record(part int, call LastCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last[part] = call
}

// Last returns the newest call under the lease of a register.
func (c *Client) Last(part int) LastCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last[part]
}

// Answers returns how many calls had each outcome, by its name.
func (c *Client) Answers() map[string]int64 {
	counts := map[string]int64{}
	for answer, name := range answerNames {
		counts[name] = c.answers[answer].Load()
	}
	return counts
}
