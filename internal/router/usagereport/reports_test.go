package usagereport

import (
	"context"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// receivers take all rows, as processes of one epoch.
type receivers struct {
	mu    sync.Mutex
	epoch int64
	rows  map[string][]messages.UsageRow
}

func (r *receivers) Call(_ context.Context, addr string, _ int, body msgp.Marshaler) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rows, ok := body.(*messages.UsageRows); ok {
		r.rows[addr] = rows.Rows
	}
	ack := messages.UsageAck{Epoch: r.epoch}
	return ack.MarshalMsg(nil)
}

func newTestReports(t *testing.T, peers Caller) *Reports {
	t.Helper()
	reports, err := New(Config{
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
	return reports
}

func TestConfigIsChecked(t *testing.T) {
	_, err := New(Config{Addr: "r:1"})
	must.ErrorIs(t, err, ErrConfig)
}

func TestCountsGoToTheControllersOfTheZone(t *testing.T) {
	peers := &receivers{epoch: 7, rows: map[string][]messages.UsageRow{}}
	reports := newTestReports(t, peers)
	reports.Add("x")
	reports.Add("x")
	reports.Flush()
	must.MapLen(t, 2, peers.rows)
	for _, addr := range []string{"near1", "near2"} {
		must.Len(t, 1, peers.rows[addr])
		must.Eq(t, 2, peers.rows[addr][0].Window)
		must.Eq(t, []messages.UsageCount{{Tenant: "x", Count: 2}}, peers.rows[addr][0].Counts)
	}
}

func TestReceiverThatHasRestartedGetsAllCountsAgain(t *testing.T) {
	peers := &receivers{epoch: 7, rows: map[string][]messages.UsageRow{}}
	reports := newTestReports(t, peers)
	reports.Add("x")
	reports.Flush()
	peers.epoch = 8
	reports.Add("y")
	reports.Flush() // its answer tells that the receiver is another process
	reports.Flush()
	must.Len(t, 2, peers.rows["near1"][0].Counts)
}
