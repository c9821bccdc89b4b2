package transport

import (
	"bytes"
	"encoding/binary"

	"github.com/pkg/errors"
)

// splitColumns rearranges records of text, one after the other, so that a general
// compressor makes much less of them: what all records have in common stays in one
// stream, and each field that differs goes to a column of its own. Records are not
// parsed: a word is a run of letters and digits, a word that occurs rarely is taken for
// the content of a field, and the bytes before it tell which field that is. joinColumns
// restores any input exactly.
//
// The result is the length of the stream, the stream, and the columns in the order in
// which the stream refers to them. Each column is the number of an earlier one with the
// same words, from 1 on, or else 0, the length of its words (0 where they differ, and end
// with columnEnd), its length in bytes, and the words. Numbers are unsigned varints.
func splitColumns(b []byte) []byte {
	common := commonWords(b)
	split := columnSplitter{stream: make([]byte, 0, len(b)/2), columns: map[columnContext]*column{}}
	for len(b) > 0 {
		word := leadingWord(b)
		switch {
		case len(word) == 0:
			split.addByte(b[0])
			b = b[1:]
			continue
		case len(word) < minFieldWord || common[string(word)] >= commonFrom:
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
	streamEscape = 0xc1 // msgp has no use for it, so that it is rare
	escapedField = 'f'  // the next word of a column stands here
	escapedByte  = 'b'  // streamEscape itself

	// columnEnd ends a word in a column whose words differ in length.
	columnEnd = '\n'

	// minFieldWord is the least length of a word that goes to a column, and commonFrom
	// the number of occurrences from which on a word stays in the stream.
	minFieldWord = 3
	commonFrom   = 8

	// contextBytes is how many bytes of the stream before a field tell which it is.
	contextBytes = 8
)

var errColumns = errors.New("transport: malformed columns")

type columnContext [contextBytes]byte

// contextOf returns the end of the stream so far.
func contextOf(stream []byte) (c columnContext) {
	copy(c[:], stream[max(len(stream)-contextBytes, 0):])
	return c
}

type column struct {
	words      []byte // without columnEnd
	lengths    []int
	wordLength int // of all words; 0 where they differ
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
	numbers := map[string]uint64{} // of columns, by their encoding
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

// appendWords appends the length of the words, that of the column, and the words.
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

// commonWords counts how often each word occurs.
func commonWords(b []byte) map[string]int {
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

// leadingWord returns the letters and digits that b begins with.
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

// joinColumns undoes splitColumns. The result has maxBytes bytes at most.
func joinColumns(b []byte, maxBytes int) ([]byte, error) {
	stream, rest, err := takeBytes(b)
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
	rest    []byte // the columns that the stream has not referred to yet
	columns map[columnContext]*columnReader
	opened  []columnReader // all columns so far, as they begin
}

type columnReader struct {
	words      []byte
	wordLength int
}

// appendEscaped appends what the escape sequence stands for whose second byte is at the
// given place of the stream.
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
	number, rest, err := takeNumber(j.rest, len(j.opened))
	if err != nil {
		return nil, err
	}
	var c columnReader
	if number > 0 {
		c = j.opened[number-1]
	} else if c, rest, err = takeColumn(rest); err != nil {
		return nil, err
	}
	j.rest = rest
	j.opened = append(j.opened, c)
	return &c, nil
}

func takeColumn(b []byte) (c columnReader, rest []byte, err error) {
	if c.wordLength, rest, err = takeNumber(b, len(b)); err != nil {
		return c, nil, err
	}
	c.words, rest, err = takeBytes(rest)
	return c, rest, err
}

// takeBytes reads a length and so many bytes.
func takeBytes(b []byte) (taken, rest []byte, err error) {
	length, rest, err := takeNumber(b, len(b))
	if err != nil || length > len(rest) {
		return nil, nil, errors.Wrap(errColumns, "cut off")
	}
	return rest[:length], rest[length:], nil
}

// takeNumber reads a number that is no greater than most.
func takeNumber(b []byte, most int) (number int, rest []byte, err error) {
	u, n := binary.Uvarint(b)
	if n <= 0 || u > uint64(most) {
		return 0, nil, errors.Wrap(errColumns, "number missing or too large")
	}
	return int(u), b[n:], nil
}
