// Package histogram counts durations in fixed buckets. Recording uses atomic additions
// only, so that hot paths can record at negligible cost.
package histogram

import (
	"sync/atomic"
	"time"
)

// bounds are the inclusive upper bounds of the buckets; longer durations are counted in one
// more bucket without a bound.
var bounds = [...]time.Duration{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// Durations is a histogram of durations. It is safe for concurrent use, and its zero
// value is ready for use.
type Durations struct {
	buckets [len(bounds) + 1]atomic.Int64
	totalUs atomic.Int64
}

// Snapshot is a copy of the counts of a histogram.
type Snapshot struct {
	Count      uint64
	SumSeconds float64
	Cumulative map[float64]uint64 // number of durations up to each bound, by bound in seconds
}

// Observe records one duration.
func (d *Durations) Observe(duration time.Duration) {
	bucket := 0
	for bucket < len(bounds) && duration > bounds[bucket] {
		bucket++
	}
	d.buckets[bucket].Add(1)
	d.totalUs.Add(duration.Microseconds())
}

// Snapshot returns a copy of the counts. A duration recorded concurrently may be included in
// only some of them.
func (d *Durations) Snapshot() Snapshot {
	s := Snapshot{Cumulative: make(map[float64]uint64, len(bounds))}
	for i := range d.buckets {
		s.Count += uint64(d.buckets[i].Load())
		if i < len(bounds) {
			s.Cumulative[bounds[i].Seconds()] = s.Count
		}
	}
	s.SumSeconds = float64(d.totalUs.Load()) / 1e6
	return s
}
