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

// ErrStore is what errors.Is finds in every error of a Log.
var ErrStore = errors.New("tally: store")

const (
	segmentPrefix   = "tally-"
	segmentSuffix   = ".log"
	temporarySuffix = ".new"
	defaultSegment  = 4 << 20 // bytes
	joinedRunLength = 4096    // adds a record, where a segment is written anew
)

// Log keeps adds on a disk, in segments. The active one grows at its end; a full one is
// written anew in a compact form and sealed. At each start the segments that are not sealed
// are written anew as one, since a kill or a loss of power may have left the end of the active
// one torn or not synced. A segment is written under a temporary name and renamed once it is
// synced.
//
// A Log is not safe for concurrent use.
type Log struct {
	files       filesystem.FileSystem
	segmentSize int
	origin      Origin

	active filesystem.File // nil after an error
	number int64
	size   int   // bytes of the active segment
	total  int64 // bytes of all segments
}

// Opened is what a disk held.
type Opened struct {
	Log *Log
	Set *Set
	// Origin names this replica's log. It is new where the disk was empty or damaged.
	Origin Origin
	// Damaged names the segments that could not be read to their end; what follows the
	// damage is fetched from other replicas.
	Damaged []string
}

// OpenLog reads a directory and begins a segment in it. newOrigin makes a name for the own
// log that was never used. Where only the segment cannot be begun, as on a full disk, what was
// read comes with the error: Resume is to be called, and everything written again, before any
// of it counts as durable.
func OpenLog(files filesystem.FileSystem, newOrigin func() Origin) (Opened, error) {
	return openSegments(files, newOrigin, defaultSegment)
}

func openSegments(files filesystem.FileSystem, newOrigin func() Origin, segmentSize int) (Opened, error) {
	numbers, err := segments(files)
	if err != nil {
		return Opened{}, err
	}
	opened := Opened{Log: &Log{files: files, segmentSize: segmentSize}, Set: NewSet()}
	intact := true
	var open []Run       // of the segments that are not full, to be written anew
	var replaced []int64 // these segments
	for _, number := range numbers {
		content, err := files.Read(segmentName(number))
		if err != nil {
			return Opened{}, storeError(err)
		}
		found := readSegment(content)
		opened.take(found)
		opened.Log.number = number
		intact = intact && found.intact
		if !found.sealed {
			open, replaced = append(open, found.runs...), append(replaced, number)
			continue
		}
		opened.Log.total += int64(len(content))
		if !found.intact {
			opened.Damaged = append(opened.Damaged, segmentName(number))
		}
	}
	if opened.Origin == "" || !intact {
		opened.Origin = newOrigin()
	}
	return opened, opened.begin(open, replaced)
}

