// Package simulation is a deterministic discrete-event simulation of controllers,
// operators, runners, links, disks and clocks. It runs in memory with virtual time, and
// every random choice is drawn from one seed.
//
// The simulated processes drive the real state machines of the control plane (consensus,
// lease, registry, rollout, routeconfig, dissemination), so that a fault in them shows as
// a violated check. The same seed always reproduces the same history. Models lists the
// simulation models, Run runs a range of seeds, and a Result holds the first check that a
// history violated. docs/design/simulation.md lists the parts that are stand-ins and
// therefore not tested here: the transport, the drivers in package controller, and the
// request path of the routers.
//
// Each history runs on one goroutine, that of its Kernel, which executes the events in
// order and owns all state. Run runs several histories in parallel, which share no state.
// Nothing here opens a socket, reads a clock or sleeps.
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

// event is a callback scheduled for a point of virtual time.
type event struct {
	atUs   int64
	serial int64
	run    func()
}

// eventQueue is a heap of events, ordered by time and then by insertion.
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

// Kernel holds the virtual time, the scheduled events and the only source of randomness.
type Kernel struct {
	nowUs  int64
	serial int64
	queue  eventQueue
	random *rand.Rand

	recording bool
	history   []string
	failure   string
}

// NewKernel returns a kernel whose time starts at 1, so that 0 can mean "never".
func NewKernel(seed uint64, recording bool) *Kernel {
	return &Kernel{nowUs: 1, random: rand.New(rand.NewPCG(seed, 0x6265656368)), recording: recording}
}

// NowUs returns the virtual time. Simulated processes don't use it: each has its own
// clock, see Process.NowUs.
func (k *Kernel) NowUs() int64 { return k.nowUs }

// After schedules run after a delay.
func (k *Kernel) After(delayUs int64, run func()) {
	k.serial++
	heap.Push(&k.queue, event{atUs: k.nowUs + max(delayUs, 0), serial: k.serial, run: run})
}

// RunUntil runs the events up to a point of virtual time, or up to the first violated check.
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

// Between draws a number from [low, high].
func (k *Kernel) Between(low, high int64) int64 { return low + k.random.Int64N(high-low+1) }

// Below draws a number from [0, n).
func (k *Kernel) Below(n int) int { return k.random.IntN(n) }

// Chance returns true with a probability of perMille in a thousand.
func (k *Kernel) Chance(perMille int) bool { return k.random.IntN(1000) < perMille }

// Log appends a formatted line with the virtual time to the history, if it is recorded.
func (k *Kernel) Log(format string, args ...any) {
	if k.recording {
		k.history = append(k.history, fmt.Sprintf("%9.3f ms  ", float64(k.nowUs)/float64(Millisecond))+fmt.Sprintf(format, args...))
	}
}

// Fail records a violated check. The first one ends the history.
func (k *Kernel) Fail(format string, args ...any) {
	if k.failure == "" {
		k.failure = fmt.Sprintf(format, args...)
		k.Log("BROKEN: %s", k.failure)
	}
}
