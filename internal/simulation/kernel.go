// Package simulation plays histories of controllers, operators, runners, links, disks
// and clocks in memory, with virtual time and every choice drawn from one seed.
//
// The actors drive the real state machines of the control plane (consensus, lease,
// registry, rollout, routeconfig, dissemination), so that a fault in them shows as a
// failed check; the same seed plays the same history again. Models lists what can be
// played, Run plays a range of seeds, and a Result says what a history broke. What is
// a stand-in, and so not tested here, is named in docs/design/simulation.md: the
// transport, the drivers in package controller, and the routers' request path.
//
// A history has one goroutine, that of its Kernel, which runs one event after the
// other and owns all of its state. Run plays several histories at a time, each with
// state of its own. Nothing here opens a socket, reads a clock or sleeps.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
)

// Time units, in microseconds of virtual time.
const (
	Millisecond = int64(1_000)
	Second      = 1_000 * Millisecond
)

// event is something that happens at a moment.
type event struct {
	atUs   int64
	serial int64
	run    func()
}

// eventQueue is a heap of events by time, then by insertion.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].atUs != q[j].atUs {
		return q[i].atUs < q[j].atUs
	}
	return q[i].serial < q[j].serial
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// Kernel is virtual time, the events to come and the only source of chance.
type Kernel struct {
	nowUs  int64
	serial int64
	queue  eventQueue
	random *rand.Rand

	recording bool
	history   []string
	failure   string
}

// NewKernel starts at time 1, so that 0 can mean "never".
func NewKernel(seed uint64, recording bool) *Kernel {
	return &Kernel{nowUs: 1, random: rand.New(rand.NewPCG(seed, 0x6265656368)), recording: recording}
}

// NowUs is the virtual time, which no actor sees: they have clocks of their own.
func (k *Kernel) NowUs() int64 { return k.nowUs }

// After has something happen after a delay.
func (k *Kernel) After(delayUs int64, run func()) {
	k.serial++
	heap.Push(&k.queue, event{atUs: k.nowUs + max(delayUs, 0), serial: k.serial, run: run})
}

// RunUntil plays the events up to a moment, or up to the first broken check.
func (k *Kernel) RunUntil(untilUs int64) {
	for len(k.queue) > 0 && k.queue[0].atUs <= untilUs && k.failure == "" {
		next := heap.Pop(&k.queue).(event)
		k.nowUs = next.atUs
		next.run()
	}
	if k.failure == "" {
		k.nowUs = untilUs
	}
}

// Between draws from [low, high].
func (k *Kernel) Between(low, high int64) int64 { return low + k.random.Int64N(high-low+1) }

// Below draws from [0, n).
func (k *Kernel) Below(n int) int { return k.random.IntN(n) }

// Chance is true so many times in a thousand.
func (k *Kernel) Chance(perMille int) bool { return k.random.IntN(1000) < perMille }

// Note adds a line to the history where one is recorded.
func (k *Kernel) Note(format string, args ...any) {
	if k.recording {
		k.history = append(k.history, fmt.Sprintf("%9.3f ms  ", float64(k.nowUs)/float64(Millisecond))+fmt.Sprintf(format, args...))
	}
}

// Fail notes a broken check; the first one ends the history.
func (k *Kernel) Fail(format string, args ...any) {
	if k.failure == "" {
		k.failure = fmt.Sprintf(format, args...)
		k.Note("BROKEN: %s", k.failure)
	}
}