// begin writes the first segment of this life and removes those that it replaces.
func (o *Opened) begin(runs []Run, replaced []int64) error {
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

// joinRuns joins runs that follow one another in the log of an origin.
func joinRuns(runs []Run) []Run {
	var joined []Run
	last := map[Origin]int{} // by origin, its newest run in joined
	for _, run := range runs {
		i, ok := last[run.Origin]
		if ok && joined[i].First+uint64(len(joined[i].Adds)) == run.First && len(joined[i].Adds) < joinedRunLength {
			joined[i].Adds = append(joined[i].Adds, run.Adds...)
			continue
		}
		last[run.Origin] = len(joined)
		joined = append(joined, Run{Origin: run.Origin, First: run.First, Adds: slices.Clone(run.Adds)})
	}
	return joined
}

// take takes what a segment holds.
func (o *Opened) take(found segment) {
	if found.origin != "" {
		o.Origin = found.origin
	}
	for _, run := range found.runs {
		o.Set.Merge(run)
	}
}

// segment is the content of a segment.
type segment struct {
	origin Origin
	runs   []Run
	sealed bool // it was full, and has been written anew
	intact bool // it was read to its end
}

// readSegment reads the records of a segment. Of a damaged one it returns what stands before
// the damage; one that was sealed says so in its header too.
func readSegment(content []byte) segment {
	left, sealed := bytes.CutPrefix(content, []byte(sealedHeader))
	found := segment{sealed: sealed}
	if !sealed {
		var ok bool
		if left, ok = bytes.CutPrefix(content, []byte(segmentHeader)); !ok {
			return found
		}
	}
	for {
		payload, rest, err := openRecord(left)
		if err != nil || payload != nil && !found.take(payload) {
			return found
		}
		if payload == nil {
			found.intact = true
			return found
		}
		left = rest
	}
}

// take reads a record. Records of kinds that this version does not know are left.
func (s *segment) take(payload []byte) bool {
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

// Write makes runs durable. After an error nothing is known of them, and Resume is to be called
// before the next Write.
func (l *Log) Write(runs []Run) error {
	if l.active == nil {
		return errors.Wrap(ErrStore, "no segment is open")
	}
	var records []byte
	for _, run := range runs {
		records = append(records, sealRecord(encodeRun(run))...)
	}
	if err := l.add(records); err != nil {
		l.abandon()
		return storeError(err)
	}
	if l.size >= l.segmentSize {
		return l.compact()
	}
	return nil
}

// compact writes the active segment anew with its runs joined, which takes a third of the
// bytes, seals that if it is still half full, and removes the former one.
func (l *Log) compact() error {
	former := l.number
	content, err := l.files.Read(segmentName(former))
	if err != nil {
		return storeError(err)
	}
	runs := joinRuns(readSegment(content).runs)
	l.abandon()
	l.total -= int64(len(content))
	sealed := encodeSegment(sealedHeader, l.origin, runs)
	if len(sealed) < l.segmentSize/2 {
		err = l.beginSegment(l.origin, runs)
	} else if err = l.seal(sealed); err == nil {
		err = l.beginSegment(l.origin, nil)
	}
	if err != nil {
		l.total += int64(len(content))
		return err
	}
	return storeError(l.files.Remove(segmentName(former)))
}

// seal writes a segment to which nothing is added.
func (l *Log) seal(content []byte) error {
	l.number++
	file, err := l.create(segmentName(l.number), content)
	if err != nil {
		return err
	}
	l.total += int64(len(content))
	return storeError(file.Close())
}

// add writes and syncs records.
func (l *Log) add(records []byte) error {
	if _, err := l.active.Write(records); err != nil {
		return err
	}
	l.size += len(records)
	l.total += int64(len(records))
	return l.active.Sync()
}

// abandon leaves the active segment as it is.
func (l *Log) abandon() {
	_ = l.active.Close()
	l.active = nil
}

// Resume begins a segment where none is open, as after an error.
func (l *Log) Resume() error {
	if l.active != nil {
		return nil
	}
	return l.beginSegment(l.origin, nil)
}

// beginSegment makes the next segment, durable with the given runs, the active one.
func (l *Log) beginSegment(origin Origin, runs []Run) error {
	l.origin = origin
	l.number++
	content := encodeSegment(segmentHeader, origin, runs)
	file, err := l.create(segmentName(l.number), content)
	if err != nil {
		return err
	}
	l.active, l.size = file, len(content)
	l.total += int64(len(content))
	return nil
}

func encodeSegment(header string, origin Origin, runs []Run) []byte {
	content := append([]byte(header), sealRecord(encodeOrigin(origin))...)
	for _, run := range runs {
		content = append(content, sealRecord(encodeRun(run))...)
	}
	return content
}

// create makes a durable file. It is open for more.
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

// publish writes and syncs a new file and gives it its name.
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

// Size returns how many bytes all segments have.
func (l *Log) Size() int64 { return l.total }

// Close closes the active segment.
func (l *Log) Close() {
	if l.active != nil {
		l.abandon()
	}
}

// segments lists the numbers of the segments, the oldest first, and removes the temporary
// files of interrupted writes.
func segments(files filesystem.FileSystem) ([]int64, error) {
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
