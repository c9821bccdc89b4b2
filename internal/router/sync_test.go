package router

import (
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// While one feed is being applied and waits for the admission lock, another one adds a runner of
// another service. The admission control must have that runner afterwards.
func TestConcurrentSyncAdmissionAppliesNewestRunners(t *testing.T) {
	c, _, _ := start(t)
	hasService := func(service string) bool {
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
	for waiting := false; !waiting; runtime.Gosched() { // allChanged is set shortly before the lock is requested
		c.loads.mu.Lock()
		waiting = c.loads.allChanged
		c.loads.mu.Unlock()
	}
	c.registry.Merge(messages.RunnerRecord{ID: "added", Service: "added", Addr: "127.0.0.1:9", Capacity: 1, Seq: 1, Models: []messages.Target{}}, c.clock())
	c.admissionMu.Unlock()
	<-done
	must.True(t, hasService("added"))
}
