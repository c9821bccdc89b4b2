package routeconfig

import (
	"os"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/invariant/invarianttest"
)

func TestMain(m *testing.M) { os.Exit(invarianttest.Main(m)) }

func TestOlderActiveTableViolatesInvariant(t *testing.T) {
	var active atomic.Pointer[Table]
	for _, version := range []int64{1, 1, 3} {
		SetActive(&active, &Table{Version: version})
	}
	must.Eq(t, 0, activeVersionIncreases.Violations())
	invarianttest.Expect(t, activeVersionIncreases)
	SetActive(&active, &Table{Version: 2})
}
