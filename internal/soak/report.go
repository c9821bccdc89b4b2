// The report of a soak.

package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/load"
	"beechtide.org/beechtide/internal/standin"
)

// Summary returns the result of a soak in one line.
func (r Result) Summary() string {
	served, sent := CountServed(r.Evidence.Records, time.Time{}, endOfTime)
	calmServed, calmSent := CountServed(r.Evidence.Records, r.Evidence.Calm, endOfTime)
	acknowledged := 0
	for _, c := range r.Evidence.Changes {
		if c.Outcome == ChangeAcknowledged {
			acknowledged++
		}
	}
	return fmt.Sprintf("seed %d: %d faults, %d of %d changes acknowledged, %d of %d requests served (%d of %d in calm), slowest in force after %.2f s, %d windows of usage reported, %d of %d adds acknowledged, %d evacuations, at most %d MB a process, %d violations",
		r.Plan.Seed, len(r.Evidence.Spans), acknowledged, len(r.Evidence.Changes), served, sent, calmServed, calmSent, r.slowestConvergence().Seconds(), r.reportedWindows(), countAcknowledged(r.Evidence.Adds), len(r.Evidence.Adds), len(r.Evidence.Evacuations), r.mostMemory()/bytesPerMB, len(r.Violations))
}

// reportedWindows counts the usage windows whose report the platform accepted.
func (r Result) reportedWindows() int {
	accepted := map[int64]bool{}
	for _, call := range r.Evidence.Calls {
		if call.Duty == standin.DutyUsage && call.Status == http.StatusOK {
			accepted[call.Usage.WindowSeq] = true
		}
	}
	return len(accepted)
}

// mostMemory returns the most memory of a process, in bytes.
func (r Result) mostMemory() (most int64) {
	for _, peak := range r.Evidence.MemoryPeaks {
		most = max(most, peak.Bytes)
	}
	return most
}

// slowestConvergence returns the longest time that a router took to serve a change in calm.
func (r Result) slowestConvergence() time.Duration {
	var slowest time.Duration
	for _, c := range r.Evidence.Convergences {
		slowest = max(slowest, c.Took)
	}
	return slowest
}

// Print writes the report: the plan, the outcomes of the requests, and the violations.
func (r Result) Print(w io.Writer) {
	fmt.Fprintln(w, r.Summary())
	for _, fault := range r.Plan.Faults {
		fmt.Fprintln(w, "  fault ", fault)
	}
	for _, fault := range r.Plan.Core {
		fmt.Fprintln(w, "  core  ", fault)
	}
	for _, change := range r.Plan.Changes {
		fmt.Fprintln(w, "  change", change)
	}
	fmt.Fprintln(w, "  closing fault:", r.Plan.Closing)
	for _, line := range r.outcomeLines() {
		fmt.Fprintln(w, "  ended ", line)
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(w, "  VIOLATION", violation.At.Format("15:04:05.000"), violation)
	}
}

// outcomeLines counts the requests by class and by outcome or status.
func (r Result) outcomeLines() []string {
	counts := map[string]int{}
	for _, record := range r.Evidence.Records {
		ending := record.Outcome.String()
		if record.Outcome == load.Answered {
			ending = fmt.Sprint(record.Status)
		}
		counts[record.Kind.Class.String()+" "+ending]++
	}
	var lines []string
	for _, ending := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("%6d %s", counts[ending], ending))
	}
	return lines
}

// Write writes the report and the evidence into the directory of the soak.
func (r Result) Write(dir string) error {
	var text strings.Builder
	r.Print(&text)
	if err := os.WriteFile(filepath.Join(dir, "report.txt"), []byte(text.String()), fileMode); err != nil {
		return errors.Wrap(err, "soak: write report")
	}
	raw, err := json.Marshal(r.Evidence)
	if err != nil {
		return errors.Wrap(err, "soak: encode evidence")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "evidence.json"), raw, fileMode), "soak: write evidence")
}
