package doctor

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// requestTimeout bounds one request of the doctor to one node.
const requestTimeout = 1500 * time.Millisecond

// Caller sends a request to the node at addr and returns the body of its
// response. *transport.Transport implements it.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// NodeResult is the result of requesting the condition of one node.
type NodeResult struct {
	Addr        string
	Role        messages.Role
	Seed        bool                // named as a seed in the settings
	Condition   *messages.Condition // nil if there was no valid response
	RequestedUs int64               // the doctor's clock when it sent the request, microseconds since 1970
	RoundTripUs int64               // time until the response or the failure
}

// NodeLog is the content of a node's log ring.
type NodeLog struct {
	Node string // name and role
	Text string
}

// Collect requests the condition of the seeds, then of every peer that a seed
// reports. The results are sorted by address. A node that cannot be reached has a
// result without a condition.
func Collect(ctx context.Context, caller Caller, seeds []string) []NodeResult {
	results := map[string]NodeResult{}
	for _, addr := range seeds {
		result := requestCondition(ctx, caller, addr, messages.Controller)
		result.Seed = true
		results[addr] = result
	}
	for _, peer := range reportedPeers(results) {
		if _, requested := results[peer.Addr]; !requested {
			results[peer.Addr] = requestCondition(ctx, caller, peer.Addr, peer.Role)
		}
	}
	return sortedByAddr(results)
}

// reportedPeers returns the peers of all nodes that answered, possibly with duplicates.
func reportedPeers(results map[string]NodeResult) []messages.Peer {
	var peers []messages.Peer
	for _, result := range sortedByAddr(results) {
		if result.Condition != nil {
			peers = append(peers, result.Condition.Peers...)
		}
	}
	return peers
}

func sortedByAddr(results map[string]NodeResult) []NodeResult {
	sorted := make([]NodeResult, 0, len(results))
	for _, result := range results {
		sorted = append(sorted, result)
	}
	slices.SortFunc(sorted, func(a, b NodeResult) int { return strings.Compare(a.Addr, b.Addr) })
	return sorted
}

func requestCondition(ctx context.Context, caller Caller, addr string, role messages.Role) NodeResult {
	start := time.Now()
	result := NodeResult{Addr: addr, Role: role, RequestedUs: start.UnixMicro()}
	condition, err := fetchCondition(ctx, caller, addr)
	result.RoundTripUs = time.Since(start).Microseconds()
	if err == nil {
		result.Condition = condition
	}
	return result
}

func fetchCondition(ctx context.Context, caller Caller, addr string) (*messages.Condition, error) {
	response, err := request(ctx, caller, addr, transport.KindCondition)
	if err != nil {
		return nil, errors.Wrapf(err, "doctor: request condition of %s", addr)
	}
	var condition messages.Condition
	if _, err := condition.UnmarshalMsg(response); err != nil {
		return nil, errors.Wrapf(err, "doctor: decode condition of %s", addr)
	}
	return &condition, nil
}

// request sends a request of the given kind with an empty body.
func request(ctx context.Context, caller Caller, addr string, kind int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return caller.Call(ctx, addr, kind, &messages.Versions{Parts: []int64{}})
}

// CollectLogs fetches the log rings of the nodes whose results have a condition,
// sorted by node. A node that does not answer is omitted.
func CollectLogs(ctx context.Context, caller Caller, results []NodeResult) []NodeLog {
	var logs []NodeLog
	for _, result := range results {
		if result.Condition == nil {
			continue
		}
		text, err := request(ctx, caller, result.Addr, transport.KindRing)
		if err != nil {
			continue
		}
		logs = append(logs, NodeLog{Node: nodeName(result.Condition), Text: string(text)})
	}
	slices.SortStableFunc(logs, func(a, b NodeLog) int { return strings.Compare(a.Node, b.Node) })
	return logs
}
