// Package logring buffers log lines in memory and writes them out on errors or on demand.
//
// A Ring is the sink of a logr.Logger. It holds the newest lines and writes them
// out when an error is logged, on demand (SIGQUIT, the doctor), or, after WriteAll,
// immediately. In normal operation nothing is written, so that logging neither uses
// the disk nor blocks on a slow standard error.
//
// All loggers derived from one Ring share its buffer, which a mutex guards: any
// goroutine may log. The package starts no goroutine.
package logring

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	maxLevel     = 1           // lines of a higher level are discarded
	dumpInterval = time.Second // least time between dumps caused by errors
	timeFormat   = "15:04:05.000000"
)

// Ring is a logr.LogSink with a bounded buffer of lines.
type Ring struct {
	buffer *buffer // shared with the sinks derived from this one
	name   string
	values []any // alternating keys and values of WithValues
}

// buffer is the state that all sinks derived from a Ring share.
type buffer struct {
	out io.Writer // destination of dumps caused by errors, and of all lines if writeAll is set

	mu       sync.Mutex // guards the fields below and writes to out
	lines    []string   // "" is a free slot
	next     int        // index of the next line to write, which is also that of the oldest
	lastDump time.Time  // when an error last caused, or could have caused, a dump
	writeAll bool
}

var _ logr.LogSink = (*Ring)(nil)

// New returns a ring that holds size lines and dumps them to out when an error is
// logged.
func New(size int, out io.Writer) *Ring {
	return &Ring{buffer: &buffer{out: out, lines: make([]string, size)}}
}

// WriteAll makes the ring write each line immediately instead of in dumps, for debugging.
func (r *Ring) WriteAll() {
	r.buffer.mu.Lock()
	defer r.buffer.mu.Unlock()
	r.buffer.writeAll = true
}

// Init implements logr.LogSink.
func (r *Ring) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink: levels 0 and 1 are recorded.
func (r *Ring) Enabled(level int) bool { return level <= maxLevel }

// Info implements logr.LogSink.
func (r *Ring) Info(_ int, msg string, keysAndValues ...any) {
	r.buffer.add(r.format("I", msg, keysAndValues))
}

// Error implements logr.LogSink: it records the line and dumps the ring, at most
// once a second.
func (r *Ring) Error(err error, msg string, keysAndValues ...any) {
	r.buffer.add(r.format("E", msg, append([]any{"err", err}, keysAndValues...)))
	if r.buffer.dumpDue() {
		r.buffer.dump(r.buffer.out)
	}
}

// WithValues implements logr.LogSink.
func (r *Ring) WithValues(keysAndValues ...any) logr.LogSink {
	derived := *r
	derived.values = slices.Concat(r.values, keysAndValues)
	return &derived
}

// WithName implements logr.LogSink. The name replaces the previous one.
func (r *Ring) WithName(name string) logr.LogSink {
	derived := *r
	derived.name = name
	return &derived
}

// Show writes the lines in the ring, oldest first, without removing them.
func (r *Ring) Show(w io.Writer) { r.buffer.show(w) }

// Dump writes the lines in the ring, oldest first, and removes them.
func (r *Ring) Dump(w io.Writer) { r.buffer.dump(w) }

func (r *Ring) format(level, msg string, keysAndValues []any) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", time.Now().UTC().Format(timeFormat), level, r.name, msg)
	for _, pairs := range [][]any{r.values, keysAndValues} {
		for i := 0; i+1 < len(pairs); i += 2 {
			fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
		}
	}
	return b.String()
}

func (b *buffer) add(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.writeAll {
		fmt.Fprintln(b.out, line)
	}
	b.lines[b.next] = line
	b.next = (b.next + 1) % len(b.lines)
}

// dumpDue reports whether an error logged now should dump the ring, and if so records the
// time for the next call.
func (b *buffer) dumpDue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.lastDump) <= dumpInterval {
		return false
	}
	b.lastDump = time.Now()
	return !b.writeAll
}

func (b *buffer) show(w io.Writer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writeLines(w)
}

func (b *buffer) dump(w io.Writer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writeLines(w)
	clear(b.lines)
}

// writeLines requires that the caller holds mu.
func (b *buffer) writeLines(w io.Writer) {
	for i := range len(b.lines) {
		if line := b.lines[(b.next+i)%len(b.lines)]; line != "" {
			fmt.Fprintln(w, line)
		}
	}
}
