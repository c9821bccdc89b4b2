// This file implements the splitting of a server-sent event stream into complete events.
// An incomplete event is held back, so that a client never receives part of an event when
// a stream breaks.

package upstream

import (
	"bytes"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/memorybudget"
)

// EventSplitter splits the bytes of one stream into complete events. LastID is the id of the last
// complete event, and Count the number of complete events.
type EventSplitter struct {
	incomplete []byte
	account    memorybudget.Account // for incomplete
	reserved   int                  // bytes of incomplete that the account has
	LastID     string
	Count      int
}

// maxEventBytes is the maximum size of an event.
const maxEventBytes = 1 << 20

// eventReserveBytes is by how much the account of an incomplete event grows at a time. Less is not
// counted, as each stream has a buffer of this size anyway.
const eventReserveBytes = 4 << 10

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// NewEventSplitter returns a splitter whose incomplete event counts in a budget, which may be nil.
func NewEventSplitter(budget *memorybudget.Budget) EventSplitter {
	return EventSplitter{account: budget.Open()}
}

// Add appends received bytes and returns the complete events so far, in order. The result
// is valid until the next call. An event that is too long, or too large for what is left of the budget, is
// an error.
func (e *EventSplitter) Add(b []byte) ([]byte, error) {
	searched := max(len(e.incomplete)+1-len(eventEnd), 0)
	if err := e.reserve(len(e.incomplete) + len(b)); err != nil {
		return nil, err
	}
	e.incomplete = append(e.incomplete, b...)
	end := bytes.LastIndex(e.incomplete[searched:], eventEnd)
	if end < 0 {
		return nil, nil
	}
	end += searched + len(eventEnd)
	complete := e.incomplete[:end]
	out := append([]byte{}, complete...)
	e.record(complete)
	rest := e.incomplete[end:]
	if e.reserved > 0 { // a large event has ended
		e.Close()
		e.incomplete = append([]byte{}, rest...)
	} else {
		e.incomplete = append(e.incomplete[:0], rest...)
	}
	return out, nil
}

// reserve has the account hold the bytes of an incomplete event.
func (e *EventSplitter) reserve(size int) error {
	if size > maxEventBytes {
		return errEventTooLong
	}
	for e.reserved+eventReserveBytes < size {
		if err := e.account.Grow(eventReserveBytes); err != nil {
			return err
		}
		e.reserved += eventReserveBytes
	}
	return nil
}

// errEventTooLong means that an event is longer than maxEventBytes.
var errEventTooLong = errors.Wrap(ErrBroken, "the event is too long")

// Close discards an incomplete event and returns its memory to the budget. The splitter can be used
// again.
func (e *EventSplitter) Close() {
	e.incomplete = nil
	e.account.Release()
	e.reserved = 0
}

// Incomplete returns the received bytes of an incomplete event.
func (e *EventSplitter) Incomplete() []byte { return e.incomplete }

// DiscardIncomplete discards an incomplete event before the stream is resumed at another runner.
func (e *EventSplitter) DiscardIncomplete() { e.Close() }

// record counts complete events and stores the id of the last one.
func (e *EventSplitter) record(complete []byte) {
	e.Count += bytes.Count(complete, []byte("\n\n"))
	for len(complete) > 0 {
		line := complete
		if i := bytes.IndexByte(complete, '\n'); i >= 0 {
			line, complete = complete[:i], complete[i+1:]
		} else {
			complete = nil
		}
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.LastID = string(bytes.TrimSpace(rest))
		}
	}
}
