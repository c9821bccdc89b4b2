package tally

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/filesystem"
)

// ErrStore is wrapped by every error of a Log.
var ErrStore = errors.New("tally: storage error")

const (
	segmentPrefix      = "tally-"
	segmentSuffix      = ".log"
	temporarySuffix    = ".new"
	defaultSegmentSize = 4 << 20 // bytes
	maxJoinedRunAdds   = 4096    // adds per record in a rewritten segment
)

// Log stores adds on disk, in segments. Records are appended to the active segment; a full
// segment is rewritten in a compact form and sealed. At each start the segments that are not
// sealed are rewritten as one, since a kill or a loss of power may have left the end of the active
// segment torn or not synced. A segment is written under a temporary name and renamed once it is
// synced.
//
// A Log is not safe for concurrent use.
type Log struct {
	files       filesystem.FileSystem
	segmentSize int
	origin      Origin

	active     filesystem.File // nil after an error
	lastNumber int64           // of the newest segment
	activeSize int             // bytes of the active segment
	totalSize  int64           // bytes of all segments
}

// OpenResult is the result of OpenLog: the log and the content that was read from disk.
type OpenResult struct {
	Log *Log
	Set *Set
	// Origin names this replica's log. It is new if the disk was empty or damaged.
	Origin Origin
	// DamagedSegments lists the sealed segments that could not be read to their end; the adds after
	// the damage have to be fetched from other replicas.
	DamagedSegments []string
}

// OpenLog reads a directory and creates a new segment in it. newOrigin returns an origin that was
// never used. If only the new segment cannot be created, for example on a full disk, OpenLog
// returns the content together with the error: the caller then has to call Resume and rewrite
// all adds before any of them counts as durable.
func OpenLog(files filesystem.FileSystem, newOrigin func() Origin) (OpenResult, error) {
	return openSegments(files, newOrigin, defaultSegmentSize)
}

func openSegments(files filesystem.FileSystem, newOrigin func() Origin, segmentSize int) (OpenResult, error) {
	numbers, err := listSegments(files)
	if err != nil {
		return OpenResult{}, err
	}
	opened := OpenResult{Log: &Log{files: files, segmentSize: segmentSize}, Set: NewSet()}
	intact := true
	var unsealedRuns []Run // content of the segments that are not sealed, to be rewritten
	var replaced []int64   // numbers of these segments
	for _, number := range numbers {
		content, err := files.Read(segmentName(number))
		if err != nil {
			return OpenResult{}, storeError(err)
		}
		decoded := decodeSegment(content)
		opened.applySegment(decoded)
		opened.Log.lastNumber = number
		intact = intact && decoded.intact
		if !decoded.sealed {
			unsealedRuns, replaced = append(unsealedRuns, decoded.runs...), append(replaced, number)
			continue
		}
		opened.Log.totalSize += int64(len(content))
		if !decoded.intact {
			opened.DamagedSegments = append(opened.DamagedSegments, segmentName(number))
		}
	}
	if opened.Origin == "" || !intact {
		opened.Origin = newOrigin()
	}
	return opened, opened.beginFirstSegment(unsealedRuns, replaced)
}

// beginFirstSegment writes the first segment since the start of the process and removes the
// segments that it replaces.
func (o *OpenResult) beginFirstSegment(runs []Run, replaced []int64) error {
	if err := o.Log.beginSegment(o.Origin, joinRuns(runs)); err != nil {
		return err
	}
	for _, number := range replaced {
		if err := o.Log.files.Remove(segmentName(number)); err != nil {
			return storeError(err)
		}
	}
	return nil
}

// joinRuns merges adjacent runs of the same origin, up to maxJoinedRunAdds adds each.
func joinRuns(runs []Run) []Run {
	var joined []Run
	last := map[Origin]int{} // index in joined of the last run of each origin
	for _, run := range runs {
		i, ok := last[run.Origin]
		if ok && joined[i].First+uint64(len(joined[i].Adds)) == run.First && len(joined[i].Adds) < maxJoinedRunAdds {
			joined[i].Adds = append(joined[i].Adds, run.Adds...)
			continue
		}
		last[run.Origin] = len(joined)
		joined = append(joined, Run{Origin: run.Origin, First: run.First, Adds: slices.Clone(run.Adds)})
	}
	return joined
}

// applySegment applies the content of a segment.
func (o *OpenResult) applySegment(content segmentContent) {
	if content.origin != "" {
		o.Origin = content.origin
	}
	for _, run := range content.runs {
		o.Set.Merge(run)
	}
}

// segmentContent is the decoded content of a segment file.
type segmentContent struct {
	origin Origin
	runs   []Run
	sealed bool // it was full and has been compacted
	intact bool // all of its records were valid
}

// decodeSegment decodes the records of a segment. For a damaged segment it returns the records
// before the damage. The header records whether the segment is sealed.
func decodeSegment(content []byte) segmentContent {
	remaining, sealed := bytes.CutPrefix(content, []byte(sealedHeader))
	result := segmentContent{sealed: sealed}
	if !sealed {
		var ok bool
		if remaining, ok = bytes.CutPrefix(content, []byte(segmentHeader)); !ok {
			return result
		}
	}
	for {
		payload, rest, err := readRecord(remaining)
		if err != nil || payload != nil && !result.applyRecord(payload) {
			return result
		}
		if payload == nil {
			result.intact = true
			return result
		}
		remaining = rest
	}
}

