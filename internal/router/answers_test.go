package router

import (
	"context"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/upstream"
)

// newAdmittedExchange returns a run-once request that has been admitted and connected to a runner,
// with its deadline in timeoutUs.
func newAdmittedExchange(t *testing.T, router *Router, timeoutUs int64) (*exchange, *admission.Admission, *upstream.Conn) {
	t.Helper()
	e := &exchange{router: router, rc: app.NewContext(0), id: "id1", route: &routeconfig.Route{}, service: "s"}
	e.rc.Request.Header.SetMethod("POST")
	e.rc.Request.SetRequestURI("/pay/")
	e.request = admission.Request{Service: "s", TimeLeftUs: 1_000_000}
	e.deadlineUs = router.clock() + timeoutUs
	router.admissionMu.Lock()
	adm := router.admission.Submit(e.request, router.clock()).Admission
	router.admissionMu.Unlock()
	must.NotNil(t, adm)
	conn, err := upstream.Connect(context.Background(), adm.Runner.Addr)
	must.NoError(t, err)
	t.Cleanup(conn.Close)
	return e, adm, conn
}

// The process may be paused between admission and sending.
func TestWriteRequestAfterDeadlineSendsNothing(t *testing.T) {
	r := newRunner(t)
	router, _, _ := start(t, r)
	e, adm, conn := newAdmittedExchange(t, router, -1)
	end := e.writeRequest(adm, conn, nil)
	must.Eq(t, attempt.NotSent, end)
	conn.Close()
	must.Eq(t, 0, r.requestCount())
}

func TestWriteRequestOnClosedConnectionIsNotSent(t *testing.T) {
	router, _, _ := start(t, newRunner(t))
	e, adm, conn := newAdmittedExchange(t, router, 1_000_000)
	conn.Close()
	end := e.writeRequest(adm, conn, nil)
	must.Eq(t, attempt.NotSent, end)
}

func TestResponseWithoutAttemptIDGives502AndNoRetry(t *testing.T) {
	a := newRunner(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	b := newRunner(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	_, front, _ := start(t, a, b)
	ans, _, err := roundTrip(t, front, request("/pay/", "x"))
	must.NoError(t, err)
	must.Eq(t, 502, ans.StatusCode)
	must.Eq(t, 1, a.requestCount()+b.requestCount(), must.Sprint("the request may have run"))
}

func TestRejectionWithoutNotExecutedHeaderGives502(t *testing.T) {
	for _, line := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		raw := "HTTP/1.1 " + line + "\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"
		a, b := newRunner(t, raw), newRunner(t, raw)
		_, front, _ := start(t, a, b)
		ans, _, err := roundTrip(t, front, request("/pay/", "x"))
		must.NoError(t, err)
		must.Eq(t, 502, ans.StatusCode, must.Sprint(line))
		must.Eq(t, 1, a.requestCount()+b.requestCount(), must.Sprint("the request may have run"))
	}
}

func TestConnectionWithForeignResponseIsNotReused(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
	own := "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 5\r\n\r\nright"
	r := newRunner(t, late+own, own)
	_, front, _ := start(t, r)
	for range 2 {
		ans, body, err := roundTrip(t, front, request("/pay/", "x"))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
		must.Eq(t, "right", body)
	}
	must.Eq(t, 2, r.conns)
}

func TestConnectionIsNotReusedAfterMissingOrTruncatedResponse(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 5\r\n\r\nright"
	for _, first := range []string{
		"",
		"HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 5\r\n\r\nri",
		"HTTP/1.1 500 Internal Server Error\r\nBeechtide-Attempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nri",
	} {
		r := newRunner(t, first, own)
		_, front, _ := start(t, r)
		ans, _, err := roundTrip(t, front, strings.Replace(request("/pay/", "x"), "2500", "100", 1))
		must.NoError(t, err)
		must.Between(t, 502, ans.StatusCode, 504)
		must.NotEq(t, 503, ans.StatusCode, must.Sprint("the request may have run"))
		ans, body, err := roundTrip(t, front, request("/pay/", "x"))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
		must.Eq(t, "right", body)
		must.Eq(t, 2, r.conns)
	}
}
