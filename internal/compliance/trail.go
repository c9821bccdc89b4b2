package compliance

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// Step is what happened to a request. Its text is part of the trail's format.
type Step string

// The steps of a request: it is received, sent to a runner, once or more often,
// and ends in one of the three other ways.
const (
	Asked    Step = "asked"
	Sent     Step = "sent"
	Answered Step = "answered"
	Rejected Step = "denied"
	Cut      Step = "cut" // ended before its response was complete
)

// Entry is one line of a trail.
type Entry struct {
	Seq         int64  `json:"seq"` // counts the entries of a node from 1
	Node        string `json:"node"`
	Step        Step   `json:"step"`
	Attempt     string `json:"attempt"` // names the request
	Tenant      string `json:"tenant"`
	Regime      string `json:"regime"`
	Runner      string `json:"runner,omitempty"`
	Service     string `json:"service,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Certificate int    `json:"certificate"` // index in the configuration; -1: none
	Version     int64  `json:"version"`     // of the configuration in force at the node
}

// trailSize bounds how many entries a node keeps.
const trailSize = 4096

// Trail is the audit trail of regulated requests at one node: a ring that keeps
// the newest 4096 entries. It is safe for concurrent use, and its zero value is
// ready to use.
type Trail struct {
	mu   sync.Mutex // guards the fields below
	ring []Entry
	seq  int64 // of the newest entry
}

// Note appends an entry and numbers it; the oldest is dropped when the ring is
// full.
func (t *Trail) Note(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	e.Seq = t.seq
	if len(t.ring) < trailSize {
		t.ring = append(t.ring, e)
		return
	}
	t.ring[int((t.seq-1)%trailSize)] = e
}

// Write writes the entries as JSON lines, oldest first.
func (t *Trail) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	for _, e := range t.entries() {
		if err := enc.Encode(e); err != nil {
			return errors.Wrap(err, "compliance: write trail")
		}
	}
	return nil
}

// entries copies the entries, oldest first.
func (t *Trail) entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ring) < trailSize {
		return slices.Clone(t.ring)
	}
	oldest := int(t.seq % trailSize)
	return slices.Concat(t.ring[oldest:], t.ring[:oldest])
}

// ReadTrail reads entries from JSON lines; empty lines are skipped.
func ReadTrail(r io.Reader) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var e Entry
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, errors.Wrapf(err, "line %d", line)
		}
		entries = append(entries, e)
	}
	return entries, errors.Wrap(scanner.Err(), "read trail")
}
