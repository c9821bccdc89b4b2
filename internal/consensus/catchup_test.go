package consensus

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

func valueOfSize(version int64, size int) messages.Value {
	group := []messages.Member{{ID: "a/0", Addr: "a"}}
	return messages.Value{Version: version, Group: group, Body: bytes.Repeat([]byte{byte(version)}, size), Stamp: "s"}
}

// puller is a node without anything that pulls from a, over a link that loses
// what lose says; it counts the bytes that reach it.
func openBehind(t *testing.T, a *Registers, lose func() bool) (registers *Registers, carried, largest *atomic.Int64) {
	carried, largest = &atomic.Int64{}, &atomic.Int64{}
	link := callerFunc(func(ctx context.Context, _ string, body []byte) ([]byte, error) {
		b, err := a.Handle(ctx, body)
		carried.Add(int64(len(b)))
		largest.Store(max(largest.Load(), int64(len(b))))
		if lose() {
			return nil, errors.New("lost")
		}
		return b, err
	})
	registers, err := Open("b", 1, false, nil, link, &MemoryStore{}, logr.Discard(), nil)
	must.NoError(t, err)
	return registers, carried, largest
}

func openRegisters(t *testing.T, addr string) *Registers {
	registers, err := Open(addr, 1, false, nil, nil, &MemoryStore{}, logr.Discard(), nil)
	must.NoError(t, err)
	return registers
}

// A value of 2 MB over a link that loses half of all answers, so that most pulls
// end in the middle, under a change at every tenth pull: it arrives, in answers
// that are small, for little more bytes than were lost.
func TestCatchUpFetchesLargeValueOverLossyLink(t *testing.T) {
	const size = 2 << 20
	for seed := range uint64(5) {
		rnd := rand.New(rand.NewPCG(seed, 6))
		a := openRegisters(t, "a")
		b, carried, largest := openBehind(t, a, func() bool { return rnd.IntN(2) == 0 })
		version := int64(1)
		a.Learn(0, valueOfSize(version, size))
		pulls := 0
		for {
			if _, ok := b.Committed(0); ok {
				break
			}
			if pulls++; pulls%10 == 0 {
				version++
				a.Learn(0, valueOfSize(version, size))
			}
			must.Less(t, 400, pulls, must.Sprintf("seed %d", seed))
			_ = b.Pull(context.Background(), "a", 0)
		}
		v, _ := b.Committed(0)
		must.True(t, bytes.Equal(valueOfSize(v.Version, size).Body, v.Body))
		must.Less(t, 3*size, carried.Load())
		must.Less(t, int64(statesync.PieceBytes+1024), largest.Load())
	}
}

// A small value takes one call, as ever, also from a node that knows no pieces.
func TestCatchUpFetchesSmallValueInOneResponse(t *testing.T) {
	a := openRegisters(t, "a")
	a.Learn(0, valueOfSize(4, 1000))
	calls := 0
	b, _, _ := openBehind(t, a, func() bool { calls++; return false })
	must.NoError(t, b.Pull(context.Background(), "a", 0))
	must.Eq(t, 1, calls)
	v, ok := b.Committed(0)
	must.True(t, ok)
	must.Eq(t, int64(4), v.Version)
}

// holding is a store whose writes hang.
type blockingStore struct {
	MemoryStore
	started, unblock chan struct{}
}

func (b *blockingStore) Save(part int, record messages.Record) error {
	b.started <- struct{}{}
	<-b.unblock
	return b.MemoryStore.Save(part, record)
}

// A node whose disk hangs still tells others what is committed.
func TestCatchUpIsServedWhileDiskHangs(t *testing.T) {
	store := &blockingStore{started: make(chan struct{}), unblock: make(chan struct{})}
	a, err := Open("a", 1, false, nil, nil, store, logr.Discard(), nil)
	must.NoError(t, err)
	a.Learn(0, valueOfSize(1, 10))
	<-store.started
	b, _, _ := openBehind(t, a, func() bool { return false })
	must.NoError(t, b.Pull(context.Background(), "a", 0))
	_, ok := b.Committed(0)
	must.True(t, ok)
	close(store.unblock)
}

// Two of three have accepted a large value and one was not told that it is
// committed: the next round names it, and both vote at once. One whose accepted
// value is another takes no notice.
func TestLargeBaseIsCommittedByReference(t *testing.T) {
	nodes := map[string]*Registers{}
	net := callerFunc(func(ctx context.Context, addr string, b []byte) ([]byte, error) {
		var request messages.ConsensusRequest
		_, err := request.UnmarshalMsg(b)
		must.NoError(t, err)
		if addr == "c" || request.Step == messages.Commit && len(request.Value.Group) > 0 {
			return nil, errors.New("lost")
		}
		return nodes[addr].Handle(ctx, b)
	})
	seeds := []string{"a", "b", "c"}
	for _, s := range seeds {
		registers, err := Open(s, 1, true, seeds, net, &MemoryStore{}, logr.Discard(), nil)
		must.NoError(t, err)
		nodes[s] = registers
	}
	bigBody := string(bytes.Repeat([]byte("x"), 2*statesync.PieceBytes))
	first, err := nodes["a"].Change(t.Context(), 0, setBody(bigBody))
	must.NoError(t, err)
	other := referenceTo(messages.Value{Version: 1, Group: first.Group, Body: []byte("another"), Stamp: first.Stamp})
	_, err = nodes["b"].handleRequest(t.Context(), messages.ConsensusRequest{Step: messages.Commit, Slot: 1, Value: other})
	must.NoError(t, err)
	v, _ := nodes["b"].Committed(0)
	must.Eq(t, int64(0), v.Version)
	ctx, cancel := context.WithTimeout(t.Context(), 3*roundTimeout)
	defer cancel()
	second, err := nodes["a"].Change(ctx, 0, setBody("small"))
	must.NoError(t, err)
	must.Eq(t, int64(2), second.Version)
}
