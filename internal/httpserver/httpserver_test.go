package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/shoenig/test/must"
)

// scarce fails to accept a few times, as without descriptors, before each connection.
type scarce struct {
	net.Listener
	failures int
}

func (l *scarce) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A server that gets an error from Accept ends, and the process with it.
func TestServerOutlivesALackOfDescriptors(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	short := &scarce{Listener: ln.Listener, failures: 3}
	h := New("", server.WithListener(Listener{short}))
	h.GET("/", func(_ context.Context, c *app.RequestContext) { c.String(200, "served") })
	go func() { _ = h.Run() }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + ln.Addr().String() + "/")
	must.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, "served", string(body))
	must.Zero(t, short.failures)
	must.NoError(t, h.Close())
}

func TestListenNamesTheAddressThatIsTaken(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	_, err = Listen(ln.Addr().String())
	must.ErrorIs(t, err, syscall.EADDRINUSE)
	must.StrContains(t, err.Error(), ln.Addr().String())
}
