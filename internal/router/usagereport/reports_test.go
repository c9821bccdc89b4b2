package usagereport

import (
	"context"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// controllerStub records the rows that controllers of one epoch receive.
type controllerStub struct {
	mu    sync.Mutex
	epoch int64
	rows  map[string][]messages.UsageRow
}

func (r *controllerStub) Call(_ context.Context, addr string, _ int, body msgp.Marshaler) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rows, ok := body.(*messages.UsageRows); ok {
		r.rows[addr] = rows.Rows
	}
	ack := messages.UsageAck{Epoch: r.epoch}
	return ack.MarshalMsg(nil)
}

func newTestSender(t *testing.T, peers Caller) *Sender {
	t.Helper()
	sender, err := New(Config{
		Addr:     "r:1",
		Zone:     "a",
		WindowUs: 5_000_000,
		Clock:    func() int64 { return 1 },
		Peers:    peers,
		Controllers: func() []messages.Peer {
			return []messages.Peer{{Addr: "far", Zone: "b"}, {Addr: "near1", Zone: "a"}, {Addr: "near2", Zone: "a"}}
		},
		TimeOfDay: func(int64) (int64, bool) { return 12_000_000, true },
	})
	must.NoError(t, err)
	return sender
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{Addr: "r:1"})
	must.ErrorIs(t, err, ErrConfig)
}

func TestCountsAreSentToControllersOfOwnZone(t *testing.T) {
	peers := &controllerStub{epoch: 7, rows: map[string][]messages.UsageRow{}}
	sender := newTestSender(t, peers)
	sender.Add("x")
	sender.Add("x")
	sender.Flush()
	must.MapLen(t, 2, peers.rows)
	for _, addr := range []string{"near1", "near2"} {
		must.Len(t, 1, peers.rows[addr])
		must.Eq(t, 2, peers.rows[addr][0].Window)
		must.Eq(t, []messages.UsageCount{{Tenant: "x", Count: 2}}, peers.rows[addr][0].Counts)
	}
}

func TestRestartedReceiverGetsAllCountsAgain(t *testing.T) {
	peers := &controllerStub{epoch: 7, rows: map[string][]messages.UsageRow{}}
	sender := newTestSender(t, peers)
	sender.Add("x")
	sender.Flush()
	peers.epoch = 8
	sender.Add("y")
	sender.Flush() // the acknowledgement carries the new epoch
	sender.Flush()
	must.Len(t, 2, peers.rows["near1"][0].Counts)
}
