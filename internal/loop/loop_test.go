package loop

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestEveryEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	n := 0
	Every(ctx, time.Microsecond, func() {
		if n++; n == 3 {
			cancel()
		}
	})
	must.GreaterEq(t, 3, n)
}

func TestPauseEndsWithItsContext(*testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	Pause(ctx, time.Hour)
}
