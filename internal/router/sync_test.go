package router

import (
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// One feed is taken in and waits for its turn at the admission control while
// another one, which names a runner of another service, is taken in too.
func TestSyncAdmissionLeavesTheNewestRunnersBehind(t *testing.T) {
	c, _, _ := start(t)
	known := func(service string) bool {
		c.admissionMu.Lock()
		defer c.admissionMu.Unlock()
		for _, name := range c.admission.Services() {
			if name == service {
				return true
			}
		}
		return false
	}
	c.loads.mu.Lock()
	c.loads.allChanged = false
	c.loads.mu.Unlock()
	c.admissionMu.Lock()
	done := make(chan struct{})
	go func() {
		c.syncAdmission()
		close(done)
	}()
	for waiting := false; !waiting; runtime.Gosched() { // it is on its way to the lock
		c.loads.mu.Lock()
		waiting = c.loads.allChanged
		c.loads.mu.Unlock()
	}
	c.registry.Merge(messages.RunnerRecord{ID: "added", Service: "added", Addr: "127.0.0.1:9", Capacity: 1, Seq: 1, Models: []messages.Target{}}, c.clock())
	c.admissionMu.Unlock()
	<-done
	must.True(t, known("added"))
}
