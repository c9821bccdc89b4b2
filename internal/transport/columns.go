package transport

import (
	"bytes"
	"encoding/binary"

	"github.com/pkg/errors"
)

// splitColumns rearranges consecutive text records so that a general-purpose compressor
// reduces them much further: the bytes that all records have in common stay in one
// stream, and each field whose value varies goes to a column of its own. Records are not
// parsed: a word is a run of letters and digits, a word that occurs rarely is treated as
// the value of a field, and the bytes before it identify the field. joinColumns restores
// any input exactly.
//
// The result is the length of the stream, the stream, and the columns in the order in
// which the stream refers to them. Each column is either the number, counted from 1, of an
// earlier column with the same words, or 0 followed by the length of its words (0 if the
// lengths differ; then each word ends with columnEnd), the column's length in bytes, and
// the words. Numbers are unsigned varints.
func splitColumns(b []byte) []byte {
	common := countWords(b)
	split := columnSplitter{stream: make([]byte, 0, len(b)/2), columns: map[columnContext]*column{}}
	for len(b) > 0 {
		word := leadingWord(b)
		switch {
		case len(word) == 0:
			split.addByte(b[0])
			b = b[1:]
			continue
		case len(word) < minFieldWord || common[string(word)] >= minCommonCount:
			split.stream = append(split.stream, word...)
		default:
			split.addField(word)
		}
		b = b[len(word):]
	}
	return split.encode()
}

const (
	// streamEscape precedes escapedField and escapedByte in the stream.
	streamEscape = 0xc1 // rare, because msgp does not use this byte
	escapedField = 'f'  // placeholder for the next word of a column
	escapedByte  = 'b'  // a literal streamEscape byte

	// columnEnd terminates each word in a column whose words differ in length.
	columnEnd = '\n'

	// minFieldWord is the minimum length of a word that goes to a column. A word that
	// occurs at least minCommonCount times stays in the stream.
	minFieldWord   = 3
	minCommonCount = 8

	// contextBytes is how many bytes of the stream before a field identify the field.
	contextBytes = 8
)

var errColumns = errors.New("transport: malformed columns")

type columnContext [contextBytes]byte

// contextOf returns the last contextBytes of the stream, padded with zeros.
func contextOf(stream []byte) (c columnContext) {
	copy(c[:], stream[max(len(stream)-contextBytes, 0):])
	return c
}

type column struct {
	words      []byte // concatenated, without columnEnd
	lengths    []int  // of each word
	wordLength int    // common length of all words; 0 if they differ
}

// columnSplitter is the state of splitColumns.
type columnSplitter struct {
	stream  []byte
	columns map[columnContext]*column
	order   []*column
}

func (s *columnSplitter) addByte(c byte) {
	s.stream = append(s.stream, c)
	if c == streamEscape {
		s.stream = append(s.stream, escapedByte)
	}
}

func (s *columnSplitter) addField(word []byte) {
	context := contextOf(s.stream)
	c := s.columns[context]
	if c == nil {
		c = &column{wordLength: len(word)}
		s.columns[context] = c
		s.order = append(s.order, c)
	}
	if c.wordLength != len(word) {
		c.wordLength = 0
	}
	c.words = append(c.words, word...)
	c.lengths = append(c.lengths, len(word))
	s.stream = append(s.stream, streamEscape, escapedField)
}

func (s *columnSplitter) encode() []byte {
	out := binary.AppendUvarint(nil, uint64(len(s.stream)))
	out = append(out, s.stream...)
	numbers := map[string]uint64{} // column numbers by the encoding of the column
	for i, c := range s.order {
		words := string(c.appendWords(nil))
		number := numbers[words]
		out = binary.AppendUvarint(out, number)
		if number == 0 {
			numbers[words] = uint64(i + 1)
			out = append(out, words...)
		}
	}
	return out
}

// appendWords appends the word length, the length of the column, and the words.
func (c *column) appendWords(out []byte) []byte {
	out = binary.AppendUvarint(out, uint64(c.wordLength))
	if c.wordLength > 0 {
		return append(binary.AppendUvarint(out, uint64(len(c.words))), c.words...)
	}
	out = binary.AppendUvarint(out, uint64(len(c.words)+len(c.lengths)))
	words := c.words
	for _, length := range c.lengths {
		out = append(append(out, words[:length]...), columnEnd)
		words = words[length:]
	}
	return out
}

