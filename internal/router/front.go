// The client-facing HTTP server. hertz parses the requests; this file validates them, cheapest
// check first, resolves route and tenant, and starts the attempts of valid requests.

package router

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/http1"
	"beechtide.org/beechtide/internal/httpserver"
	"beechtide.org/beechtide/internal/memorybudget"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/quota"
	"beechtide.org/beechtide/internal/routeconfig"
)

func (r *Router) serveReady() error {
	ln, err := httpserver.Listen(r.set.Listen.Ready)
	if err != nil {
		return errors.Wrap(err, "router: ready address")
	}
	h := httpserver.New(r.set.Listen.Ready, server.WithListener(ln))
	h.GET("/api/ready", func(_ context.Context, rc *app.RequestContext) {
		if r.ready() {
			rc.SetStatusCode(200)
		} else {
			rc.SetStatusCode(503)
		}
	})
	h.GET("/api/audit", func(_ context.Context, rc *app.RequestContext) {
		rc.SetContentType("application/jsonl")
		_ = r.trail.Write(rc.Response.BodyWriter())
	})
	return h.Run()
}

func (r *Router) ready() bool {
	return r.table.Load() != nil && r.runnersReceived.Load() && !r.draining()
}

// durationOrDefault converts a limit in milliseconds to a duration. It uses the fallback where the
// limit is not positive.
func durationOrDefault(ms, fallback int) time.Duration {
	if ms <= 0 {
		ms = fallback
	}
	return time.Duration(ms) * time.Millisecond
}

// frontLimits returns the idle and receive timeouts and the size limits of the current
// configuration.
func (r *Router) frontLimits() frontLimits {
	limits := r.table.Load().Limits
	sizes := http1.Limits{HeadBytes: limits.HeaderBytes, BodyBytes: int64(limits.BodyBytes)}
	if sizes.HeadBytes <= 0 {
		sizes.HeadBytes = defaultHeadBytes
	}
	if sizes.BodyBytes <= 0 {
		sizes.BodyBytes = defaultBodyBytes
	}
	return frontLimits{idle: durationOrDefault(limits.IdleMs, 15000), receive: durationOrDefault(limits.HeaderMs, 10000), sizes: sizes}
}

// Size limits for a configuration that sets none.
const (
	defaultHeadBytes = 64 << 10
	defaultBodyBytes = 4 << 20
)

// Limits passed to hertz. timedConn.Read enforces the limits of the configuration before hertz
// receives a request, so these are never reached.
const (
	libraryHeadBytes = 1 << 20
	libraryBodyBytes = 1 << 30
)

// serveFront serves clients until live is cancelled.
func (r *Router) serveFront(live context.Context) error {
	ln, err := listenFront(r.set.Listen.Front, r.frontLimits, memorybudget.ForRequests(r.set.Limits.MemoryMb))
	if err != nil {
		return err
	}
	h := httpserver.New(r.set.Listen.Front,
		server.WithListener(delayedCloseListener{ln, live}), server.WithOnAccept(onAccept), server.WithMaxRequestBodySize(libraryBodyBytes), server.WithMaxHeaderBytes(libraryHeadBytes),
		server.WithWriteTimeout(10*time.Second), server.WithDisableHeaderNamesNormalizing(true), server.WithUseRawPath(true),
		server.WithMaxKeepBodySize(64<<10), server.WithReadBufferSize(4096))
	h.NoRoute(r.serve)
	r.front.Store(ln)
	return h.Run()
}

