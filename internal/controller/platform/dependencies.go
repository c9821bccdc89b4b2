package platform

import "context"

// Fences bound what may be sent under a fencing token (singleton.Leases).
type Fences interface {
	RecordFenceUsed(part int, fence int64)
	MayCall(part int, fence int64) bool
	Refuse(part int, fence int64)
}

// Asker sends one HTTP request and reads the complete response (upstream.ConnPool).
type Asker interface {
	Ask(ctx context.Context, addr, method, path string, headers map[string]string, body []byte) (status int, response []byte, err error)
}
