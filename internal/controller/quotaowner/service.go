// Package quotaowner runs a controller's part in the count of tenants' requests: package
// quota decides who owns a shard and how many tokens there are, and a Service gives it the
// time and the messages.
//
// A Service sends its claims to the other members of the configuration's group, votes on
// theirs, and grants tokens to the routers that ask. Run sends until its context ends; the
// handlers run on the transport's goroutines. No lock is held while a message is sent.
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
	// claimTimeout bounds a claim: an answer that comes later renews next to nothing.
	claimTimeout = 300 * time.Millisecond
)

// Caller sends a request to another node and returns the body of its response.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// Config is what a Service is given. All fields are required.
type Config struct {
	// Addr is the address of this controller, as the group has it.
	Addr string
	// Bounds is how far the sum over all routers may exceed a limit.
	Bounds quota.Bounds
	// Clock returns microseconds of a monotonic clock.
	Clock func() int64
	Log   logr.Logger
	Peers Caller
	// Group returns those who vote: the members of the configuration's register.
	Group func() quota.Group
	// Limited reports whether any tenant has a limit. Without one nothing is sent.
	Limited func() bool
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("quotaowner: incomplete configuration")

func (c *Config) check() error {
	if c.Addr == "" || c.Clock == nil || c.Peers == nil || c.Group == nil || c.Limited == nil {
		return ErrConfig
	}
	return nil
}

// Service is safe for concurrent use.
type Service struct {
	config Config
	wake   chan struct{} // something is to be sent before the next tick

	mu       sync.Mutex // guards what follows
	member   *quota.Member
	owned    []int // the shards at the last look, for the log
	left     bool  // this process is about to end
	asked    int64 // questions of routers
	referred int64 // those for which another is the owner
}

// New returns a service that owns nothing yet.
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

// Run renews claims until ctx ends.
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

// tick renews the claims.
func (s *Service) tick(ctx context.Context) {
	if !s.config.Limited() {
		return
	}
	group := s.config.Group()
	s.mu.Lock()
	var claims []quota.OutgoingClaim
	if !s.left {
		claims = s.member.Tick(group, s.config.Clock())
		s.logOwnership()
	}
	s.mu.Unlock()
	for _, claim := range claims {
		go s.send(ctx, claim)
	}
}

// logOwnership logs that this controller owns other shards than before. The caller holds the
// mutex.
func (s *Service) logOwnership() {
	owned := s.member.OwnedShards(s.config.Clock())
	if !slices.Equal(owned, s.owned) {
		s.config.Log.Info("owns the count of shards", "shards", owned, "before", s.owned)
		s.owned = owned
	}
}

// send sends a claim and takes the votes. A claim without a response has no votes.
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
		s.sendSoon()
	}
	return votes.MarshalMsg(nil)
}

// HandleAsk grants tokens to a router, or names the owner.
func (s *Service) HandleAsk(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var ask messages.QuotaAsk
	if _, err := ask.UnmarshalMsg(body); err != nil {
		return nil, errors.Wrap(err, "quotaowner: decode question")
	}
	s.mu.Lock()
	grant := s.member.HandleAsk(ask, s.config.Clock())
	s.asked++
	if !grant.Owner {
		s.referred++
	}
	urgent := s.member.Urgent()
	s.mu.Unlock()
	if urgent {
		s.sendSoon()
	}
	return grant.MarshalMsg(nil)
}

// sendSoon has claims sent before the next tick.
func (s *Service) sendSoon() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Leave gives up what this controller owns, so that others need not wait for its leases to
// expire. It returns once the others have been notified, or claimTimeout has passed.
func (s *Service) Leave() {
	s.mu.Lock()
	s.left = true
	releases := s.member.Leave(s.config.Clock())
	s.mu.Unlock()
	var sending sync.WaitGroup
	for _, release := range releases {
		sending.Go(func() { s.send(context.Background(), release) })
	}
	sending.Wait()
}

// Owns reports whether this controller owns a shard now.
func (s *Service) Owns(shard int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Owns(shard, s.config.Clock())
}

// Conditions returns the accounts of the shards that this controller owns.
func (s *Service) Conditions() []messages.QuotaCondition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Conditions(s.config.Clock())
}

// Counts are the figures of a Service.
type Counts struct {
	OwnedShards int
	Questions   int64 // of routers since the start
	Referred    int64 // those that were told of another owner, or of none
}

// Counts returns the figures of this moment.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{OwnedShards: len(s.member.OwnedShards(s.config.Clock())), Questions: s.asked, Referred: s.referred}
}
