// Package runnerapi is the controllers' client for the HTTP API of runners and stores: load reports,
// orders, cache events and lists of cached prefixes (api/calls.yaml).
package runnerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/messages"
)

const (
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
	// orderTimeout is how long a runner may take to respond to an order.
	orderTimeout = 700 * time.Millisecond
	// eventsWaitMs is how long a runner may delay its response while it has no events, in
	// milliseconds.
	eventsWaitMs = "1000"
)

// targetHeader is the header with the ID of the runner that a call is meant for, as another runner
// may have its address by now.
const targetHeader = "Beechtide-Target-Instance"

// Errors of a call.
var (
	// ErrStatus means that the runner responded with a status other than 200.
	ErrStatus = errors.New("runnerapi: unexpected status")
	// ErrNotSent means that an order was not sent.
	ErrNotSent = errors.New("runnerapi: the order was not sent")
)

// HTTPClient sends one HTTP request and reads the complete response (upstream.ConnPool).
type HTTPClient interface {
	Ask(ctx context.Context, addr, method, path string, headers map[string]string, body []byte) (status int, err error)
	Read(ctx context.Context, addr, path string, headers map[string]string, use func(status int, body []byte) error) error
}

// Client calls runners and stores. It is safe for concurrent use.
type Client struct{ connections HTTPClient }

// New returns a Client that sends requests over connections.
func New(connections HTTPClient) *Client { return &Client{connections: connections} }

// Report returns the load report of a runner.
func (c *Client) Report(ctx context.Context, runner messages.RunnerRecord) (api.Report, error) {
	var report api.Report
	err := c.read(ctx, runner, "/api/report", map[string]string{}, &report)
	return report, err
}

// CacheEvents returns the cache events of a runner from version since on. The runner waits up to
// a second for one.
func (c *Client) CacheEvents(ctx context.Context, runner messages.RunnerRecord, since int64) (api.PrefixEvents, error) {
	var events api.PrefixEvents
	path := "/api/kv-events?since=" + strconv.FormatInt(since, 10)
	err := c.read(ctx, runner, path, map[string]string{"Wait-Ms": eventsWaitMs}, &events)
	return events, err
}

// CacheList returns the list of all prefixes that a runner has cached. The call delays the runner.
func (c *Client) CacheList(ctx context.Context, runner messages.RunnerRecord) (api.PrefixList, error) {
	var list api.PrefixList
	err := c.read(ctx, runner, "/api/kv-list", map[string]string{}, &list)
	return list, err
}

func (c *Client) read(ctx context.Context, runner messages.RunnerRecord, path string, headers map[string]string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if runner.Service != "" { // a store has no instance
		headers[targetHeader] = runner.ID
	}
	err := c.connections.Read(ctx, runner.Addr, path, headers, func(status int, body []byte) error {
		if status != http.StatusOK {
			return errors.Wrapf(ErrStatus, "%d", status)
		}
		return json.Unmarshal(body, into)
	})
	return errors.Wrapf(err, "runnerapi: read %s of %s", path, runner.ID)
}

// Order sends an order, unless maySend, which is called right before sending, returns false. The
// status is 0 if there was no response. The error is or wraps ErrNotSent if the order was not sent.
func (c *Client) Order(ctx context.Context, runner messages.RunnerRecord, order api.Order, maySend func() bool) (status int, err error) {
	body, err := json.Marshal(order)
	if err != nil {
		return 0, errors.Wrap(ErrNotSent, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !maySend() {
		return 0, ErrNotSent
	}
	status, err = c.connections.Ask(ctx, runner.Addr, http.MethodPost, "/api/order", map[string]string{targetHeader: runner.ID}, body)
	if err != nil {
		return 0, errors.Wrapf(err, "runnerapi: order to %s", runner.ID)
	}
	return status, nil
}
