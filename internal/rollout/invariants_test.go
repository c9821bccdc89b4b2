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
	s := NewShard(1)
	s.Step(1, lease.Grant{Fence: 4}, behindModel())
	s.Step(2, lease.Grant{Fence: 3}, behindModel())
}