// exchange is one client request and the state of its attempts. The goroutine of the HTTP server
// that serves the client's connection owns it.
type exchange struct {
	router          *Router
	rc              *app.RequestContext
	clientConn      *timedConn // nil in tests without a connection
	route           *routeconfig.Route
	tenant          *api.Tenant
	service         string
	id              string
	startUs         int64
	deadlineUs      int64 // the client's deadline or the route's cutoff, whichever is earlier
	request         admission.Request
	sequence        attempt.Sequence
	stream          *responseStream  // response to the client, once a runner has started a response that is streamed
	reserved        *reservedAttempt // capacity and connection at the runner that a moving stream continues on
	nextMoveCheckUs int64            // earliest time of the next attempt to move the stream
	client          *clientState
	undelivered     *sentAttempt // attempt whose response head has been read, while the client has received nothing
	outcome         compliance.Step
	lastResult      attempt.Result   // of the latest attempt
	brokenOff       bool             // a runner broke off a response that had been forwarded in part
	rejectReason    admission.Reason // empty if the request is not rejected or no reason is given
	quotaLimit      quota.Limit      // of the tenant
	quotaToken      quota.Token      // permits the next attempt
	spentToken      quota.Token      // used by the latest attempt
	usageCounted    bool             // whether the request has been counted as usage of the tenant
	regimeChanged   bool             // whether the tenant's regime changed between admission and sending
}

func (r *Router) serve(ctx context.Context, rc *app.RequestContext) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.draining() {
		r.counters.acceptedWhileDraining.Add(1)
	}
	conn := clientConn(ctx)
	defer conn.releaseMemory()
	defer func() {
		if r.closesAfterResponse(conn, rc) {
			rc.Response.Header.SetConnectionClose(true)
		}
	}()
	e := &exchange{router: r, rc: rc, clientConn: conn, startUs: r.clock() - conn.requestAge().Microseconds(), id: headerValue(rc, hAttempt)}
	defer e.recordEnd()
	uri := rc.Request.Header.RequestURI()
	path, _, _ := strings.Cut(string(uri), "?")
	if !strings.HasPrefix(path, "/") || e.id == "" || malformed(rc) {
		rc.Response.Header.SetConnectionClose(true)
		e.reject(400, "", 0)
		return
	}
	t := e.match(path)
	if t == nil {
		return
	}
	e.deadlineUs = requestDeadlineUs(e.startUs, e.route.CutoffUs, headerValue(rc, hTimeLeft))
	if !r.shutdown.Load().mayForward(e.deadlineUs) {
		e.reject(503, rejectDraining, drainRetryAfterUs)
		return
	}
	conn.setResponseDeadline(time.Now().Add(time.Duration(e.deadlineUs-r.clock()) * time.Microsecond))
	e.buildAdmissionRequest(t)
	if e.request.Regime != "" {
		e.recordAudit(compliance.Received, nil, -1)
		defer func() { e.recordAudit(e.outcome, nil, -1) }()
	}
	if conn != nil {
		e.client = newClientState()
		defer conn.watchClose(e.client.markGone).stop()
	}
	e.run()
}

// match finds the route and the tenant, and returns the configuration table that has them. It
// returns nil if it has rejected the request. It denies a request (401, 404) only after confirming
// that the table is the newest; if that cannot be confirmed it answers 503.
func (e *exchange) match(path string) *routeconfig.Table {
	t := e.router.table.Load()
	if t == nil {
		e.reject(503, "", defaultRetryAfterUs)
		return nil
	}
	status := e.find(t, path)
	if status == 0 {
		return t
	}
	confirmed := e.router.confirmCurrent()
	before := t.Version
	t = e.router.table.Load()
	e.router.counters.recordRecheck(confirmed, t.Version > before)
	status = e.find(t, path)
	switch {
	case status == 0:
		return t
	case confirmed && e.router.confirmationValid():
		e.reject(status, "", 0)
	default:
		e.reject(503, "", confirmationTTLUs)
	}
	return nil
}

