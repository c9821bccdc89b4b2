package singleton

import (
	"os"
	"testing"

	"beechtide.org/beechtide/internal/invariant/invarianttest"
)

func TestMain(m *testing.M) { os.Exit(invarianttest.Main(m)) }

func TestLowerFenceOfOrdersViolatesInvariant(t *testing.T) {
	checkFence(1, 5, 5)
	checkFence(1, 5, 6)
	invarianttest.Expect(t, fenceNeverDecreases)
	checkFence(1, 5, 4)
}