// applyRecord applies a record and reports whether it was valid. Records of unknown kinds are
// skipped.
func (s *segmentContent) applyRecord(payload []byte) bool {
	switch payload[0] {
	case recordOrigin:
		s.origin = Origin(payload[1:])
	case recordRun:
		run, err := decodeRun(payload[1:])
		if err != nil {
			return false
		}
		s.runs = append(s.runs, run)
	}
	return true
}

// Write makes runs durable. After an error it is undefined which of them are on disk, and Resume
// must be called before the next Write.
func (l *Log) Write(runs []Run) error {
	if l.active == nil {
		return errors.Wrap(ErrStore, "write to the log without an active segment")
	}
	var records []byte
	for _, run := range runs {
		records = append(records, frameRecord(encodeRun(run))...)
	}
	if err := l.appendRecords(records); err != nil {
		l.closeActive()
		return storeError(err)
	}
	if l.activeSize >= l.segmentSize {
		return l.compact()
	}
	return nil
}

// compact rewrites the active segment with its runs joined, which takes a third of the bytes. If
// the result is at least half a segment it is sealed and a new active segment is created. The old
// segment is removed.
func (l *Log) compact() error {
	oldNumber := l.lastNumber
	content, err := l.files.Read(segmentName(oldNumber))
	if err != nil {
		return storeError(err)
	}
	runs := joinRuns(decodeSegment(content).runs)
	l.closeActive()
	l.totalSize -= int64(len(content))
	sealed := encodeSegment(sealedHeader, l.origin, runs)
	if len(sealed) < l.segmentSize/2 {
		err = l.beginSegment(l.origin, runs)
	} else if err = l.seal(sealed); err == nil {
		err = l.beginSegment(l.origin, nil)
	}
	if err != nil {
		l.totalSize += int64(len(content))
		return err
	}
	return storeError(l.files.Remove(segmentName(oldNumber)))
}

// seal writes a sealed segment, to which no records are appended.
func (l *Log) seal(content []byte) error {
	l.lastNumber++
	file, err := l.create(segmentName(l.lastNumber), content)
	if err != nil {
		return err
	}
	l.totalSize += int64(len(content))
	return storeError(file.Close())
}

// appendRecords appends records to the active segment and syncs it.
func (l *Log) appendRecords(records []byte) error {
	if _, err := l.active.Write(records); err != nil {
		return err
	}
	l.activeSize += len(records)
	l.totalSize += int64(len(records))
	return l.active.Sync()
}

// closeActive closes the active segment without sealing it.
func (l *Log) closeActive() {
	_ = l.active.Close()
	l.active = nil
}

// Resume creates an active segment if there is none, as after an error.
func (l *Log) Resume() error {
	if l.active != nil {
		return nil
	}
	return l.beginSegment(l.origin, nil)
}

// beginSegment creates the next segment with the given runs, durably, and makes it the active
// one.
func (l *Log) beginSegment(origin Origin, runs []Run) error {
	l.origin = origin
	l.lastNumber++
	content := encodeSegment(segmentHeader, origin, runs)
	file, err := l.create(segmentName(l.lastNumber), content)
	if err != nil {
		return err
	}
	l.active, l.activeSize = file, len(content)
	l.totalSize += int64(len(content))
	return nil
}

func encodeSegment(header string, origin Origin, runs []Run) []byte {
	content := append([]byte(header), frameRecord(encodeOrigin(origin))...)
	for _, run := range runs {
		content = append(content, frameRecord(encodeRun(run))...)
	}
	return content
}

// create creates a file with the given content, durably, and returns it open for appending.
func (l *Log) create(name string, content []byte) (filesystem.File, error) {
	file, err := l.files.Create(name + temporarySuffix)
	if err != nil {
		return nil, storeError(err)
	}
	if err := l.publish(file, name, content); err != nil {
		_ = file.Close()
		_ = l.files.Remove(name + temporarySuffix)
		return nil, storeError(err)
	}
	return file, nil
}

// publish writes and syncs a temporary file and renames it to its final name.
func (l *Log) publish(file filesystem.File, name string, content []byte) error {
	if _, err := file.Write(content); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := l.files.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return l.files.Sync()
}

// Size returns the size of all segments in bytes.
func (l *Log) Size() int64 { return l.totalSize }

// Close closes the active segment.
func (l *Log) Close() {
	if l.active != nil {
		l.closeActive()
	}
}

// listSegments returns the numbers of the segments, oldest first, and removes the temporary files
// of interrupted writes.
func listSegments(files filesystem.FileSystem) ([]int64, error) {
	names, err := files.List()
	if err != nil {
		return nil, storeError(err)
	}
	var numbers []int64
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			_ = files.Remove(name)
			continue
		}
		text, isSegment := strings.CutPrefix(name, segmentPrefix)
		text, isLog := strings.CutSuffix(text, segmentSuffix)
		if number, err := strconv.ParseInt(text, 10, 64); err == nil && isSegment && isLog {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

func segmentName(number int64) string {
	return fmt.Sprintf("%s%08d%s", segmentPrefix, number, segmentSuffix)
}

func storeError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(ErrStore, err.Error())
}
