package router

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// coreStub is a core of controllers with scripted responses. All are members of the configuration
// register.
type coreStub struct {
	fetches atomic.Int64 // fetches of missing state, at all controllers

	mu       sync.Mutex // guards what follows
	group    []string
	addrs    []string
	versions [](func() *messages.Versions) // by controller; a nil result fails the call
	delta    func(messages.SyncState) messages.Feed
	quota    func(i int, ask messages.QuotaAsk) messages.QuotaGrant // called with mu held; nil: no controller owns a quota
}

// set changes the scripted responses.
func (s *coreStub) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// response returns the response of controller i. The functions in versions are called with mu
// held.
func (s *coreStub) response(i int) *messages.Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[i]()
}

// confirmedVersion returns a response that reports version as committed, and nothing newer as
// accepted.
func (s *coreStub) confirmedVersion(i int, version int64) *messages.Versions {
	return &messages.Versions{
		Parts: []int64{version}, MemberID: s.group[i], ConfigGroup: s.group, ConfigCommitted: version,
	}
}

// startCore runs size controllers and waits until the router has discovered them. Initially each
// of them confirms version 1.
func startCore(t *testing.T, router *Router, size int) *coreStub {
	t.Helper()
	s := &coreStub{versions: make([]func() *messages.Versions, size)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range size {
		s.group = append(s.group, fmt.Sprintf("member-%d", i))
		s.versions[i] = func() *messages.Versions { return s.confirmedVersion(i, 1) }
	}
	for i := range size {
		s.startMember(ctx, t, router, i)
	}
	for len(router.allCoreAddrs()) < size {
		time.Sleep(time.Millisecond)
	}
	return s
}

func (s *coreStub) startMember(ctx context.Context, t *testing.T, router *Router, i int) {
	t.Helper()
	pool, err := ants.NewPool(64, ants.WithNonblocking(true))
	must.NoError(t, err)
	station, err := transport.New(fmt.Sprintf("127.0.0.1:%d", ports(t, 1)[0]), pool, logr.Discard())
	must.NoError(t, err)
	s.set(func() { s.addrs = append(s.addrs, station.Addr()) })
	station.OnCall(transport.KindVersions, func(context.Context, *transport.Conn, []byte) ([]byte, error) {
		if m := s.response(i); m != nil {
			return m.MarshalMsg(nil)
		}
		return nil, transport.ErrRemote
	})
	station.OnCall(transport.KindSince, func(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
		s.fetches.Add(1)
		var h messages.SyncState
		if _, err := h.UnmarshalMsg(body); err != nil {
			return nil, err
		}
		s.mu.Lock()
		delta := s.delta
		s.mu.Unlock()
		if delta == nil { // not scripted yet
			return nil, transport.ErrRemote
		}
		f := delta(h)
		return f.MarshalMsg(nil)
	})
	station.OnCall(transport.KindQuotaAsk, func(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
		var ask messages.QuotaAsk
		if _, err := ask.UnmarshalMsg(body); err != nil {
			return nil, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var grant messages.QuotaGrant
		if s.quota != nil {
			grant = s.quota(i, ask)
		}
		return grant.MarshalMsg(nil)
	})
	station.Run(ctx)
	self := messages.Peer{Addr: station.Addr(), Role: messages.Controller, Zone: "a", Node: fmt.Sprintf("c%d", i), MemberID: s.group[i], Counted: true}
	go membership.NewMonitor(station, self, router.clock, func() []string { return []string{router.transport.Addr()} }).Run(ctx)
}
