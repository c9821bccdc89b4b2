// Package metrics serves the metrics of a role over HTTP, in the text exposition format of
// Prometheus.
//
// Values are held by the packages that produce them, as atomic counters or as state that
// exists anyway; the collectors of this package read them on each scrape. Between two
// scrapes only one goroutine runs, which accepts connections. A Server is created with the
// collectors of its role and runs until its context ends; if it cannot listen on its
// address, the role runs without metrics.
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

// Path is the URL path of the metrics.
const Path = "/metrics"

var textFormat = expfmt.NewFormat(expfmt.TypeTextPlain)

// Limits on a client connection.
const (
	requestTimeout = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 8 << 10
)

// Config holds the address and the logger of a Server.
type Config struct {
	// Addr is the address to listen on, an IPv4 address with a port; if empty, nothing is
	// served.
	Addr string
	// Log receives errors of listening and serving.
	Log logr.Logger
}

// Server serves the metrics of its collectors.
type Server struct {
	config   Config
	registry *prometheus.Registry
}

// NewServer returns a server of the metrics of the collectors. It panics if two collectors
// have the same metric.
func NewServer(config Config, collectors ...prometheus.Collector) *Server {
	s := &Server{config: config, registry: prometheus.NewRegistry()}
	s.registry.MustRegister(collectors...)
	return s
}

// Run serves until ctx ends. If it cannot listen on the address, it logs the error and
// returns immediately.
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

// Write writes all metrics as text. Errors are those of a collector or of w.
func (s *Server) Write(w io.Writer) error {
	families, err := s.registry.Gather()
	encoder := expfmt.NewEncoder(w, textFormat)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			return errors.Wrap(err, "metrics: encode metric family")
		}
	}
	return errors.Wrap(err, "metrics: gather metrics")
}
