package rollout

import (
	"os"
	"testing"

	"beechtide.org/beechtide/internal/invariant/invarianttest"
	"beechtide.org/beechtide/internal/lease"
)

func TestMain(m *testing.M) { os.Exit(invarianttest.Main(m)) }

func TestFenceThatGoesBackViolatesInvariant(t *testing.T) {
	invarianttest.Expect(t, fenceGoesForward)
	s := NewShard(lease.Times{}, 1)
	s.lease.Acquired(3, lease.Nobody, 1)
	s.fence = 4
	s.work(View{NowUs: 2})
}
