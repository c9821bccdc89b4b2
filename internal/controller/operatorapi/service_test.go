package operatorapi

import (
	"context"
	"os"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/invariant/invarianttest"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

func TestMain(m *testing.M) { os.Exit(invarianttest.Main(m)) }

// fakeRegisters has the same committed version in all registers.
type fakeRegisters struct{ version int64 }

func (fakeRegisters) ID() string { return "self" }

func (f fakeRegisters) Committed(int) (messages.Value, bool) {
	return messages.Value{Version: f.version}, true
}

func (f fakeRegisters) Read(context.Context, int) (messages.Value, error) {
	return messages.Value{Version: f.version}, nil
}

func (f fakeRegisters) Change(context.Context, int, consensus.Change) (messages.Value, error) {
	return messages.Value{Version: f.version}, nil
}

// noWeights has no named version.
type noWeights struct{}

func (noWeights) NewestVersion(string) int64 { return 0 }

func (noWeights) FenceFloor(int) int64 { return 0 }

func newTestService(t *testing.T, version int64, zones map[string]string) *Service {
	t.Helper()
	s, err := New(Config{
		Log:                 logr.Discard(),
		Registers:           fakeRegisters{version},
		Weights:             noWeights{},
		WeightsNamed:        func(string, int64) {},
		RecordInitialHolder: func(int, messages.Lease) {},
		TimeOfDay:           func() (int64, bool) { return 0, false },
		Table:               func() *routeconfig.Table { return nil },
		Zone:                "own",
		Zones:               zones,
	})
	must.NoError(t, err)
	return s
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{})
	must.ErrorIs(t, err, ErrConfig)
}

func TestIsKnownZoneMatchesSettings(t *testing.T) {
	s := newTestService(t, 1, nil)
	for zone, known := range map[string]bool{"a": true, "b": true, "": false} {
		must.Eq(t, known, s.isKnownZone(zone), must.Sprint(zone))
	}
	s = newTestService(t, 1, map[string]string{"a": "r"})
	must.True(t, s.isKnownZone("a"))
	must.True(t, s.isKnownZone("own"))
	must.False(t, s.isKnownZone("b"))
}
