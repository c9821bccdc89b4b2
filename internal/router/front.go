// The front: hertz reads the clients' requests, this file checks them, cheapest check
// first, and hands the valid ones to their attempts.

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
	return r.table.Load() != nil && r.informed.Load() && !r.draining()
}

// orMs gives a limit in milliseconds, or the fallback where there is none.
func orMs(ms, fallback int) time.Duration {
	if ms <= 0 {
		ms = fallback
	}
	return time.Duration(ms) * time.Millisecond
}

// frontLimits are the limits on clients' times that are in force.
func (r *Router) frontLimits() frontLimits {
	limits := r.table.Load().Limits
	sizes := http1.Limits{HeadBytes: limits.HeaderBytes, BodyBytes: int64(limits.BodyBytes)}
	if sizes.HeadBytes <= 0 {
		sizes.HeadBytes = defaultHeadBytes
	}
	if sizes.BodyBytes <= 0 {
		sizes.BodyBytes = defaultBodyBytes
	}
	return frontLimits{idle: orMs(limits.IdleMs, 15000), rest: orMs(limits.HeaderMs, 10000), sizes: sizes}
}

// Limits on sizes where the configuration has none.
const (
	defaultHeadBytes = 64 << 10
	defaultBodyBytes = 4 << 20
)

// Limits of hertz. The front holds requests to those of the configuration before hertz sees
// them (timedConn.Read), so these are never reached.
const (
	libraryHeadBytes = 1 << 20
	libraryBodyBytes = 1 << 30
)

// serveFront serves clients until live ends.
func (r *Router) serveFront(live context.Context) error {
	ln, err := listenFront(r.set.Listen.Front, r.frontLimits)
	if err != nil {
		return err
	}
	h := httpserver.New(r.set.Listen.Front,
		server.WithListener(lingeringListener{ln, live}), server.WithOnAccept(onAccept), server.WithMaxRequestBodySize(libraryBodyBytes), server.WithMaxHeaderBytes(libraryHeadBytes),
		server.WithWriteTimeout(10*time.Second), server.WithDisableHeaderNamesNormalizing(true), server.WithUseRawPath(true),
		server.WithMaxKeepBodySize(64<<10), server.WithReadBufferSize(4096))
	h.NoRoute(r.serve)
	r.front.Store(ln)
	return h.Run()
}

// exchange is one request on its way through the router.
type exchange struct {
	router   *Router
	rc       *app.RequestContext
	conn     *timedConn // of the client; nil in tests without one
	route    *routeconfig.Route
	tenant   *api.Tenant
	service  string
	id       string
	startUs  int64
	endUs    int64 // the client's deadline or the route's cutoff
	request  admission.Request
	sequence attempt.Sequence
	stream   *answerStream // the client's side of an answer that has begun
	next     *nextAttempt  // for a stream on the move
	moveUs   int64         // when it looks for a place again
	client   *clientState
	held     *sentAttempt // whose answer has begun and is not passed on yet
	ended    compliance.Step
	lastEnd  attempt.Result   // of the newest attempt
	broken   bool             // a runner broke off what had been passed on in part
	why      admission.Reason // of a rejection
	limit    quota.Limit      // of the tenant
	token    quota.Token      // lets the next attempt run
	spent    quota.Token      // of the newest attempt
	counted  bool             // it counts as usage of the tenant
	changed  bool             // the tenant's regime changed while the request waited
}

func (r *Router) serve(ctx context.Context, rc *app.RequestContext) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.draining() {
		r.counters.takenWhileDraining.Add(1)
	}
	conn := clientConn(ctx)
	defer func() {
		if r.closesWithAnswer(conn, rc) {
			rc.Response.Header.SetConnectionClose(true)
		}
	}()
	e := &exchange{router: r, rc: rc, conn: conn, startUs: r.clock() - conn.requestAge().Microseconds(), id: get(rc, hAttempt)}
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
	e.endUs = endOf(e.startUs, e.route.CutoffUs, get(rc, hTimeLeft))
	if !r.shutdown.Load().forwards(e.endUs) {
		e.reject(503, rejectDraining, drainRetryUs)
		return
	}
	conn.answerUntil(time.Now().Add(time.Duration(e.endUs-r.clock()) * time.Microsecond))
	e.describe(t)
	if e.request.Regime != "" {
		e.note(compliance.Asked, nil, -1)
		defer func() { e.note(e.ended, nil, -1) }()
	}
	if conn != nil {
		e.client = newClientState()
		defer conn.watchClose(e.client.leave).stop()
	}
	e.run()
}

