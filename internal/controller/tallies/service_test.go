package tallies

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/tally"
)

var errUnreachable = errors.New("cut")

// noPeers fails every call.
type noPeers struct{}

func (noPeers) Call(context.Context, string, int, msgp.Marshaler) ([]byte, error) {
	return nil, errUnreachable
}

func (noPeers) CallUnshared(context.Context, string, int, msgp.Marshaler) ([]byte, error) {
	return nil, errUnreachable
}

func openWithoutPeers(t *testing.T, nowUs *int64) *Service {
	t.Helper()
	s, err := Open(Config{
		Zone:           "a",
		Quorum:         tally.QuorumFor(0, 0),
		CompareTimeout: time.Second,
		Clock:          func() int64 { return *nowUs },
		Log:            logr.Discard(),
		Peers:          noPeers{},
		Replicas:       func() []string { return nil },
		Core:           func() ([]string, bool) { return nil, false },
		Routers:        func() []messages.Peer { return nil },
	})
	must.NoError(t, err)
	return s
}

func TestOpenRejectsIncompleteConfig(t *testing.T) {
	_, err := Open(Config{Zone: "a"})
	must.ErrorIs(t, err, ErrConfig)
}

// Guards against incomplete totals right after a start: a replica that has reached no other one
// serves only after startTimeout.
func TestReplicaWithoutPeersIsReadyAfterStartTimeout(t *testing.T) {
	nowUs := int64(1)
	s := openWithoutPeers(t, &nowUs)
	s.updatePeers(t.Context())
	must.False(t, s.Counts().Ready)
	_, ready := s.total("t")
	must.False(t, ready)
	nowUs += startTimeout.Microseconds()
	s.updatePeers(t.Context())
	must.True(t, s.Counts().Ready)
}

func TestHandlePullReturnsAllAddsForEmptyVector(t *testing.T) {
	nowUs := int64(1)
	s := openWithoutPeers(t, &nowUs)
	s.mu.Lock()
	s.replica.Append(tally.Add{Tally: "t", Key: tally.KeyOf("t", "one"), Amount: 4})
	s.mu.Unlock()
	request := messages.TallyPull{Vector: []messages.TallyHeld{}}
	encoded, err := request.MarshalMsg(nil)
	must.NoError(t, err)
	answer, err := s.HandlePull(t.Context(), nil, encoded)
	must.NoError(t, err)
	var runs messages.TallyRuns
	_, err = runs.UnmarshalMsg(answer)
	must.NoError(t, err)
	decoded, err := tally.DecodeRuns(runs.Runs)
	must.NoError(t, err)
	must.Len(t, 1, decoded)
	must.False(t, runs.More)
}
