// The memory of the child processes.

package soak

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"beechtide.org/beechtide/internal/loop"
)

const (
	memorySampleInterval = 200 * time.Millisecond
	bytesPerKB           = 1 << 10
	bytesPerMB           = 1 << 20
)

// MemoryPeak is the most memory of a process over its incarnations, and what it may use.
type MemoryPeak struct {
	Node  string
	Bytes int64
	Limit int64
}

// watchMemory samples the memory of all processes until ctx ends, and records the peaks.
func watchMemory(ctx context.Context, c *cluster, r *recorder) {
	nodes := slices.Concat(c.controllers, c.routers)
	peaks := make([]MemoryPeak, len(nodes))
	loop.Every(ctx, memorySampleInterval, func() {
		for i, node := range nodes {
			limit := int64(node.settings.Limits.MemoryMb) * bytesPerMB
			peaks[i] = MemoryPeak{Node: node.name(), Bytes: max(peaks[i].Bytes, node.peakMemory()), Limit: limit}
		}
	})
	r.update(func(e *Evidence) { e.MemoryPeaks = peaks })
}

// peakMemory returns the most resident memory of the running process so far; 0 if it is not known.
func (p *process) peakMemory() int64 {
	p.mu.Lock()
	pid := 0
	if p.command != nil && p.command.Process != nil {
		pid = p.command.Process.Pid
	}
	p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes * bytesPerKB
		}
	}
	return 0
}

// checkMemory requires that every process stayed within its memory.
func checkMemory(e *evaluator) {
	for _, peak := range e.MemoryPeaks {
		if peak.Bytes > peak.Limit {
			e.addViolation(RuleMemory, e.Calm, "%s used %d MB, %d MB are allowed", peak.Node, peak.Bytes/bytesPerMB, peak.Limit/bytesPerMB)
		}
	}
}
