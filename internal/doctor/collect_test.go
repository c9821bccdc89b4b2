package doctor

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// fakeCaller maps addresses to the conditions that it returns; other addresses are
// unreachable.
type fakeCaller map[string]*messages.Condition

func (f fakeCaller) Call(_ context.Context, addr string, _ int, _ msgp.Marshaler) ([]byte, error) {
	if f[addr] == nil {
		return nil, errors.New("unreachable")
	}
	return f[addr].MarshalMsg(nil)
}

func TestCollectRequestsSeedsAndTheirPeers(t *testing.T) {
	seed := &messages.Condition{Node: "a", Peers: []messages.Peer{
		{Addr: "a"},
		{Addr: "x", Role: messages.Router},
		{Addr: "y", Role: messages.Router},
	}}
	results := Collect(context.Background(), fakeCaller{"a": seed, "x": {Node: "x"}}, []string{"a", "b"})
	type outcome struct {
		addr     string
		answered bool
	}
	var got []outcome
	for _, result := range results {
		got = append(got, outcome{result.Addr, result.Condition != nil})
	}
	must.Eq(t, []outcome{{"a", true}, {"b", false}, {"x", true}, {"y", false}}, got)
}

func TestCollectLogsNamesNodesByRoleAndSkipsUnreachable(t *testing.T) {
	up := &messages.Condition{Node: "a", Role: messages.Controller}
	caller := fakeCaller{"1": up}
	logs := CollectLogs(context.Background(), caller, []NodeResult{
		{Addr: "2", Condition: &messages.Condition{Node: "b", Role: messages.Router}},
		{Addr: "3"},
		{Addr: "1", Condition: up},
	})
	must.Len(t, 1, logs)
	must.Eq(t, "a controller", logs[0].Node)
	want, err := up.MarshalMsg(nil)
	must.NoError(t, err)
	must.Eq(t, string(want), logs[0].Text)
}
