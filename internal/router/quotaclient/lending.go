package quotaclient

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
	"beechtide.org/beechtide/internal/transport"
)

// borrowTimeout bounds a call to a lender.
const borrowTimeout = 20 * time.Millisecond

// borrow reports whether a request may run without a token of the owner: a lender of the tenant,
// which may be this router, has allowance left in the current window.
func (c *Client) borrow(tenant string, limit quota.Limit) bool {
	c.mu.Lock()
	lenders := c.grantee.Lenders(tenant)
	lent := c.grantee.Lend(tenant, limit, c.config.Clock())
	c.mu.Unlock()
	if lent {
		return true
	}
	request := messages.QuotaAsk{Tenant: tenant, Need: 1, Want: 1, RatePerS: limit.RatePerS, Burst: limit.Burst, Version: limit.Version}
	for _, addr := range lenders {
		if addr != c.config.Addr && c.borrowFrom(addr, &request) {
			return true
		}
	}
	return false
}

func (c *Client) borrowFrom(addr string, request *messages.QuotaAsk) bool {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	b, err := c.config.Peers.Call(ctx, addr, transport.KindQuotaUnowned, request)
	if err != nil {
		return false
	}
	var grant messages.QuotaGrant
	_, err = grant.UnmarshalMsg(b)
	return err == nil && grant.Granted > 0
}

// HandleBorrow answers the request of another router to run one request within this router's
// allowance as a lender.
func (c *Client) HandleBorrow(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var request messages.QuotaAsk
	if _, err := request.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	limit := quota.Limit{Version: request.Version, RatePerS: request.RatePerS, Burst: request.Burst}
	var grant messages.QuotaGrant
	c.mu.Lock()
	if c.grantee.Lend(request.Tenant, limit, c.config.Clock()) {
		grant.Granted = 1
	}
	c.mu.Unlock()
	return grant.MarshalMsg(nil)
}
