package rollout

import (
	"os"
	"testing"

	"beechtide.org/beechtide/internal/invariant/invarianttest"
	"beechtide.org/beechtide/internal/lease"
)

func TestMain(m *testing.M) { os.Exit(invarianttest.Main(m)) }

func TestDecreasingFenceViolatesInvariant(t *testing.T) {
	invarianttest.Expect(t, fenceNeverDecreases)
	s := NewShard(1)
	s.Step(1, lease.Grant{Fence: 4}, outdatedModels())
	s.Step(2, lease.Grant{Fence: 3}, outdatedModels())
}
