package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// program is the path of the beechtide executable, built once for all tests.
var program string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "beechtide-soak-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "beechtide")
	build := exec.Command("go", "build", "-o", program, "beechtide.org/beechtide/cmd/beechtide")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build beechtide: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// Runs short soaks with real processes and sockets and requires that no rule is broken
// under the faults of any seed. Seed 1 silences all zones but one, whose controller loses its disk; in seed 7 a
// runner leaves undrained, all controllers are killed, and each runner sends without end for a while. In all of
// them a zone is evacuated again and again, with late and repeated orders.
func TestRunShortSoakWithoutViolations(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 7} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			result, err := Run(t.Context(), Options{
				Program: program, Dir: t.TempDir(), Seed: seed, Clients: 6,
				Shape: Shape{Routers: 2, Controllers: 3, Runners: 3, Zones: 3, Duration: 8 * time.Second},
			})
			must.NoError(t, err)
			var report strings.Builder
			result.Print(&report)
			must.SliceEmpty(t, result.Violations, must.Sprint(report.String()))
			must.SliceNotEmpty(t, result.Evidence.Spans)
			must.Positive(t, result.reportedWindows())
			must.Positive(t, result.Evidence.UsageDue)
			must.Positive(t, countAcknowledged(result.Evidence.Adds))
			must.Len(t, 3, result.Evidence.Totals)
			must.SliceNotEmpty(t, result.Evidence.Evacuations)
			must.Len(t, 5, result.Evidence.MemoryPeaks)
			must.Positive(t, result.mostMemory())
			served, _ := CountServed(result.Evidence.Records, result.Evidence.Calm, endOfTime)
			must.Positive(t, served)
		})
	}
}
