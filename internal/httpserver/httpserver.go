// Package httpserver creates the HTTP servers of all roles. It provides the options that all
// servers share, and a listener that keeps accepting after temporary errors, such as a lack
// of file descriptors.
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

// Defaults that all servers share; options passed to New override them.
const (
	idleTimeout    = 60 * time.Second
	readTimeout    = 60 * time.Second
	exitWait       = 100 * time.Millisecond
	maxRequestBody = 64 << 20
)

// Minimum and maximum time that a Listener waits after an error before it accepts again.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// New creates a server for an address. The options in overrides override the defaults.
func New(addr string, overrides ...hconfig.Option) *server.Hertz {
	opts := append([]hconfig.Option{
		server.WithHostPorts(addr), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithDisableDefaultDate(true),
		server.WithDisableHeaderNamesNormalizing(false), server.WithIdleTimeout(idleTimeout),
		server.WithReadTimeout(readTimeout), server.WithMaxRequestBodySize(maxRequestBody), server.WithRedirectTrailingSlash(false),
		server.WithExitWaitTime(exitWait),
	}, overrides...)
	return server.New(opts...)
}

// Listener is a net.Listener whose Accept returns an error only after it is closed. With any
// other error, for example a lack of file descriptors, the HTTP server would end, and with it
// the process and all requests in flight.
type Listener struct{ net.Listener }

// Accept returns the next connection. After each error other than net.ErrClosed it retries,
// with exponential backoff.
func (l Listener) Accept() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		time.Sleep(backoff)
	}
}

// SocketOption sets an option on a socket before it is bound.
type SocketOption func(fd uintptr)

// Listen listens on a TCP address, also if a previous process has used it recently
// (SO_REUSEADDR).
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
