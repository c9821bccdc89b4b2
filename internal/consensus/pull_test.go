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

func bigValue(version int64, size int) messages.Value {
	group := []messages.Member{{ID: "a/0", Addr: "a"}}
	return messages.Value{Version: version, Group: group, Body: bytes.Repeat([]byte{byte(version)}, size), Stamp: "s"}
}

// puller is a node without anything that pulls from a, over a link that loses
// what lose says; it counts the bytes that reach it.
func puller(t *testing.T, a *Registers, lose func() bool) (registers *Registers, carried, largest *atomic.Int64) {
	carried, largest = &atomic.Int64{}, &atomic.Int64{}
	link := carrier(func(ctx context.Context, _ string, body []byte) ([]byte, error) {
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

func opened(t *testing.T, addr string) *Registers {
	registers, err := Open(addr, 1, false, nil, nil, &MemoryStore{}, logr.Discard(), nil)
	must.NoError(t, err)
	return registers
}

// A value of 2 MB over a link that loses half of all answers, so that most pulls
// end in the middle, under a change at every tenth pull: it arrives, in answers
// that are small, for little more bytes than were lost.
func TestLargeValueArrivesOverALossyLinkUnderAStorm(t *testing.T) {
	const size = 2 << 20
	for seed := range uint64(5) {
		rnd := rand.New(rand.NewPCG(seed, 6))
		a := opened(t, "a")
		b, carried, largest := puller(t, a, func() bool { return rnd.IntN(2) == 0 })
		version := int64(1)
		a.Learn(0, bigValue(version, size))
		pulls := 0
		for {
			if _, ok := b.Committed(0); ok {
				break
			}
			if pulls++; pulls%10 == 0 {
				version++
				a.Learn(0, bigValue(version, size))
			}
			must.Less(t, 400, pulls, must.Sprintf("seed %d", seed))
			_ = b.Pull(context.Background(), "a", 0)
		}
		v, _ := b.Committed(0)
		must.True(t, bytes.Equal(bigValue(v.Version, size).Body, v.Body))
		must.Less(t, 3*size, carried.Load())
		must.Less(t, int64(statesync.PieceBytes+1024), largest.Load())
	}
}

// A small value takes one call, as ever, also from a node that knows no pieces.
func TestSmallValueComesInOneAnswer(t *testing.T) {
	a := opened(t, "a")
	a.Learn(0, bigValue(4, 1000))
	calls := 0
	b, _, _ := puller(t, a, func() bool { calls++; return false })
	must.NoError(t, b.Pull(context.Background(), "a", 0))
	must.Eq(t, 1, calls)
	v, ok := b.Committed(0)
	must.True(t, ok)
	must.Eq(t, int64(4), v.Version)
}

// holding is a store whose writes hang.
type holding struct {
	MemoryStore
	begun, free chan struct{}
}

func (h *holding) Save(part int, rec messages.Record) error {
	h.begun <- struct{}{}
	<-h.free
	return h.MemoryStore.Save(part, rec)
}

// A node whose disk hangs still tells others what is committed.
func TestPullWaitsForNoDisk(t *testing.T) {
	store := &holding{begun: make(chan struct{}), free: make(chan struct{})}
	a, err := Open("a", 1, false, nil, nil, store, logr.Discard(), nil)
	must.NoError(t, err)
	a.Learn(0, bigValue(1, 10))
	<-store.begun
	b, _, _ := puller(t, a, func() bool { return false })
	must.NoError(t, b.Pull(context.Background(), "a", 0))
	_, ok := b.Committed(0)
	must.True(t, ok)
	close(store.free)
}

// Two of three have accepted a large value and one was not told that it is
// committed: the next round names it, and both vote at once. One whose accepted
// value is another takes no notice.
func TestLargeBaseIsNamedToWhoHasAcceptedIt(t *testing.T) {
	nodes := map[string]*Registers{}
	net := carrier(func(ctx context.Context, addr string, b []byte) ([]byte, error) {
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
	first, err := nodes["a"].Change(t.Context(), 0, body(bigBody))
	must.NoError(t, err)
	other := referenceTo(messages.Value{Version: 1, Group: first.Group, Body: []byte("another"), Stamp: first.Stamp})
	_, err = nodes["b"].handleRequest(t.Context(), messages.ConsensusRequest{Step: messages.Commit, Slot: 1, Value: other})
	must.NoError(t, err)
	v, _ := nodes["b"].Committed(0)
	must.Eq(t, int64(0), v.Version)
	ctx, cancel := context.WithTimeout(t.Context(), 3*roundTimeout)
	defer cancel()
	second, err := nodes["a"].Change(ctx, 0, body("small"))
	must.NoError(t, err)
	must.Eq(t, int64(2), second.Version)
}