// buildAdmissionRequest fills in the request for the admission control: service, rank, tokens,
// cached prefix, home zones and the limits of the tenant.
func (e *exchange) buildAdmissionRequest(t *routeconfig.Table) {
	e.service = e.route.Pick(rand.Float64())
	in, out, _ := strings.Cut(headerValue(e.rc, hTokens), ",")
	tokensIn, _ := strconv.Atoi(strings.TrimSpace(in))
	tokensOut, _ := strconv.Atoi(strings.TrimSpace(out))
	e.request = admission.Request{
		Service: e.service, Rank: e.route.Rank, TokensIn: max(tokensIn, 0), TokensOut: max(tokensOut, 0),
		Class: outcomeClass(e.route), Model: headerValue(e.rc, hModel), Parts: prefixindex.ParseParts(headerValue(e.rc, hPrefix)), SetpointUs: e.route.SetpointUs, TimeLeftUs: e.deadlineUs - e.router.clock(),
	}
	e.request.IsolatedTenants = t.IsolatedTenants
	var tenantHomes []string
	if e.tenant != nil {
		tenantHomes = e.tenant.Homes
		e.request.Tenant = e.tenant.Name
		e.request.Rank += 16 * e.tenant.Rank
		e.request.Isolated = e.tenant.Isolated
		e.request.Regime = t.RegimeOf(e.tenant.Name)
		e.quotaLimit = quota.Limit{Version: t.Version, RatePerS: e.tenant.RatePerS, Burst: e.tenant.Burst}
	}
	e.request.HomeRegions, e.request.RegionRestricted = admission.CombineHomeRegions(e.route.Homes, tenantHomes)
}

// onAccept returns the context in which the requests of a connection are served. It carries the
// connection.
func onAccept(conn net.Conn) context.Context {
	if timed, ok := conn.(*timedConn); ok {
		return withClientConn(timed)
	}
	return context.Background()
}

// recordAudit appends an entry to the audit trail of regulated requests.
func (e *exchange) recordAudit(step compliance.Step, runner *messages.RunnerRecord, certificate int) {
	entry := compliance.Entry{Node: e.router.set.Node, Step: step, Attempt: e.id, Tenant: e.tenant.Name, Regime: e.request.Regime, Certificate: certificate, Version: e.router.table.Load().Version}
	if runner != nil {
		entry.Runner, entry.Service, entry.Zone = runner.ID, runner.Service, runner.Zone
	}
	e.router.trail.Append(entry)
}

// find looks up the route and the tenant. It returns 0, or the status of the denial.
func (e *exchange) find(t *routeconfig.Table, path string) int {
	if e.route = t.Match(string(e.rc.Request.Header.Host()), path); e.route == nil {
		return 404
	}
	e.tenant = nil
	if t.TenantCount == 0 || e.route.Unkeyed {
		return 0
	}
	if scheme, key, ok := strings.Cut(headerValue(e.rc, hAuth), " "); ok && strings.EqualFold(scheme, "Token") {
		e.tenant = t.Tenant(strings.TrimSpace(key))
	}
	if e.tenant == nil {
		return 401
	}
	return 0
}

// malformed reports whether the end of the request is ambiguous: it has several Content-Length or
// Transfer-Encoding headers, or both (request smuggling).
func malformed(rc *app.RequestContext) bool {
	lengths, chunked := 0, 0
	for line := range bytes.SplitSeq(rc.Request.Header.RawHeaders(), []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			chunked++
		}
	}
	return lengths > 1 || chunked > 1 || lengths > 0 && chunked > 0
}

// headerValue returns the value of a request header. The key must be in canonical case, which the
// front's connections rewrite all header names to.
func headerValue(rc *app.RequestContext, key string) string {
	return string(rc.Request.Header.Peek(key))
}

// reject sets a response without a body, or with the reason as its body. 429 and 503 promise that
// the request has not run; they get a Retry-After header if retryAfterUs is positive.
func (e *exchange) reject(status int, reason admission.Reason, retryAfterUs int64) {
	h := &e.rc.Response.Header
	if e.id != "" {
		h.Set(hAttempt, e.id)
	}
	if retryAfterUs > 0 && (status == 429 || status == 503) {
		h.Set(hRetryAfter, strconv.FormatFloat(float64(retryAfterUs)/1e6, 'f', 3, 64))
	}
	e.outcome, e.rejectReason = compliance.Rejected, reason
	e.checkDenial(status)
	e.rc.SetStatusCode(status)
	if reason != "" {
		e.rc.Response.Header.SetContentType("text/plain")
		e.rc.Response.SetBodyString(string(reason) + "\n")
	}
}
