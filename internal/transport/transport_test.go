package transport

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// listeningTransport returns a running transport that answers requests of KindVersions.
func listeningTransport(t *testing.T, addr string) *Transport {
	t.Helper()
	pool, err := ants.NewPool(8, ants.WithNonblocking(true))
	must.NoError(t, err)
	t.Cleanup(pool.Release)
	trans, err := New(addr, pool, logr.Discard())
	must.NoError(t, err)
	trans.OnCall(KindVersions, func(context.Context, *Conn, []byte) ([]byte, error) { return []byte("here"), nil })
	trans.Run(t.Context())
	return trans
}

func TestCallUnsharedUsesAConnectionOfItsOwn(t *testing.T) {
	server := listeningTransport(t, "127.0.0.1:0")
	addr := server.listener.Addr().String()
	client := newTestTransport(t)
	body, err := client.CallUnshared(t.Context(), addr, KindVersions, &messages.Versions{Parts: []int64{}})
	must.NoError(t, err)
	must.Eq(t, "here", string(body))
	must.MapEmpty(t, client.conns)
	server.Close()
	_, err = client.CallUnshared(t.Context(), addr, KindVersions, &messages.Versions{Parts: []int64{}})
	must.Error(t, err)
}