// match finds the route and the tenant, and returns the table that has them. It returns nil
// where the request has been rejected: with a denial only once the table is known to be
// the newest.
func (e *exchange) match(path string) *routeconfig.Table {
	t := e.router.table.Load()
	if t == nil {
		e.reject(503, "", againUs)
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
	case confirmed && e.router.confirmationHolds():
		e.reject(status, "", 0)
	default:
		e.reject(503, "", recheckUs)
	}
	return nil
}

// describe makes the request that admission decides on.
func (e *exchange) describe(t *routeconfig.Table) {
	e.service = e.route.Pick(rand.Float64())
	in, out, _ := strings.Cut(get(e.rc, hTokens), ",")
	tokensIn, _ := strconv.Atoi(strings.TrimSpace(in))
	tokensOut, _ := strconv.Atoi(strings.TrimSpace(out))
	e.request = admission.Request{
		Service: e.service, Rank: e.route.Rank, TokensIn: max(tokensIn, 0), TokensOut: max(tokensOut, 0),
		Class: classOf(e.route), Model: get(e.rc, hModel), Parts: prefixindex.ParseParts(get(e.rc, hPrefix)), SetpointUs: e.route.SetpointUs, TimeLeftUs: e.endUs - e.router.clock(),
	}
	var tenantHomes []string
	if e.tenant != nil {
		tenantHomes = e.tenant.Homes
		e.request.Tenant = e.tenant.Name
		e.request.Rank += 16 * e.tenant.Rank
		e.request.Isolated = e.tenant.Isolated
		e.request.Regime = t.RegimeOf(e.tenant.Name)
		e.limit = quota.Limit{Version: t.Version, RatePerS: e.tenant.RatePerS, Burst: e.tenant.Burst}
	}
	e.request.HomeRegions, e.request.RegionRestricted = admission.CombineHomeRegions(e.route.Homes, tenantHomes)
}

// onAccept makes the context in which the requests of a connection are served.
func onAccept(conn net.Conn) context.Context {
	if timed, ok := conn.(*timedConn); ok {
		return withClientConn(timed)
	}
	return context.Background()
}

// note adds to the audit trail of regulated requests.
func (e *exchange) note(step compliance.Step, n *messages.RunnerRecord, certificate int) {
	entry := compliance.Entry{Node: e.router.set.Node, Step: step, Attempt: e.id, Tenant: e.tenant.Name, Regime: e.request.Regime, Certificate: certificate, Version: e.router.table.Load().Version}
	if n != nil {
		entry.Runner, entry.Service, entry.Zone = n.ID, n.Service, n.Zone
	}
	e.router.trail.Note(entry)
}

// find looks up the route and the tenant; it returns the status of a denial, or 0.
func (e *exchange) find(t *routeconfig.Table, path string) int {
	if e.route = t.Match(string(e.rc.Request.Header.Host()), path); e.route == nil {
		return 404
	}
	e.tenant = nil
	if t.Tenants == 0 || e.route.Unkeyed {
		return 0
	}
	if scheme, key, ok := strings.Cut(get(e.rc, hAuth), " "); ok && strings.EqualFold(scheme, "Token") {
		e.tenant = t.Tenant(strings.TrimSpace(key))
	}
	if e.tenant == nil {
		return 401
	}
	return 0
}

// malformed finds requests whose end could be read in two ways.
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

// get returns the value of a field. Its name is in the usual case of letters, as the front's
// connections rewrite it.
func get(rc *app.RequestContext, key string) string { return string(rc.Request.Header.Peek(key)) }

// reject answers at once. A status that promises that the request has not run
// says when to come back.
func (e *exchange) reject(status int, reason admission.Reason, againUs int64) {
	h := &e.rc.Response.Header
	if e.id != "" {
		h.Set(hAttempt, e.id)
	}
	if againUs > 0 && (status == 429 || status == 503) {
		h.Set(hRetryAfter, strconv.FormatFloat(float64(againUs)/1e6, 'f', 3, 64))
	}
	e.ended, e.why = compliance.Rejected, reason
	e.checkDenial(status)
	e.rc.SetStatusCode(status)
	if reason != "" {
		e.rc.Response.Header.SetContentType("text/plain")
		e.rc.Response.SetBodyString(string(reason) + "\n")
	}
}
