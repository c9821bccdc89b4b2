package singleton

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// fakeRegisters holds one value for each register and commits every change at once.
type fakeRegisters struct{ values map[int]messages.Value }

func (f *fakeRegisters) ID() string { return "self" }

func (f *fakeRegisters) Committed(register int) (messages.Value, bool) {
	value, ok := f.values[register]
	return value, ok
}

func (f *fakeRegisters) Read(_ context.Context, register int) (messages.Value, error) {
	return f.values[register], nil
}

func (f *fakeRegisters) Change(_ context.Context, register int, change consensus.Change) (messages.Value, error) {
	value := f.values[register]
	_, body, err := change(value)
	if err != nil {
		return messages.Value{}, err
	}
	value.Version++
	value.Body = body
	f.values[register] = value
	return value, nil
}

// fakeMembership is a core of this controller alone.
type fakeMembership struct{}

func (fakeMembership) Alive(messages.Role) []messages.Peer {
	return []messages.Peer{{Addr: "self:1", MemberID: "self"}}
}

func (fakeMembership) DeadForUs(string) int64 { return 0 }

// newTestLeases returns Leases whose clock reads nowUs.
func newTestLeases(t *testing.T, nowUs *int64, notes FileStore) *Leases {
	t.Helper()
	leases, err := NewLeases(Config{
		Addr:       "self:1",
		Clock:      func() int64 { return *nowUs },
		Log:        logr.Discard(),
		Registers:  &fakeRegisters{values: map[int]messages.Value{}},
		Membership: fakeMembership{},
		Files:      notes,
		IsCut:      func(string) bool { return false },
		HasContact: func([]messages.Member) bool { return true },
	})
	must.NoError(t, err)
	return leases
}

// holdLease makes this controller the holder of a register's lease, confirmed now, under which it may
// act for forUs.
func (l *Leases) holdLease(register int, fence, forUs int64) messages.Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := messages.Lease{Holder: "self", Fence: fence}
	role := lease.NewRole(lease.Times{ActUs: forUs})
	l.roles[register] = role
	role.Step(lease.RoleView{NowUs: l.config.Clock(), Self: own.Holder})
	role.Acquired(messages.Lease{Fence: fence - 1}, own, false, l.config.Clock())
	return own
}

func TestNewLeasesRejectsIncompleteConfig(t *testing.T) {
	_, err := NewLeases(Config{Addr: "self:1"})
	must.ErrorIs(t, err, ErrConfig)
}

// Guards against calls sent after the last confirmation by a majority has expired, under another
// fencing token, or under a refused one.
func TestMayCallOnlyUntilConfirmationExpires(t *testing.T) {
	nowUs := int64(1_000_000)
	leases := newTestLeases(t, &nowUs, nil)
	own := leases.holdLease(1, 1, ActUs)
	must.True(t, leases.MayCall(1, 1))
	nowUs += ActUs
	must.False(t, leases.MayCall(1, 1))
	leases.mu.Lock()
	leases.roles[1].Confirmed(own, nowUs, nowUs)
	leases.mu.Unlock()
	nowUs += ActUs - 1
	must.True(t, leases.MayCall(1, 1))
	must.False(t, leases.MayCall(1, 2), must.Sprint("another fencing token"))
	leases.RecordRefusal(1, 1)
	must.False(t, leases.MayCall(1, 1), must.Sprint("refused fencing token"))
}

func TestChangeFailsWhenLeaseDiffersOrNothingChanges(t *testing.T) {
	nowUs := int64(1)
	leases := newTestLeases(t, &nowUs, nil)
	named := func(body *messages.LeaseBody) bool {
		body.Targets = append(body.Targets, messages.Target{Model: "m", Version: 2})
		return true
	}
	body, err := leases.Change(t.Context(), 2, messages.Lease{}, named)
	must.NoError(t, err)
	must.Len(t, 1, body.Targets)
	_, err = leases.Change(t.Context(), 2, messages.Lease{Holder: "other", Fence: 3}, named)
	must.ErrorIs(t, err, consensus.ErrNoChange)
	_, err = leases.Change(t.Context(), 2, messages.Lease{}, func(*messages.LeaseBody) bool { return false })
	must.ErrorIs(t, err, consensus.ErrNoChange)
}

func TestNextFenceExceedsFloor(t *testing.T) {
	nowUs := int64(1)
	must.Eq(t, 8, newTestLeases(t, &nowUs, nil).NextFence(1, 7))
}
