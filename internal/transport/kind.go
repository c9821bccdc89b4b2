package transport

import "strconv"

// Kinds of frames and datagrams. The numbers are part of the wire format: new kinds
// are added at the end.
const (
	KindConsensus       = iota + 1 // request: a step of a consensus round
	KindVersions                   // request: the receiver's versions of the control state
	KindSince                      // request: the updates that the requester is missing
	KindSubscribe                  // request: a subscription to updates
	KindFeed                       // one-way: updates for a subscriber
	KindIdentity                   // no longer used
	KindProbe                      // datagram: a membership probe
	KindAck                        // datagram: the acknowledgement of a probe
	KindLoadReport                 // one-way: a load report from a subscriber
	KindRunner                     // datagram: a runner's heartbeat, forwarded
	KindCondition                  // request: the status of a node, for the doctor command
	KindRing                       // request: the log ring buffer of a node, for the doctor command
	KindSyncState                  // one-way: the versions that a subscriber has, so that it gets the missing updates
	KindLoadAck                    // one-way: the acknowledgement of a load report
	KindResendLoads                // one-way: requests a complete load report from a subscriber
	KindFailed                     // one-way: a request failed and gets no response
	KindDraining                   // request: a runner starts or ends draining
	KindReadsCompressed            // one-way: the sender reads compressed frames
	KindCompressed                 // one-way: a compressed frame
	KindUsageRows                  // request: usage counts of a router's requests
	KindUsageQuery                 // request: the usage counts that a controller has
	KindQuotaClaim                 // request: claims leases on quota shards
	KindQuotaAsk                   // request: quota tokens for a tenant
	KindQuotaUnowned               // request: a quota token for a tenant whose counter has no owner
	KindTallyAppend                // request: additions from the sender's tally log
	KindTallyPull                  // request: additions that the sender is missing
	KindReach                      // request: whether the receiver can reach another node
	KindReachPing                  // datagram: a reachability ping
	KindReachAck                   // datagram: the response to a reachability ping
	KindRunners                    // datagram: heartbeats of several runners, forwarded together
	KindPeerQuery                  // datagram: requests the peers in which two membership views differ
	KindPeerList                   // datagram: some of those peers
	kindCount
)

var kindNames = [kindCount]string{
	KindConsensus:   "consensus",
	KindVersions:    "versions",
	KindSince:       "since",
	KindSubscribe:   "subscribe",
	KindFeed:        "feed",
	KindIdentity:    "identity",
	KindProbe:       "probe",
	KindAck:         "ack",
	KindLoadReport:  "load-report",
	KindRunner:      "runner",
	KindCondition:   "condition",
	KindRing:        "ring",
	KindSyncState:   "sync-state",
	KindLoadAck:     "load-ack",
	KindResendLoads: "resend-loads",
	KindFailed:      "failed",
	KindDraining:    "draining",

	KindUsageRows:  "usage-rows",
	KindUsageQuery: "usage-query",

	KindQuotaClaim: "quota-claim",
	KindQuotaAsk:   "quota-ask",

	KindQuotaUnowned: "quota-unowned",

	KindTallyAppend: "tally-append",
	KindTallyPull:   "tally-pull",
	KindReach:       "reach",
	KindReachPing:   "reach-ping",
	KindReachAck:    "reach-ack",
	KindRunners:     "runners",
	KindPeerQuery:   "peer-query",
	KindPeerList:    "peer-list",

	KindReadsCompressed: "reads-compressed",
	KindCompressed:      "compressed",
}

// kindName returns the name of a kind for logs and traffic counts.
func kindName(kind int) string {
	if kind <= 0 || kind >= kindCount {
		return "kind " + strconv.Itoa(kind)
	}
	return kindNames[kind]
}
