package lease

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestAcquireWaitsFullLeaseWhenFenceUnused(t *testing.T) {
	must.Eq(t, Nobody, PredecessorOf("", "a", false))
	must.Eq(t, Itself, PredecessorOf("a", "a", true))
	must.Eq(t, Another, PredecessorOf("a", "a", false))
	must.Eq(t, Another, PredecessorOf("b", "a", true))
}
