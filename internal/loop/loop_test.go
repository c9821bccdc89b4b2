package loop

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestEveryReturnsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	Every(ctx, time.Microsecond, func() {
		if calls++; calls == 3 {
			cancel()
		}
	})
	must.GreaterEq(t, 3, calls)
}

func TestPauseReturnsWhenContextEnds(*testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	Pause(ctx, time.Hour)
}
