package platform

import "context"

// Fences limits what may be sent under a fencing token (singleton.Leases).
type Fences interface {
	RecordFenceUsed(register int, fence int64)
	MayCall(register int, fence int64) bool
	RecordRefusal(register int, fence int64)
}

// HTTPClient sends one HTTP request and reads the complete response (upstream.ConnPool).
type HTTPClient interface {
	Ask(ctx context.Context, addr, method, path string, headers map[string]string, body []byte) (status int, err error)
}
