package transport

import "strconv"

// Kinds of frames and datagrams. The numbers are part of the wire format: a new
// kind goes to the end.
const (
	KindConsensus       = iota + 1 // request: a step of a consensus round
	KindVersions                   // request: the versions of the control state that a node has
	KindSince                      // request: the updates that the requester lacks
	KindSubscribe                  // request: a subscription to updates
	KindFeed                       // one-way: updates for a subscriber
	KindIdentity                   // not used any more
	KindProbe                      // datagram: a membership probe
	KindAck                        // datagram: the acknowledgement of a probe
	KindLoadReport                 // one-way: a load report from a subscriber
	KindRunner                     // datagram: a runner's heartbeat, forwarded
	KindCondition                  // request: a node's condition, for the doctor
	KindRing                       // request: a node's log ring, for the doctor
	KindSyncState                  // one-way: what a subscriber has, for it to get the rest
	KindLoadAck                    // one-way: the acknowledgement of a load report
	KindResendLoads                // one-way: asks a subscriber for a complete load report
	KindFailed                     // one-way: a request gets no response
	KindDraining                   // request: a runner starts or ends draining
	KindReadsCompressed            // one-way: the sender reads compressed frames
	KindCompressed                 // one-way: a compressed frame
	KindUsageRows                  // request: counts of a router's requests
	KindUsageQuery                 // request: the counts that a controller has
	KindQuotaClaim                 // request: a claim of the leases of shards of quota
	KindQuotaAsk                   // request: tokens of a tenant
	KindQuotaUnowned               // request: a token of a tenant whose count has no owner
	KindTallyAppend                // request: adds of the sender's log of tallies
	KindTallyPull                  // request: adds that the sender lacks
	KindReach                      // request: whether the receiver reaches another node
	KindReachPing                  // datagram: asks for an answer
	KindReachAck                   // datagram: the answer
	KindRunners                    // datagram: heartbeats of runners, forwarded together
	KindPeerQuery                  // datagram: asks for the peers in which two views differ
	KindPeerList                   // datagram: some of them
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

// kindName names a kind in the log.
func kindName(kind int) string {
	if kind <= 0 || kind >= kindCount {
		return "kind " + strconv.Itoa(kind)
	}
	return kindNames[kind]
}
