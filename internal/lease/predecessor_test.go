package lease

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestAcquireWaitsFullLeaseWhenFenceUnused(t *testing.T) {
	must.Eq(t, NoPredecessor, PredecessorOf("", "a", false))
	must.Eq(t, SameHolder, PredecessorOf("a", "a", true))
	must.Eq(t, OtherHolder, PredecessorOf("a", "a", false))
	must.Eq(t, OtherHolder, PredecessorOf("b", "a", true))
}
