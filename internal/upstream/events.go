// Events cuts a stream into whole events and remembers the id of the last one passed
// on. An incomplete event stays back, so that a broken stream never leaves a part of
// an event with the client.

package upstream

import "bytes"

// Events is the state of one stream.
type Events struct {
	rest   []byte
	LastID string
	Count  int
}

// Add appends bytes and returns those that make up whole events, in order. The result
// is valid until the next call.
func (e *Events) Add(b []byte) []byte {
	e.rest = append(e.rest, b...)
	end := bytes.LastIndex(e.rest, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	whole := e.rest[:end+2]
	out := append([]byte{}, whole...)
	e.record(whole)
	e.rest = append(e.rest[:0], e.rest[end+2:]...)
	return out
}

// Rest returns what has arrived of an event that is not complete.
func (e *Events) Rest() []byte { return e.rest }

// Cut drops the rest, before the stream is resumed at another runner.
func (e *Events) Cut() { e.rest = e.rest[:0] }

// record counts whole events and keeps the id of the last one.
func (e *Events) record(whole []byte) {
	e.Count += bytes.Count(whole, []byte("\n\n"))
	for len(whole) > 0 {
		line := whole
		if i := bytes.IndexByte(whole, '\n'); i >= 0 {
			line, whole = whole[:i], whole[i+1:]
		} else {
			whole = nil
		}
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.LastID = string(bytes.TrimSpace(rest))
		}
	}
}
