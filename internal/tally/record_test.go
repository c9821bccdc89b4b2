package tally

import (
	"testing"

	"github.com/shoenig/test/must"
)

func exampleRuns() []Run {
	add := func(name, id string, amount int64) Add {
		return Add{Tally: name, Key: KeyOf(name, id), Amount: amount}
	}
	return []Run{
		{Origin: "a", First: 1, Adds: []Add{add("t1", "x", 1), add("t2", "y", -7), add("t1", "z", 1<<40)}},
		{Origin: "b", First: 300, Adds: []Add{add("t3", "x", 0)}},
	}
}

func TestRunsRoundTrip(t *testing.T) {
	runs, err := DecodeRuns(EncodeRuns(exampleRuns()))
	must.NoError(t, err)
	must.Eq(t, exampleRuns(), runs)
}

func TestDamagedOrTornRecordIsRejected(t *testing.T) {
	record := frameRecord(encodeRun(exampleRuns()[0]))
	for at := range record {
		changed := append([]byte{}, record...)
		changed[at] ^= 0x10
		_, _, err := readRecord(changed)
		must.Error(t, err, must.Sprintf("byte %d", at))
	}
	for size := 1; size < len(record); size++ {
		_, _, err := readRecord(record[:size])
		must.Error(t, err, must.Sprintf("%d bytes", size))
	}
}

// FuzzDecodeRuns decodes arbitrary bytes: decoding must not panic, and decoded runs must
// round-trip.
func FuzzDecodeRuns(f *testing.F) {
	f.Add(EncodeRuns(exampleRuns()))
	f.Add([]byte{1, recordRun})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		runs, err := DecodeRuns(encoded)
		if err != nil {
			return
		}
		again, err := DecodeRuns(EncodeRuns(runs))
		must.NoError(t, err)
		must.Eq(t, runs, again)
		set := NewSet()
		for _, run := range runs {
			set.Merge(run)
		}
	})
}

// FuzzReadSegment reads arbitrary file contents: reading them must not panic.
func FuzzReadSegment(f *testing.F) {
	f.Add(encodeSegment(segmentHeader, "a", exampleRuns()))
	f.Add(encodeSegment(sealedHeader, "a", exampleRuns()))
	f.Fuzz(func(_ *testing.T, content []byte) {
		decoded := decodeSegment(content)
		set := NewSet()
		for _, run := range decoded.runs {
			set.Merge(run)
		}
	})
}
