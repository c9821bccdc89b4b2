package quotaowner

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
)

// noPeers fails every call.
type noPeers struct{}

var errUnreachable = errors.New("cut")

func (noPeers) Call(context.Context, string, int, msgp.Marshaler) ([]byte, error) {
	return nil, errUnreachable
}

// newSingleMemberService returns a service that is the only member of its group and whose clock reads nowUs.
func newSingleMemberService(t *testing.T, nowUs *int64, limited *bool) *Service {
	t.Helper()
	s, err := New(Config{
		Addr:          "a:1",
		Bounds:        quota.NewBounds(0, 0, 0),
		Clock:         func() int64 { return *nowUs },
		Log:           logr.Discard(),
		Peers:         noPeers{},
		Group:         func() quota.Group { return quota.Group{Version: 1, Members: []string{"a:1"}} },
		HasRateLimits: func() bool { return *limited },
	})
	must.NoError(t, err)
	return s
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{Addr: "a:1"})
	must.ErrorIs(t, err, ErrConfig)
}

func TestNoShardIsOwnedWithoutRateLimits(t *testing.T) {
	nowUs, limited := int64(1), false
	s := newSingleMemberService(t, &nowUs, &limited)
	nowUs += 2 * quota.LeaseUs
	s.tick(t.Context())
	must.Zero(t, s.Counts().OwnedShards)
	limited = true
	s.tick(t.Context())
	must.Eq(t, quota.ShardCount, s.Counts().OwnedShards)
}

func TestTokenRequestsAndReferralsAreCounted(t *testing.T) {
	nowUs, limited := int64(1), true
	s := newSingleMemberService(t, &nowUs, &limited)
	ask := messages.QuotaAsk{Tenant: "t1", Need: 1, Want: 1, RatePerS: 10, Burst: 10, Version: 1}
	encoded, err := ask.MarshalMsg(nil)
	must.NoError(t, err)
	_, err = s.HandleAsk(t.Context(), nil, encoded)
	must.NoError(t, err)
	nowUs += 2 * quota.LeaseUs
	s.tick(t.Context())
	answer, err := s.HandleAsk(t.Context(), nil, encoded)
	must.NoError(t, err)
	var grant messages.QuotaGrant
	_, err = grant.UnmarshalMsg(answer)
	must.NoError(t, err)
	must.True(t, grant.Owner)
	must.Eq(t, Counts{OwnedShards: quota.ShardCount, TokenRequests: 2, Referred: 1}, s.Counts())
	must.Len(t, 1, s.Conditions())
	s.Leave()
	must.False(t, s.Owns(quota.ShardOf("t1")))
}

func TestHandlersRejectUndecodableMessages(t *testing.T) {
	nowUs, limited := int64(1), true
	s := newSingleMemberService(t, &nowUs, &limited)
	_, err := s.HandleAsk(t.Context(), nil, []byte{0xc1})
	must.Error(t, err)
	_, err = s.HandleClaim(t.Context(), nil, []byte{0xc1})
	must.Error(t, err)
}
