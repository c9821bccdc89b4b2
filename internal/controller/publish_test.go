package controller

import (
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// Versions that are learned at the same time leave the newest in force, whichever is
// taken in last.
func TestLearnedVersionsLeaveTheNewestInForce(t *testing.T) {
	d, _ := alone(t)
	value := func(version int64) messages.Value {
		raw := fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)
		body, err := (&messages.ConfigBody{Version: version, Raw: raw}).MarshalMsg(nil)
		must.NoError(t, err)
		return messages.Value{Version: version, Body: body, Group: []messages.Member{{ID: "a"}}}
	}
	const rounds, atOnce = 200, 8
	for round := range int64(rounds) {
		var wait sync.WaitGroup
		newest := (round + 1) * atOnce
		for i := range int64(atOnce) {
			v := value(newest - i)
			wait.Go(func() { d.onCommitted(consensus.ConfigRegister, v) })
		}
		wait.Wait()
		must.Eq(t, newest, d.table.Load().Version)
		must.Eq(t, newest, d.publishedVersions()[consensus.ConfigRegister])
	}
}
