// The head of an attempt, made from the client's by the rules for headers.

package router

import (
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"

	"beechtide.org/beechtide/internal/admission"
)

// head makes the head of an attempt by the rules for headers.
func (e *exchange) head(adm *admission.Admission, leftUs int64, stream *answerStream) *protocol.RequestHeader {
	in := &e.rc.Request.Header
	h := &protocol.RequestHeader{}
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethodBytes(in.Method())
	h.SetRequestURIBytes(in.RequestURI())
	h.SetHostBytes(in.Host())
	extra := named(string(in.Peek("Connection")))
	in.VisitAll(func(k, val []byte) {
		key := string(k)
		if strings.EqualFold(key, hLastEvent) && stream != nil && stream.events.LastID != "" {
			return
		}
		if passes(requestRules, extra, key) {
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
	if stream != nil && stream.events.LastID != "" {
		h.Set(hLastEvent, stream.events.LastID)
	}
	return h
}

// setCacheHeaders names where the runner gets cached blocks from, where it sends its own to,
// and which weights it should have.
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

// urgency is the rank of a request at its runner, 0 first.
func urgency(v *exchange) int {
	u := 1 + min(v.route.Rank, 1)
	if v.tenant != nil {
		u += 2 * v.tenant.Rank
	}
	return min(max(u, 0), 9)
}
