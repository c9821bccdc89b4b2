// Package invarianttest makes violations of invariants fail tests. A package whose
// code has invariants calls Main from its TestMain; a test that breaks one on purpose
// calls Expect.
package invarianttest

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"beechtide.org/beechtide/internal/invariant"
)

// statusFailed is the exit status of a test binary whose tests failed.
const statusFailed = 1

// recorder keeps the violations that no test expected.
type recorder struct {
	mu         sync.Mutex
	unexpected []invariant.Violation
	expected   map[string]int // by name: how often it was violated while a test expects it
}

var recorded = recorder{expected: map[string]int{}}

func (r *recorder) handle(v invariant.Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, expects := r.expected[v.Name]; expects {
		r.expected[v.Name]++
		return
	}
	r.unexpected = append(r.unexpected, v)
	fmt.Fprintf(os.Stderr, "invariant %s violated: %s %v\n", v.Name, v.Rule, v.Detail)
}

// Main runs the tests of a package and returns the exit status: a failure also where
// an invariant was violated that no test expected.
func Main(m *testing.M) int {
	invariant.SetHandler(recorded.handle)
	status := m.Run()
	recorded.mu.Lock()
	defer recorded.mu.Unlock()
	if len(recorded.unexpected) == 0 {
		return status
	}
	fmt.Fprintf(os.Stderr, "FAIL: %d violations of invariants\n", len(recorded.unexpected))
	return max(status, statusFailed)
}

// Expect lets a test violate an invariant. The test fails at its end if it did not.
func Expect(t *testing.T, expected *invariant.Invariant) {
	t.Helper()
	recorded.mu.Lock()
	defer recorded.mu.Unlock()
	recorded.expected[expected.Name()] = 0
	t.Cleanup(func() {
		recorded.mu.Lock()
		defer recorded.mu.Unlock()
		if recorded.expected[expected.Name()] == 0 {
			t.Errorf("invariant %s was not violated", expected.Name())
		}
		delete(recorded.expected, expected.Name())
	})
}
