// Rules for headers, one list for requests and one for responses. Headers without a
// rule are passed along.

package router

import (
	"strings"
)

type headerRule int

const (
	pass   headerRule = iota
	hop               // concerns one connection only
	ours              // set by the system, whatever the client sent
	secret            // ends here
)

// Names of the headers the system itself reads or sets.
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
	"connection": hop, "keep-alive": hop, "proxy-connection": hop, "proxy-authenticate": hop,
	"proxy-authorization": hop, "te": hop, "trailer": hop, "transfer-encoding": hop, "upgrade": hop,
	"expect": hop, "content-length": ours, "host": ours,
	lower(hAuth): secret, lower(hTimeLeft): ours, lower(hTenant): ours, lower(hTarget): ours,
	lower(hUrgency): ours, lower(hExpected): ours, lower(hSalt): ours, lower(hSource): ours, lower(hSink): ours,
}

var answerRules = map[string]headerRule{
	"connection": hop, "keep-alive": hop, "proxy-connection": hop, "proxy-authenticate": hop,
	"te": hop, "trailer": hop, "transfer-encoding": hop, "upgrade": hop, "content-length": ours,
}

func lower(s string) string { return strings.ToLower(s) }

// named lists the headers that a Connection header makes hop by hop.
func named(connection string) map[string]bool {
	if connection == "" {
		return nil
	}
	out := map[string]bool{}
	for item := range strings.SplitSeq(connection, ",") {
		out[lower(strings.TrimSpace(item))] = true
	}
	return out
}

func passes(rules map[string]headerRule, extra map[string]bool, key string) bool {
	k := lower(key)
	return rules[k] == pass && !extra[k]
}
