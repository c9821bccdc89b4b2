// Package logring keeps the log: a ring in memory behind logr, written out
// when something goes wrong, on SIGQUIT, or when the doctor asks. In quiet
// times nothing is written, which is what writing costs least.
package logring

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Ring is a logr.LogSink that remembers the newest lines.
type Ring struct {
	mu    *sync.Mutex
	lines *[]string
	next  *int
	out   io.Writer
	name  string
	vals  []any
	spill *time.Time
	all   bool
}

// New makes a ring of the given size; Error calls write it to out.
func New(size int, out io.Writer) *Ring {
	lines, next := make([]string, size), 0
	return &Ring{mu: &sync.Mutex{}, lines: &lines, next: &next, out: out, spill: &time.Time{}}
}

// WriteAll makes every line go out at once, for a search for a fault.
func (r *Ring) WriteAll() { r.all = true }

// Init is part of logr.LogSink.
func (r *Ring) Init(logr.RuntimeInfo) {}

// Enabled is part of logr.LogSink: everything at level 0 and 1 goes to the ring.
func (r *Ring) Enabled(level int) bool { return level <= 1 }

// Info notes a line in the ring.
func (r *Ring) Info(_ int, msg string, kv ...any) { r.note("I", msg, kv) }

// Error notes a line and writes the ring out, at most once a second.
func (r *Ring) Error(err error, msg string, kv ...any) {
	r.note("E", msg, append([]any{"err", err}, kv...))
	r.mu.Lock()
	due := time.Since(*r.spill) > time.Second
	if due {
		*r.spill = time.Now()
	}
	r.mu.Unlock()
	if due && !r.all {
		r.Dump(r.out)
	}
}

// WithValues is part of logr.LogSink.
func (r *Ring) WithValues(kv ...any) logr.LogSink {
	c := *r
	c.vals = append(append([]any{}, r.vals...), kv...)
	return &c
}

// WithName is part of logr.LogSink.
func (r *Ring) WithName(name string) logr.LogSink {
	c := *r
	c.name = name
	return &c
}

// Show writes what the ring holds, oldest first, and keeps it.
func (r *Ring) Show(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range len(*r.lines) {
		if line := (*r.lines)[(*r.next+i)%len(*r.lines)]; line != "" {
			fmt.Fprintln(w, line)
		}
	}
}

// Dump writes what the ring holds, oldest first, and empties it.
func (r *Ring) Dump(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := len(*r.lines)
	for i := range size {
		at := (*r.next + i) % size
		if line := (*r.lines)[at]; line != "" {
			fmt.Fprintln(w, line)
			(*r.lines)[at] = ""
		}
	}
}

func (r *Ring) note(level, msg string, kv []any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", time.Now().UTC().Format("15:04:05.000000"), level, r.name, msg)
	for _, list := range [][]any{r.vals, kv} {
		for i := 0; i+1 < len(list); i += 2 {
			fmt.Fprintf(&b, " %v=%v", list[i], list[i+1])
		}
	}
	r.mu.Lock()
	if r.all {
		fmt.Fprintln(r.out, b.String())
	}
	(*r.lines)[*r.next] = b.String()
	*r.next = (*r.next + 1) % len(*r.lines)
	r.mu.Unlock()
}
