package quotaclient

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
)

var errUnreachable = errors.New("cut")

// owner owns all quotas and grants any number of tokens until gone is set.
type owner struct{ unreachable atomic.Bool }

func (o *owner) Call(_ context.Context, _ string, _ int, body msgp.Marshaler) ([]byte, error) {
	ask, ok := body.(*messages.QuotaAsk)
	if !ok || o.unreachable.Load() {
		return nil, errUnreachable
	}
	grant := messages.QuotaGrant{Owner: true, Granted: ask.Need}
	return grant.MarshalMsg(nil)
}

var testLimit = quota.Limit{Version: 3, RatePerS: 10, Burst: 10}

func newTestClient(t *testing.T, peers Caller) *Client {
	t.Helper()
	start := time.Now()
	c, err := New(Config{
		Addr:        "r:1",
		Bounds:      quota.NewBounds(0, 0, 0),
		Clock:       func() int64 { return time.Since(start).Microseconds() + 1 },
		Log:         logr.Discard(),
		Peers:       peers,
		Controllers: func() []string { return []string{"c:1"} },
	})
	must.NoError(t, err)
	return c
}

const testWaitUs = 100_000

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{Addr: "r:1"})
	must.ErrorIs(t, err, ErrConfig)
}

func TestReturnedTokenIsGrantedToNextRequest(t *testing.T) {
	c := newTestClient(t, &owner{})
	first := c.Acquire("t1", testLimit, true, testWaitUs, nil)
	must.Eq(t, Granted, first.Outcome)
	c.Return("t1", first.Token)
	must.Eq(t, first, c.Acquire("t1", testLimit, true, testWaitUs, nil))
	must.Eq(t, 1, c.Counts().Granted)
}

func TestLenderGrantsOnlyAfterStartupWhenNoOwnerAnswers(t *testing.T) {
	peers := &owner{}
	c := newTestClient(t, peers)
	must.Eq(t, Granted, c.Acquire("t1", testLimit, true, testWaitUs, nil).Outcome)
	peers.unreachable.Store(true)
	c.mu.Lock()
	lent := c.grantee.Lend("t1", testLimit, c.config.Clock())
	later := c.grantee.Lend("t1", testLimit, c.config.Clock()+(10*time.Second).Microseconds())
	c.mu.Unlock()
	must.False(t, lent, must.Sprint("a router that has just started must not lend"))
	must.True(t, later)
	must.Eq(t, Unknown, c.Acquire("t2", testLimit, true, testWaitUs, nil).Outcome)
	must.Eq(t, 1, c.Counts().Unknown)
}
