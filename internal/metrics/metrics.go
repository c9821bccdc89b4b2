// Package metrics serves the figures of a role as text over HTTP, in the exposition
// format of Prometheus.
//
// The figures stay where they arise, as atomic counters or as state that exists
// anyway; the collectors made here read them when somebody asks. Nothing runs between
// two requests but one goroutine that waits for a connection. A Server is made with
// the collectors of its role and runs until its context ends; where its address is
// taken the role goes on without it.
package metrics

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// Path is where the figures are served.
const Path = "/metrics"

var textFormat = expfmt.NewFormat(expfmt.TypeTextPlain)

// Limits on a connection of somebody who asks.
const (
	requestTimeout = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 8 << 10
)

// Config is what a Server needs.
type Config struct {
	// Addr is the address to listen on, an IPv4 address with a port; empty: nothing is
	// served.
	Addr string
	// Log is told where the address cannot be listened on.
	Log logr.Logger
}

// Server serves figures.
type Server struct {
	config   Config
	registry *prometheus.Registry
}

// NewServer makes a server of the figures of the collectors. Two collectors of one
// name are an error of the program.
func NewServer(config Config, collectors ...prometheus.Collector) *Server {
	s := &Server{config: config, registry: prometheus.NewRegistry()}
	s.registry.MustRegister(collectors...)
	return s
}

// Run serves until ctx ends. Where the address cannot be listened on it says so in the
// log and returns at once.
func (s *Server) Run(ctx context.Context) {
	if s.config.Addr == "" {
		return
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", s.config.Addr)
	if err != nil {
		s.config.Log.Error(errors.Wrap(err, "metrics: listen"), "no metrics are served; give the role a free port", "addr", s.config.Addr)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, s.serve)
	server := &http.Server{Handler: mux, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.config.Log.Error(err, "metrics are not served any more", "addr", s.config.Addr)
	}
}

func (s *Server) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", string(textFormat))
	if err := s.Write(w); err != nil {
		s.config.Log.Error(err, "not all metrics were served")
	}
}

// Write writes all figures as text. The error is that of a collector, or of w.
func (s *Server) Write(w io.Writer) error {
	families, err := s.registry.Gather()
	encoder := expfmt.NewEncoder(w, textFormat)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			return errors.Wrap(err, "metrics: write")
		}
	}
	return errors.Wrap(err, "metrics: gather")
}
