package compliance

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// Step is the event in the life of a request that an entry records. Its text is part
// of the trail's format.
type Step string

// The steps of a request: it is received, sent to runners once or several times,
// and ends with one of the three other steps.
const (
	Received Step = "asked"
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
	Attempt     string `json:"attempt"` // ID that identifies the request
	Tenant      string `json:"tenant"`
	Regime      string `json:"regime"`
	Runner      string `json:"runner,omitempty"`
	Service     string `json:"service,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Certificate int    `json:"certificate"` // index in the configuration; -1: none
	Version     int64  `json:"version"`     // of the configuration in force at the node
}

// trailCapacity is the maximum number of entries that a node stores.
const trailCapacity = 4096

// Trail is the audit trail of regulated requests at one node: a ring buffer of the
// newest 4096 entries. It is safe for concurrent use, and its zero value is ready to
// use.
type Trail struct {
	mu      sync.Mutex // guards the fields below
	ring    []Entry
	lastSeq int64 // of the newest entry
}

// Append appends an entry with the next sequence number. If the ring is full, it
// overwrites the oldest entry.
func (t *Trail) Append(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSeq++
	e.Seq = t.lastSeq
	if len(t.ring) < trailCapacity {
		t.ring = append(t.ring, e)
		return
	}
	t.ring[int((t.lastSeq-1)%trailCapacity)] = e
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

// entries returns a copy of the entries, oldest first.
func (t *Trail) entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ring) < trailCapacity {
		return slices.Clone(t.ring)
	}
	oldest := int(t.lastSeq % trailCapacity)
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
