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

// failingListener is a listener whose next calls of Accept fail with EMFILE, as without free file
// descriptors; failures is the number of these calls.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// get returns the body of a response, or the text of the error.
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

// Guards against a server, and with it the process, ending when Accept fails for lack of file
// descriptors.
func TestServerSurvivesLackOfFileDescriptors(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	short := &failingListener{Listener: ln.Listener, failures: 3}
	h := New("", server.WithListener(Listener{short}))
	h.GET("/", func(_ context.Context, c *app.RequestContext) { c.String(200, "served") })
	ended, served := make(chan error, 1), make(chan string, 1)
	go func() { ended <- h.Run() }()
	go func() { served <- get(t, "http://"+ln.Addr().String()+"/") }()
	select {
	case body := <-served:
		must.Eq(t, "served", body)
	case err := <-ended:
		t.Fatalf("server ended: %v", err)
	}
	must.Zero(t, short.failures)
	must.NoError(t, h.Close())
}

func TestListenErrorNamesAddressInUse(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	_, err = Listen(ln.Addr().String())
	must.ErrorIs(t, err, syscall.EADDRINUSE)
	must.StrContains(t, err.Error(), ln.Addr().String())
}
