package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestMetricsPrintsNonZeroValues(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "# TYPE a_total counter\na_total{kind=\"x\"} 3\na_total{kind=\"y\"} 0\n")
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	status, stdout, stderr := runCommand(t, "metrics", addr)
	must.Eq(t, 0, status, must.Sprint(stderr))
	must.Eq(t, "== "+addr+"\na_total{kind=x} 3\n", stdout)
	server.Close()
	status, _, stderr = runCommand(t, "metrics", addr)
	must.Eq(t, 1, status)
	must.Eq(t, 1, strings.Count(stderr, "\n"))
}
