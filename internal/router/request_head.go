// The header of the request to a runner, derived from the client's.

package router

import (
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"

	"beechtide.org/beechtide/internal/admission"
)

// attemptHeader returns the request header of an attempt: the client's headers as far as the rules
// forward them, and those that the router sets.
func (e *exchange) attemptHeader(adm *admission.Admission, leftUs int64, stream *responseStream) *protocol.RequestHeader {
	in := &e.rc.Request.Header
	h := &protocol.RequestHeader{}
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethodBytes(in.Method())
	h.SetRequestURIBytes(in.RequestURI())
	h.SetHostBytes(in.Host())
	extra := connectionHeaders(string(in.Peek("Connection")))
	in.VisitAll(func(k, val []byte) {
		key := string(k)
		if strings.EqualFold(key, hLastEvent) && stream != nil && stream.splitter.LastID != "" {
			return
		}
		if isForwarded(requestRules, extra, key) {
			h.Add(key, string(val))
		}
	})
	body := len(e.rc.Request.Body())
	if body > 0 || !in.IsGet() && !in.IsHead() {
		h.SetContentLength(body)
	}
	h.Set(hTimeLeft, strconv.FormatInt(max(leftUs/1000, 1), 10))
	h.Set(hTarget, adm.Runner.ID)
	if e.tenant != nil {
		h.Set(hTenant, e.tenant.Name)
	}
	if e.request.Model != "" {
		h.Set(hSalt, adm.CacheSalt)
		h.Set(hUrgency, strconv.Itoa(urgency(e)))
		setCacheHeaders(h, adm)
	}
	if stream != nil && stream.splitter.LastID != "" {
		h.Set(hLastEvent, stream.splitter.LastID)
	}
	return h
}

// setCacheHeaders sets where the runner copies cached blocks from, where it copies its own to, and
// which weights version it must have.
func setCacheHeaders(h *protocol.RequestHeader, adm *admission.Admission) {
	if adm.Source != "" {
		h.Set(hSource, adm.Source)
	}
	if adm.Sink != "" {
		h.Set(hSink, adm.Sink)
	}
	if adm.WeightsVersion > 0 {
		h.Set(hExpected, strconv.FormatInt(adm.WeightsVersion, 10))
	}
}

// urgency returns the priority of a request at its runner, from 0 (first) to 9.
func urgency(e *exchange) int {
	u := 1 + min(e.route.Rank, 1)
	if e.tenant != nil {
		u += 2 * e.tenant.Rank
	}
	return min(max(u, 0), 9)
}
