package metrics

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/histogram"
)

func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// scrape scrapes the server, and retries for a second until it accepts connections.
func scrape(t *testing.T, addr string) string {
	t.Helper()
	url := "http://" + addr + Path
	response, err := http.Get(url)
	for attempt := 0; err != nil && attempt < 200; attempt++ {
		time.Sleep(5 * time.Millisecond)
		response, err = http.Get(url)
	}
	must.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, 200, response.StatusCode)
	must.StrContains(t, response.Header.Get("Content-Type"), "text/plain")
	return string(text)
}

func TestServerReadsCollectorsOnEachScrape(t *testing.T) {
	value := 1.0
	var durations histogram.Durations
	durations.Observe(time.Second)
	config := Config{Addr: freeAddr(t), Log: logr.Discard()}
	s := NewServer(
		config, Invariants(), Durations("test_seconds", "Durations.", &durations),
		Gauge("test_gauge", "A gauge.", nil, func(emit Emit) { emit(value) }),
		Counter("test_total", "A counter.", []string{"kind"}, func(emit Emit) { emit(2, "x") }),
	)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(stopped)
	}()
	text := scrape(t, config.Addr)
	for _, line := range []string{"test_gauge 1\n", "test_total{kind=\"x\"} 2\n", "test_seconds_count 1\n", "test_seconds_bucket{le=\"1\"} 1\n", "# HELP test_total A counter.\n"} {
		must.StrContains(t, text, line)
	}
	value = 7
	must.StrContains(t, scrape(t, config.Addr), "test_gauge 7\n")
	cancel()
	<-stopped
}

func TestRunReturnsWithoutUsableAddress(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	logged := ""
	log := funcr.New(func(_, line string) { logged = line }, funcr.Options{})
	NewServer(Config{Addr: listener.Addr().String(), Log: log}).Run(t.Context())
	must.StrContains(t, logged, "no metrics are served")
	logged = ""
	NewServer(Config{Log: log}).Run(t.Context())
	must.Eq(t, "", logged)
}

func TestSummaryOmitsZeroSamples(t *testing.T) {
	var durations, empty histogram.Durations
	for range 9 {
		durations.Observe(3 * time.Millisecond)
	}
	durations.Observe(time.Minute)
	s := NewServer(
		Config{}, Durations("test_seconds", "Durations.", &durations), Durations("test_none_seconds", "Durations.", &empty),
		Gauge("test_gauge", "A gauge.", []string{"of"}, func(emit Emit) {
			emit(1_234_567, "all")
			emit(0, "none")
		}),
	)
	var text bytes.Buffer
	must.NoError(t, s.Write(&text))
	lines, err := Summary(&text)
	must.NoError(t, err)
	must.Eq(t, []string{"test_gauge{of=all} 1234567", "test_seconds count 10, mean 6.003 s, nine of ten below 0.005 s"}, lines)
	_, err = Summary(strings.NewReader("{"))
	must.Error(t, err)
}
