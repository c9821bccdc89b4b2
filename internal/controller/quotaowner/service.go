// Package quotaowner runs a controller's side of the rate limits of tenants: package quota
// decides which controller owns a shard of the tenants and how many tokens it may grant, and a
// Service passes it the time and the messages.
//
// A Service sends its claims to the other members of the configuration register's group, votes
// on their claims, and grants tokens to routers on request. Run sends until its context ends;
// the handlers run on the transport's goroutines. No lock is held while a message is sent.
package quotaowner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
	"beechtide.org/beechtide/internal/transport"
)

const (
	tickInterval = time.Duration(quota.ClaimIntervalUs) * time.Microsecond
	// claimTimeout bounds a claim. A lease is counted from when its claim was sent, so that a
	// later response would renew it hardly at all.
	claimTimeout = 300 * time.Millisecond
)

// Caller sends a request to another node and returns the body of its response.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// Config configures a Service. All fields are required.
type Config struct {
	// Addr is the address of this controller, as listed in the group.
	Addr string
	// Bounds limits by how much the requests of all routers together may exceed a limit.
	Bounds quota.Bounds
	// Clock returns microseconds of a monotonic clock.
	Clock func() int64
	Log   logr.Logger
	Peers Caller
	// Group returns the voters: the members of the configuration register.
	Group func() quota.Group
	// HasRateLimits reports whether any tenant has a rate limit. If none has, no claims are sent.
	HasRateLimits func() bool
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("quotaowner: incomplete configuration")

func (c *Config) check() error {
	if c.Addr == "" || c.Clock == nil || c.Peers == nil || c.Group == nil || c.HasRateLimits == nil {
		return ErrConfig
	}
	return nil
}

// Service claims shards and grants tokens. It is safe for concurrent use.
type Service struct {
	config Config
	wake   chan struct{} // signals Run to send claims before the next tick

	mu            sync.Mutex // guards what follows
	member        *quota.Member
	owned         []int // shards at the last tick, for the log
	leaving       bool  // this process is about to end
	tokenRequests int64 // token requests of routers
	referred      int64 // token requests for shards that this controller does not own
}

// New returns a service that owns no shard yet.
func New(config Config) (*Service, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	self := fmt.Sprintf("%s/%x", config.Addr, rand.Uint64())
	return &Service{
		config: config,
		wake:   make(chan struct{}, 1),
		member: quota.NewMember(quota.Config{Self: self, Bounds: config.Bounds, StartUs: config.Clock()}),
	}, nil
}

// Run sends claims at each tick, and earlier when woken, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick(ctx)
		select {
		case <-ticker.C:
		case <-s.wake:
		case <-ctx.Done():
			return
		}
	}
}

// tick sends the claims that are due.
func (s *Service) tick(ctx context.Context) {
	if !s.config.HasRateLimits() {
		return
	}
	group := s.config.Group()
	s.mu.Lock()
	var claims []quota.OutgoingClaim
	if !s.leaving {
		claims = s.member.Tick(group, s.config.Clock())
		s.logOwnership()
	}
	s.mu.Unlock()
	for _, claim := range claims {
		go s.send(ctx, claim)
	}
}

// logOwnership logs the owned shards if they have changed since the last tick. The caller holds
// the mutex.
func (s *Service) logOwnership() {
	owned := s.member.OwnedShards(s.config.Clock())
	if !slices.Equal(owned, s.owned) {
		s.config.Log.Info("owned quota shards changed", "shards", owned, "before", s.owned)
		s.owned = owned
	}
}

// send sends a claim and applies the votes in the response. A claim without a response gets no
// votes.
func (s *Service) send(ctx context.Context, claim quota.OutgoingClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	sentUs := s.config.Clock()
	body, err := s.config.Peers.Call(ctx, claim.To, transport.KindQuotaClaim, &claim.Claim)
	if err != nil {
		return
	}
	var votes messages.QuotaVotes
	if _, err := votes.UnmarshalMsg(body); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.member.HandleVotes(claim.To, votes, sentUs, s.config.Clock())
}

// HandleClaim votes on the claim of another member.
func (s *Service) HandleClaim(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var claim messages.QuotaClaim
	if _, err := claim.UnmarshalMsg(body); err != nil {
		return nil, errors.Wrap(err, "quotaowner: decode claim")
	}
	s.mu.Lock()
	votes := s.member.HandleClaim(claim, s.config.Clock())
	s.mu.Unlock()
	if len(claim.Released) > 0 {
		s.wakeSender()
	}
	return votes.MarshalMsg(nil)
}

// HandleAsk grants tokens to a router, or responds with the owner of the shard.
func (s *Service) HandleAsk(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var request messages.QuotaAsk
	if _, err := request.UnmarshalMsg(body); err != nil {
		return nil, errors.Wrap(err, "quotaowner: decode question")
	}
	s.mu.Lock()
	grant := s.member.HandleAsk(request, s.config.Clock())
	s.tokenRequests++
	if !grant.Owner {
		s.referred++
	}
	urgent := s.member.Urgent()
	s.mu.Unlock()
	if urgent {
		s.wakeSender()
	}
	return grant.MarshalMsg(nil)
}

// wakeSender wakes Run to send claims before the next tick.
func (s *Service) wakeSender() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Leave releases the shards that this controller owns, so that other members need not wait for
// its leases to expire. It returns once they have responded, or after claimTimeout.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	releases := s.member.Leave(s.config.Clock())
	s.mu.Unlock()
	var pending sync.WaitGroup
	for _, release := range releases {
		pending.Go(func() { s.send(context.Background(), release) })
	}
	pending.Wait()
}

// Owns reports whether this controller owns a shard now.
func (s *Service) Owns(shard int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Owns(shard, s.config.Clock())
}

// Conditions returns the state of the accounts in the shards that this controller owns.
func (s *Service) Conditions() []messages.QuotaCondition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Conditions(s.config.Clock())
}

// Counts are the statistics of a Service for the metrics.
type Counts struct {
	OwnedShards   int
	TokenRequests int64 // token requests of routers since the start
	Referred      int64 // those of them that were referred to another owner, or to none
}

// Counts returns the current statistics.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{OwnedShards: len(s.member.OwnedShards(s.config.Clock())), TokenRequests: s.tokenRequests, Referred: s.referred}
}
