// Tokens where no owner answers: a few routers, the lenders, share what a limit leaves for
// this.

package router

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
	"beechtide.org/beechtide/internal/transport"
)

// quotaBorrowWait bounds a question to a lender.
const quotaBorrowWait = 20 * time.Millisecond

// borrow reports whether a request may run without a token: a lender of the tenant, which may
// be this router, has one left in this window.
func (q *quotaClient) borrow(tenant string, limit quota.Limit) bool {
	q.mu.Lock()
	lenders := q.grantee.Lenders(tenant)
	lent := q.grantee.Lend(tenant, limit, q.router.clock())
	q.mu.Unlock()
	if lent {
		return true
	}
	ask := messages.QuotaAsk{Tenant: tenant, Need: 1, Want: 1, RatePerS: limit.RatePerS, Burst: limit.Burst, Version: limit.Version}
	for _, addr := range lenders {
		if addr != q.router.transport.Addr() && q.borrowFrom(addr, &ask) {
			return true
		}
	}
	return false
}

func (q *quotaClient) borrowFrom(addr string, ask *messages.QuotaAsk) bool {
	ctx, cancel := context.WithTimeout(context.Background(), quotaBorrowWait)
	defer cancel()
	b, err := q.router.transport.Call(ctx, addr, transport.KindQuotaUnowned, ask)
	if err != nil {
		return false
	}
	var grant messages.QuotaGrant
	_, err = grant.UnmarshalMsg(b)
	return err == nil && grant.Granted > 0
}

// handleBorrow lends to another router.
func (q *quotaClient) handleBorrow(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var ask messages.QuotaAsk
	if _, err := ask.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	limit := quota.Limit{Version: ask.Version, RatePerS: ask.RatePerS, Burst: ask.Burst}
	var grant messages.QuotaGrant
	q.mu.Lock()
	if q.grantee.Lend(ask.Tenant, limit, q.router.clock()) {
		grant.Granted = 1
	}
	q.mu.Unlock()
	return grant.MarshalMsg(nil)
}
