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

func TestRunsAreReadAsTheyWereWritten(t *testing.T) {
	runs, err := DecodeRuns(EncodeRuns(exampleRuns()))
	must.NoError(t, err)
	must.Eq(t, exampleRuns(), runs)
}

func TestEveryChangedByteOfARecordIsFound(t *testing.T) {
	record := sealRecord(encodeRun(exampleRuns()[0]))
	for at := range record {
		changed := append([]byte{}, record...)
		changed[at] ^= 0x10
		_, _, err := openRecord(changed)
		must.Error(t, err, must.Sprintf("byte %d", at))
	}
	for size := 1; size < len(record); size++ {
		_, _, err := openRecord(record[:size])
		must.Error(t, err, must.Sprintf("%d bytes", size))
	}
}

// FuzzDecodeRuns feeds arbitrary bytes: reading them never panics, and what is read is written
// and read as the same.
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

// FuzzReadSegment does the same with the content of a file.
func FuzzReadSegment(f *testing.F) {
	f.Add(encodeSegment(segmentHeader, "a", exampleRuns()))
	f.Add(encodeSegment(sealedHeader, "a", exampleRuns()))
	f.Fuzz(func(_ *testing.T, content []byte) {
		found := readSegment(content)
		set := NewSet()
		for _, run := range found.runs {
			set.Merge(run)
		}
	})
}
