package tallies

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/tally"
	"beechtide.org/beechtide/internal/transport"
)

const (
	examinedPeer = "b1"
	nearRouter   = "router-b"
)

// examinedPath answers the calls of an examination of examinedPeer.
type examinedPath struct {
	reaches        func() bool // the answer of the router, called for each query
	shared, direct bool        // the peer answers over the shared connection, or a new one
}

func (p examinedPath) Call(_ context.Context, addr string, kind int, _ msgp.Marshaler) ([]byte, error) {
	switch {
	case addr == nearRouter && kind == transport.KindReach && p.reaches != nil:
		answer := messages.ReachAnswer{Reached: p.reaches()}
		return answer.MarshalMsg(nil)
	case addr == examinedPeer && p.shared:
		return nil, nil
	}
	return nil, errUnreachable
}

func (p examinedPath) CallUnshared(context.Context, string, int, msgp.Marshaler) ([]byte, error) {
	if p.direct {
		return nil, nil
	}
	return nil, errUnreachable
}

// examineUnreachable returns a service with a disk whose one peer has not answered for a while, after an
// examination.
func examineUnreachable(t *testing.T, path examinedPath) *Service {
	t.Helper()
	const nowUs = 1_000_000
	s, err := Open(Config{
		Zone:           "a",
		DataDir:        t.TempDir(),
		Quorum:         tally.QuorumFor(1, 1),
		CompareTimeout: time.Second,
		Clock:          func() int64 { return nowUs },
		Log:            logr.Discard(),
		Peers:          path,
		Replicas:       func() []string { return []string{examinedPeer} },
		Core:           func() ([]string, bool) { return nil, false },
		Routers:        func() []messages.Peer { return []messages.Peer{{Addr: nearRouter, Zone: "b"}} },
	})
	must.NoError(t, err)
	s.replica.SetPeers([]string{examinedPeer})
	s.replica.RecordAck(examinedPeer, tally.Ack{Durable: true, Zone: "b"})
	s.replica.RecordFailure(examinedPeer, 0, 300_000)
	s.replica.RecordFailure(examinedPeer, 300_000, nowUs)
	must.False(t, s.replica.CanConfirm())
	s.examine(t.Context(), s.replica.Failing())
	return s
}

func always() bool { return true }

func TestPeerThatOnlyTheWitnessReachesIsCutOff(t *testing.T) {
	s := examineUnreachable(t, examinedPath{reaches: always})
	must.True(t, s.replica.Unreachable(examinedPeer))
	must.True(t, s.replica.CanConfirm())
}

// Guards against review/2: zones without power are as silent as zones behind a partition.
func TestPeerThatNoWitnessReachesIsNotCutOff(t *testing.T) {
	s := examineUnreachable(t, examinedPath{reaches: func() bool { return false }})
	must.False(t, s.replica.CanConfirm())
	s = examineUnreachable(t, examinedPath{})
	must.False(t, s.replica.CanConfirm(), must.Sprint("the witness does not answer"))
}

// A peer that starts or ends during the examination is not cut off.
func TestPeerThatTheWitnessReachesOnceIsNotCutOff(t *testing.T) {
	for _, answers := range [][]bool{{true, false}, {false, true}} {
		query := 0
		s := examineUnreachable(t, examinedPath{reaches: func() bool {
			query++
			return answers[query-1]
		}})
		must.False(t, s.replica.CanConfirm())
	}
}

// The kernel may send again on an old connection only long after the path is whole.
func TestPeerThatAnswersOnEitherConnectionIsReachable(t *testing.T) {
	for _, path := range []examinedPath{{reaches: always, shared: true}, {reaches: always, direct: true}} {
		s := examineUnreachable(t, path)
		must.False(t, s.replica.Unreachable(examinedPeer))
	}
}
