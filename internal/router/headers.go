// Rules for headers, one table for requests and one for responses. Headers without a rule are
// forwarded.

package router

import (
	"strings"
)

type headerRule int

const (
	forwardHeader  headerRule = iota
	hopByHopHeader            // concerns one connection only
	routerHeader              // set by the router, whatever the sender set
	privateHeader             // read by the router and not forwarded
)

// Names of the headers that the router reads or sets.
const (
	hAttempt    = "Beechtide-Attempt-Id"
	hTimeLeft   = "Beechtide-Time-Left"
	hPrefix     = "Beechtide-Prompt-Prefix"
	hTokens     = "Beechtide-Token-Count"
	hModel      = "Beechtide-Model"
	hTenant     = "Beechtide-Tenant"
	hTarget     = "Beechtide-Target-Instance"
	hUrgency    = "Beechtide-Urgency"
	hExpected   = "Beechtide-Expected-Version"
	hSalt       = "Beechtide-Cache-Salt"
	hSource     = "Beechtide-Cache-Source"
	hSink       = "Beechtide-Cache-Sink"
	hNotRun     = "Beechtide-Not-Executed"
	hLastEvent  = "Last-Event-Id"
	hAuth       = "Authorization"
	hRetryAfter = "Retry-After"
	hInstance   = "Beechtide-Instance"
	hWeights    = "Beechtide-Weight-Versions"
)

var requestRules = map[string]headerRule{
	"connection": hopByHopHeader, "keep-alive": hopByHopHeader, "proxy-connection": hopByHopHeader, "proxy-authenticate": hopByHopHeader,
	"proxy-authorization": hopByHopHeader, "te": hopByHopHeader, "trailer": hopByHopHeader, "transfer-encoding": hopByHopHeader, "upgrade": hopByHopHeader,
	"expect": hopByHopHeader, "content-length": routerHeader, "host": routerHeader,
	lower(hAuth): privateHeader, lower(hTimeLeft): routerHeader, lower(hTenant): routerHeader, lower(hTarget): routerHeader,
	lower(hUrgency): routerHeader, lower(hExpected): routerHeader, lower(hSalt): routerHeader, lower(hSource): routerHeader, lower(hSink): routerHeader,
}

var responseRules = map[string]headerRule{
	"connection": hopByHopHeader, "keep-alive": hopByHopHeader, "proxy-connection": hopByHopHeader, "proxy-authenticate": hopByHopHeader,
	"te": hopByHopHeader, "trailer": hopByHopHeader, "transfer-encoding": hopByHopHeader, "upgrade": hopByHopHeader, "content-length": routerHeader,
}

func lower(s string) string { return strings.ToLower(s) }

// connectionHeaders returns the headers that a Connection header names as hop-by-hop, in lower
// case.
func connectionHeaders(connection string) map[string]bool {
	if connection == "" {
		return nil
	}
	out := map[string]bool{}
	for item := range strings.SplitSeq(connection, ",") {
		out[lower(strings.TrimSpace(item))] = true
	}
	return out
}

// isForwarded reports whether a header is forwarded by the rules. extra are the headers named by
// the Connection header.
func isForwarded(rules map[string]headerRule, extra map[string]bool, key string) bool {
	k := lower(key)
	return rules[k] == forwardHeader && !extra[k]
}
