package weightrollout

import (
	"context"
	"net/http"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/rollout"
)

// fakeFences allows calls under one fencing token of one register.
type fakeFences struct{ allowed, refused int64 }

func (*fakeFences) RecordFenceUsed(int, int64) {}

func (f *fakeFences) MayCall(register int, fence int64) bool {
	return register == testRegister && fence == f.allowed
}

func (f *fakeFences) RecordRefusal(_ int, fence int64) { f.refused = fence }

// fakeRunners responds with a status to orders that may be sent.
type fakeRunners struct {
	status int
	orders []api.Order
}

func (f *fakeRunners) Report(context.Context, messages.RunnerRecord) (api.Report, error) {
	return api.Report{}, nil
}

func (f *fakeRunners) Order(_ context.Context, _ messages.RunnerRecord, order api.Order, maySend func() bool) (int, error) {
	if !maySend() {
		return 0, nil
	}
	f.orders = append(f.orders, order)
	return f.status, nil
}

// noRegisters has no committed value.
type noRegisters struct{}

func (noRegisters) ID() string { return "self" }

func (noRegisters) Committed(int) (messages.Value, bool) { return messages.Value{}, false }

func (noRegisters) Read(context.Context, int) (messages.Value, error) { return messages.Value{}, nil }

func (noRegisters) Change(context.Context, int, consensus.Change) (messages.Value, error) {
	return messages.Value{}, nil
}

// noTargets has no named version.
type noTargets struct{}

func (noTargets) Models() []string { return nil }

func (noTargets) Namings(string, int64, int64) []rollout.NamedVersion { return nil }

const testRegister = 2

func newTestDriver(t *testing.T, fences *fakeFences, runners *fakeRunners) *Driver {
	t.Helper()
	known := registry.New()
	known.ApplyHeartbeat(messages.RunnerRecord{ID: "i-1", Service: "s", Addr: "r:1", Seq: 1}, 1)
	d, err := New(Config{
		Clock:     func() int64 { return 1 },
		Log:       logr.Discard(),
		Registers: noRegisters{},
		Fences:    fences,
		Targets:   noTargets{},
		Runners:   known,
		API:       runners,
		ServiceOf: func(string) string { return "" },
		Publish:   func(...string) {},
	})
	must.NoError(t, err)
	return d
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{VersionUs: 1})
	must.ErrorIs(t, err, ErrConfig)
}

// Guards against orders sent under a fencing token that may not be used now. Orders carry theirs.
func TestOrderIsSentOnlyUnderAllowedFence(t *testing.T) {
	fences, runners := &fakeFences{}, &fakeRunners{status: http.StatusAccepted}
	d := newTestDriver(t, fences, runners)
	order := rollout.Order{ID: "i-1", Version: 4}
	d.sendAndRecordOrder(t.Context(), testRegister, "m", order, lease.Grant{Fence: 7})
	must.SliceEmpty(t, runners.orders)
	fences.allowed = 7
	d.sendAndRecordOrder(t.Context(), testRegister, "m", order, lease.Grant{Fence: 7})
	must.Len(t, 1, runners.orders)
	must.Eq(t, 7, runners.orders[0].Fence)
	must.Eq(t, "self", runners.orders[0].Holder)
	d.sendAndRecordOrder(t.Context(), testRegister, "m", order, lease.Grant{Fence: 6})
	must.Len(t, 1, runners.orders, must.Sprint("another fencing token"))
}

func TestRefusedFenceIsRecorded(t *testing.T) {
	fences, runners := &fakeFences{allowed: 7}, &fakeRunners{status: http.StatusPreconditionFailed}
	d := newTestDriver(t, fences, runners)
	d.sendAndRecordOrder(t.Context(), testRegister, "m", rollout.Order{ID: "i-1", Version: 4}, lease.Grant{Fence: 7})
	must.Eq(t, 7, fences.refused)
}

func TestOrderBoundPrecedesVersionDeadline(t *testing.T) {
	must.Eq(t, defaultVersionUs-orderMarginUs, orderBoundUs(0))
	must.Eq(t, 500_000, orderBoundUs(2_000_000))
}
