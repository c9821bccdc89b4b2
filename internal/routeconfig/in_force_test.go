package routeconfig

import (
	"os"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/invariant/invarianttest"
)

func TestMain(m *testing.M) { os.Exit(invarianttest.Main(m)) }

func TestOlderTableInForceViolatesInvariant(t *testing.T) {
	var inForce atomic.Pointer[Table]
	for _, version := range []int64{1, 1, 3} {
		PutInForce(&inForce, &Table{Version: version})
	}
	must.Eq(t, 0, inForceGoesForward.Violations())
	invarianttest.Expect(t, inForceGoesForward)
	PutInForce(&inForce, &Table{Version: 2})
}
