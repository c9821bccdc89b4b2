package tally

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// The format of a segment: a header, then records. A record is the length of its payload and the
// CRC-32C of the payload, four bytes each, little endian, followed by the payload. All numbers in
// a payload are varints.
const (
	segmentHeader    = "beechtide tallies 1\n"
	sealedHeader     = "beechtide tallies 1 sealed\n"
	recordHeaderSize = 8
	// maxPayload bounds the payload of a record, in bytes; a greater length is treated as damage.
	maxPayload = 1 << 22
)

// Kinds of records.
const (
	recordOrigin = 1 // the origin of this replica's own log
	recordRun    = 2 // a run of the log of an origin
)

// errRecord is returned for a record that is torn or damaged.
var errRecord = errors.New("tally: torn or damaged record")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameRecord returns a record: the header followed by the payload.
func frameRecord(payload []byte) []byte {
	record := make([]byte, recordHeaderSize, recordHeaderSize+len(payload))
	binary.LittleEndian.PutUint32(record, uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[4:], crc32.Checksum(payload, castagnoli))
	return append(record, payload...)
}

// readRecord checks the first record and returns its payload and the remaining content. The
// payload is nil at the end of the content.
func readRecord(content []byte) (payload, rest []byte, err error) {
	if len(content) == 0 {
		return nil, nil, nil
	}
	if len(content) < recordHeaderSize {
		return nil, nil, errRecord
	}
	size := int(binary.LittleEndian.Uint32(content))
	sum := binary.LittleEndian.Uint32(content[4:])
	content = content[recordHeaderSize:]
	if size == 0 || size > maxPayload || size > len(content) {
		return nil, nil, errRecord
	}
	payload, rest = content[:size], content[size:]
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, nil, errRecord
	}
	return payload, rest, nil
}

func encodeOrigin(origin Origin) []byte {
	return append([]byte{recordOrigin}, origin...)
}

// encodeRun encodes a run as a payload. The names of its tallies are stored once each, before the
// adds, which refer to them by index.
func encodeRun(run Run) []byte {
	payload := appendText([]byte{recordRun}, string(run.Origin))
	payload = binary.AppendUvarint(payload, run.First)
	nameIndexes := map[string]uint64{}
	var names []string
	for _, add := range run.Adds {
		if _, ok := nameIndexes[add.Tally]; !ok {
			nameIndexes[add.Tally] = uint64(len(names))
			names = append(names, add.Tally)
		}
	}
	payload = binary.AppendUvarint(payload, uint64(len(names)))
	for _, name := range names {
		payload = appendText(payload, name)
	}
	payload = binary.AppendUvarint(payload, uint64(len(run.Adds)))
	for _, add := range run.Adds {
		payload = binary.AppendUvarint(payload, nameIndexes[add.Tally])
		payload = append(payload, add.Key[:]...)
		payload = binary.AppendVarint(payload, add.Amount)
	}
	return payload
}

func appendText(payload []byte, text string) []byte {
	return append(binary.AppendUvarint(payload, uint64(len(text))), text...)
}

// decoder decodes a payload. After the first error it returns zero values.
type decoder struct {
	remaining []byte
	failed    bool
}

func (d *decoder) next(size uint64) []byte {
	if d.failed || size > uint64(len(d.remaining)) {
		d.failed = true
		return nil
	}
	value := d.remaining[:size]
	d.remaining = d.remaining[size:]
	return value
}

func (d *decoder) uvarint() uint64 {
	value, size := binary.Uvarint(d.remaining)
	if size <= 0 {
		d.failed = true
		return 0
	}
	d.next(uint64(size))
	return value
}

func (d *decoder) varint() int64 {
	value, size := binary.Varint(d.remaining)
	if size <= 0 {
		d.failed = true
		return 0
	}
	d.next(uint64(size))
	return value
}

func (d *decoder) text() string { return string(d.next(d.uvarint())) }

// decodeRun decodes the result of encodeRun without its first byte, the record kind.
func decodeRun(payload []byte) (Run, error) {
	d := decoder{remaining: payload}
	run := Run{Origin: Origin(d.text()), First: d.uvarint()}
	names := make([]string, 0, 1)
	for count := d.uvarint(); count > 0 && !d.failed; count-- {
		names = append(names, d.text())
	}
	for count := d.uvarint(); count > 0 && !d.failed; count-- {
		nameIndex, key, amount := d.uvarint(), d.next(uint64(len(Key{}))), d.varint()
		if d.failed || nameIndex >= uint64(len(names)) {
			return Run{}, errRecord
		}
		run.Adds = append(run.Adds, Add{Tally: names[nameIndex], Key: Key(key), Amount: amount})
	}
	if d.failed || len(d.remaining) > 0 || run.First == 0 {
		return Run{}, errRecord
	}
	return run, nil
}

// EncodeRuns encodes runs for a message to another replica.
func EncodeRuns(runs []Run) []byte {
	var out []byte
	for _, run := range runs {
		payload := encodeRun(run)
		out = append(binary.AppendUvarint(out, uint64(len(payload))), payload...)
	}
	return out
}

// DecodeRuns decodes the result of EncodeRuns.
func DecodeRuns(encoded []byte) ([]Run, error) {
	d := decoder{remaining: encoded}
	var runs []Run
	for len(d.remaining) > 0 {
		payload := d.next(d.uvarint())
		if d.failed || len(payload) == 0 || payload[0] != recordRun {
			return nil, errRecord
		}
		run, err := decodeRun(payload[1:])
		if err != nil {
			return nil, err
		}
		runs = append(runs, run)
	}
	return runs, nil
}
