// This file implements the splitting of a server-sent event stream into complete events.
// An incomplete event is held back, so that a client never receives part of an event when
// a stream breaks.

package upstream

import "bytes"

// EventSplitter splits the bytes of one stream into complete events. LastID is the id of the last
// complete event, and Count the number of complete events.
type EventSplitter struct {
	incomplete []byte
	LastID     string
	Count      int
}

// Add appends received bytes and returns the complete events so far, in order. The result
// is valid until the next call.
func (e *EventSplitter) Add(b []byte) []byte {
	e.incomplete = append(e.incomplete, b...)
	end := bytes.LastIndex(e.incomplete, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	complete := e.incomplete[:end+2]
	out := append([]byte{}, complete...)
	e.record(complete)
	e.incomplete = append(e.incomplete[:0], e.incomplete[end+2:]...)
	return out
}

// Incomplete returns the received bytes of an incomplete event.
func (e *EventSplitter) Incomplete() []byte { return e.incomplete }

// DiscardIncomplete discards an incomplete event before the stream is resumed at another runner.
func (e *EventSplitter) DiscardIncomplete() { e.incomplete = e.incomplete[:0] }

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
