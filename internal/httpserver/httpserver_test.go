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

// get returns the body of a response; an error is its text.
func get(t *testing.T, url string) string {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// A server that gets an error from Accept ends, and the process with it.
func TestServerOutlivesALackOfDescriptors(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	short := &scarce{Listener: ln.Listener, failures: 3}
	h := New("", server.WithListener(Listener{short}))
	h.GET("/", func(_ context.Context, c *app.RequestContext) { c.String(200, "served") })
	ended, served := make(chan error, 1), make(chan string, 1)
	go func() { ended <- h.Run() }()
	go func() { served <- get(t, "http://"+ln.Addr().String()+"/") }()
	select {
	case body := <-served:
		must.Eq(t, "served", body)
	case err := <-ended:
		t.Fatalf("the server has ended: %v", err)
	}
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
