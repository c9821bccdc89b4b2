// Package invarianttest makes violations of invariants fail tests. A package whose
// code has invariants calls Main from its TestMain; a test that violates one on purpose
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

// recorder records the violations that no test expected and counts the expected ones.
type recorder struct {
	mu         sync.Mutex
	unexpected []invariant.Violation
	expected   map[string]int // violations since Expect, by name of the expected invariant
}

var recorded = recorder{expected: map[string]int{}}

func (r *recorder) handle(v invariant.Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.expected[v.Name]; ok {
		r.expected[v.Name]++
		return
	}
	r.unexpected = append(r.unexpected, v)
	fmt.Fprintf(os.Stderr, "invariant %s violated: %s %v\n", v.Name, v.Rule, v.Detail)
}

// Main runs the tests of a package and returns the exit status. An unexpected violation of
// an invariant makes it a failure even if all tests pass.
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

// Expect permits a test to violate an invariant until its end. The test fails if it does not
// violate it.
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
