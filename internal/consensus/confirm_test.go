package consensus

import (
	"context"
	"runtime"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// openWithUnreachablePeers returns a node whose peers are unreachable.
func openWithUnreachablePeers(t *testing.T, store Store) *Registers {
	t.Helper()
	unreachablePeers := callerFunc(func(context.Context, string, []byte) ([]byte, error) { return nil, ErrOutcomeUnknown })
	registers, err := Open("d", 1, false, nil, unreachablePeers, store, logr.Discard(), nil)
	must.NoError(t, err)
	return registers
}

// committedValue returns a value with the group a, b, c.
func committedValue(version int64) messages.Value {
	v := InitialValue([]string{"a", "b", "c"})
	v.Version, v.Body, v.Stamp = version, []byte("x"), "s"
	return v
}

// A member confirms only for its own identity and once the value is on disk, and does not
// confirm if it is retired and not in the group.
func TestConfirmRequiresValueOnDisk(t *testing.T) {
	ctx := context.Background()
	store := &MemoryStore{}
	registers := openWithUnreachablePeers(t, store)
	self := messages.Member{ID: registers.ID(), Addr: "d"}
	confirmed, err := registers.Confirm(ctx, 1, self, committedValue(4))
	must.NoError(t, err)
	must.True(t, confirmed)
	record, _, _ := store.Load(1)
	must.Eq(t, int64(4), record.Committed.Version)
	confirmed, _ = registers.Confirm(ctx, 1, messages.Member{ID: "d/other", Addr: "d"}, committedValue(4))
	must.False(t, confirmed, must.Sprint("a member must not confirm for another identity"))
	registers.Retire()
	confirmed, _ = registers.Confirm(ctx, 1, self, committedValue(5))
	must.False(t, confirmed, must.Sprint("a retired member must not join a group"))

	registers = openWithUnreachablePeers(t, &failingStore{})
	confirmed, err = registers.Confirm(ctx, 1, messages.Member{ID: registers.ID(), Addr: "d"}, committedValue(4))
	must.ErrorIs(t, err, ErrStore)
	must.False(t, confirmed)
}

// A learned value is written to disk even if a request has merged it into the record in
// memory before.
func TestLearnedValueIsPersistedAfterAcceptorLearnedIt(t *testing.T) {
	store := &MemoryStore{}
	registers := openWithUnreachablePeers(t, store)
	register := registers.registers[2]
	register.recordLock <- struct{}{}
	registers.Learn(2, committedValue(3))
	register.acceptor.Learn(committedValue(3))
	<-register.recordLock
	for register.persisting.Load() {
		runtime.Gosched()
	}
	record, _, _ := store.Load(2)
	must.Eq(t, int64(3), record.Committed.Version)
}

// A member of a build without confirmations responds to a commit with Granted but without
// Durable, which must not count as a confirmation.
func TestConfirmIgnoresResponseOfOldFormat(t *testing.T) {
	encoded := msgp.AppendMapHeader(nil, 2)
	encoded = msgp.AppendString(msgp.AppendString(encoded, "d"), string(messages.Granted))
	encoded = msgp.AppendInt64(msgp.AppendString(encoded, "m"), 4)
	caller := callerFunc(func(context.Context, string, []byte) ([]byte, error) { return encoded, nil })
	registers, err := Open("d", 1, false, nil, caller, &MemoryStore{}, logr.Discard(), nil)
	must.NoError(t, err)
	confirmed, err := registers.Confirm(context.Background(), 1, messages.Member{ID: "e/1", Addr: "e"}, committedValue(4))
	must.NoError(t, err)
	must.False(t, confirmed)
}