// countWords counts how often each word occurs.
func countWords(b []byte) map[string]int {
	counts := map[string]int{}
	for len(b) > 0 {
		word := leadingWord(b)
		if len(word) >= minFieldWord {
			counts[string(word)]++
		}
		b = b[max(len(word), 1):]
	}
	return counts
}

// leadingWord returns the longest prefix of b that consists of letters and digits.
func leadingWord(b []byte) []byte {
	n := 0
	for n < len(b) && isWordByte(b[n]) {
		n++
	}
	return b[:n]
}

func isWordByte(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// joinColumns reverses splitColumns. A result longer than maxBytes is an error.
func joinColumns(b []byte, maxBytes int) ([]byte, error) {
	stream, rest, err := readBytes(b)
	if err != nil {
		return nil, err
	}
	join := columnJoiner{stream: stream, rest: rest, columns: map[columnContext]*columnReader{}}
	out := make([]byte, 0, min(2*len(b), maxBytes))
	for at := 0; at < len(stream); at++ {
		if stream[at] != streamEscape {
			out = append(out, stream[at])
			continue
		}
		at++
		if out, err = join.appendEscaped(out, at); err != nil {
			return nil, err
		}
		if len(out) > maxBytes {
			return nil, errors.Wrap(errColumns, "too long")
		}
	}
	return out, nil
}

// columnJoiner is the state of joinColumns.
type columnJoiner struct {
	stream  []byte
	rest    []byte // encoded columns that the stream has not referred to yet
	columns map[columnContext]*columnReader
	opened  []columnReader // all columns opened so far, in their initial state
}

type columnReader struct {
	words      []byte
	wordLength int
}

// appendEscaped appends the decoded value of an escape sequence; at is the stream index of
// its second byte.
func (j *columnJoiner) appendEscaped(out []byte, at int) ([]byte, error) {
	if at >= len(j.stream) {
		return nil, errors.Wrap(errColumns, "stream cut off")
	}
	switch j.stream[at] {
	case escapedByte:
		return append(out, streamEscape), nil
	case escapedField:
		word, err := j.nextWord(contextOf(j.stream[:at-1]))
		return append(out, word...), err
	}
	return nil, errors.Wrap(errColumns, "unknown escape sequence")
}

func (j *columnJoiner) nextWord(context columnContext) ([]byte, error) {
	c := j.columns[context]
	if c == nil {
		var err error
		if c, err = j.openColumn(); err != nil {
			return nil, err
		}
		j.columns[context] = c
	}
	length, end := c.wordLength, 0
	if length == 0 {
		length, end = bytes.IndexByte(c.words, columnEnd), 1
	}
	if length < 0 || length+end > len(c.words) {
		return nil, errors.Wrap(errColumns, "column cut off")
	}
	word := c.words[:length]
	c.words = c.words[length+end:]
	return word, nil
}

func (j *columnJoiner) openColumn() (*columnReader, error) {
	number, rest, err := readNumber(j.rest, len(j.opened))
	if err != nil {
		return nil, err
	}
	var c columnReader
	if number > 0 {
		c = j.opened[number-1]
	} else if c, rest, err = readColumn(rest); err != nil {
		return nil, err
	}
	j.rest = rest
	j.opened = append(j.opened, c)
	return &c, nil
}

func readColumn(b []byte) (c columnReader, rest []byte, err error) {
	if c.wordLength, rest, err = readNumber(b, len(b)); err != nil {
		return c, nil, err
	}
	c.words, rest, err = readBytes(rest)
	return c, rest, err
}

// readBytes reads a length prefix and that number of bytes.
func readBytes(b []byte) (data, rest []byte, err error) {
	length, rest, err := readNumber(b, len(b))
	if err != nil || length > len(rest) {
		return nil, nil, errors.Wrap(errColumns, "cut off")
	}
	return rest[:length], rest[length:], nil
}

// readNumber reads a varint and rejects values greater than limit.
func readNumber(b []byte, limit int) (number int, rest []byte, err error) {
	u, n := binary.Uvarint(b)
	if n <= 0 || u > uint64(limit) {
		return 0, nil, errors.Wrap(errColumns, "number missing or too large")
	}
	return int(u), b[n:], nil
}
