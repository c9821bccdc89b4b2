package controller

import (
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// When versions are committed here concurrently, the newest becomes active whatever their order.
func TestConcurrentCommitsActivateNewestVersion(t *testing.T) {
	d, _ := newIsolatedController(t)
	value := func(version int64) messages.Value {
		raw := fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)
		body, err := (&messages.ConfigBody{Version: version, Raw: raw}).MarshalMsg(nil)
		must.NoError(t, err)
		return messages.Value{Version: version, Body: body, Group: []messages.Member{{ID: "a"}}}
	}
	const rounds, concurrent = 200, 8
	for round := range int64(rounds) {
		var wait sync.WaitGroup
		newest := (round + 1) * concurrent
		for i := range int64(concurrent) {
			v := value(newest - i)
			wait.Go(func() { d.onCommitted(consensus.ConfigRegister, v) })
		}
		wait.Wait()
		must.Eq(t, newest, d.table.Load().Version)
		must.Eq(t, newest, d.publishedVersions()[consensus.ConfigRegister])
	}
}
