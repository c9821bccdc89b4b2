// Package httpserver makes the HTTP servers of the roles: options that all of them share,
// and a listener that outlives a lack of descriptors.
package httpserver

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	hconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

// Limits that all servers share; options given to New replace them.
const (
	idleTimeout    = 60 * time.Second
	readTimeout    = 60 * time.Second
	exitWait       = 100 * time.Millisecond
	maxRequestBody = 64 << 20
)

// How long a Listener waits after an error before it accepts again.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// New makes a server for an address.
func New(addr string, more ...hconfig.Option) *server.Hertz {
	opts := append([]hconfig.Option{
		server.WithHostPorts(addr), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithDisableDefaultDate(true),
		server.WithDisableHeaderNamesNormalizing(false), server.WithIdleTimeout(idleTimeout),
		server.WithReadTimeout(readTimeout), server.WithMaxRequestBodySize(maxRequestBody), server.WithRedirectTrailingSlash(false),
		server.WithExitWaitTime(exitWait),
	}, more...)
	return server.New(opts...)
}

// Listener returns an error only once it is closed: the server above it would end the
// process, with all that is in flight, where for example descriptors run out.
type Listener struct{ net.Listener }

// Accept waits a growing time after each error that is no end.
func (l Listener) Accept() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		time.Sleep(backoff)
	}
}

// SocketOption sets an option of a socket before it listens.
type SocketOption func(fd uintptr)

// Listen opens an address that an earlier process may have used a moment ago.
func Listen(addr string, options ...SocketOption) (Listener, error) {
	lc := &net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
			for _, set := range options {
				set(fd)
			}
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return Listener{}, errors.Wrapf(err, "listen on %s", addr)
	}
	return Listener{ln}, nil
}
