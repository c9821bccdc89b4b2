// Messages between the replicas of the tallies: each sends its own log to the others, and asks for
// what it lacks of all logs.

package controller

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/tally"
	"beechtide.org/beechtide/internal/transport"
)

// sendTo asks a replica for what this one lacks, and then sends it what it lacks of this one's
// log, at once and for as long as ctx lasts.
func (t *tallies) sendTo(ctx context.Context, addr string) {
	for ctx.Err() == nil && !t.pull(ctx, addr) {
		t.pauseAfterFailure(ctx, addr)
	}
	t.setAsked(addr)
	for ctx.Err() == nil {
		t.mu.Lock()
		next, wanted := t.replica.Next(addr)
		changed := t.changed
		t.mu.Unlock()
		if !wanted {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if !t.send(ctx, addr, next) {
			t.pauseAfterFailure(ctx, addr)
		}
	}
}

func (t *tallies) setAsked(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked[addr] = true
}

func (t *tallies) pauseAfterFailure(ctx context.Context, addr string) {
	t.mu.Lock()
	unreachable := t.replica.Unreachable(addr)
	t.mu.Unlock()
	if !unreachable {
		loop.Pause(ctx, tallyPause)
		return
	}
	for t.pauseUnless(ctx, tallyIdlePause, func() bool { return t.replica.WantsCall(addr) }) {
		if t.probe(ctx, addr) {
			return
		}
	}
}

// probe asks a replica that is out of reach for an answer, as an add that has come since it was
// last called may be acknowledged without it only if it still is.
func (t *tallies) probe(ctx context.Context, addr string) bool {
	var ack messages.TallyAck
	return t.callFor(ctx, addr, tallyProbeWait, transport.KindTallyAppend, &messages.TallyAppend{}, &ack)
}

// send sends one run, and reports whether the replica has got further, or has said where to
// go on.
func (t *tallies) send(ctx context.Context, addr string, next tally.Outgoing) bool {
	request := messages.TallyAppend{Origin: string(next.Origin)}
	if len(next.Adds) > 0 {
		request.Runs = tally.EncodeRuns([]tally.Run{next.Run})
	}
	var ack messages.TallyAck
	if !t.call(ctx, addr, transport.KindTallyAppend, &request, &ack) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replica.Acked(addr, tally.Ack{Held: ack.Held, Durable: ack.Durable, Zone: ack.Zone})
	t.signal()
	lostDisk := ack.Held+1 < next.First
	return len(next.Adds) == 0 || ack.Held >= next.First || lostDisk
}

// call calls another replica, and records whether it was reached.
func (t *tallies) call(ctx context.Context, addr string, kind int, request msgp.Marshaler, answer unmarshaler) bool {
	return t.callFor(ctx, addr, tallyCallWait, kind, request, answer)
}

func (t *tallies) callFor(ctx context.Context, addr string, bound time.Duration, kind int, request msgp.Marshaler, answer unmarshaler) bool {
	wait, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	sentUs := t.controller.clock()
	b, err := t.controller.transport.Call(wait, addr, kind, request)
	if err == nil {
		_, err = answer.UnmarshalMsg(b)
	}
	t.reached(addr, err == nil, sentUs)
	return err == nil
}

// unmarshaler is a message that can be read.
type unmarshaler interface {
	UnmarshalMsg(b []byte) ([]byte, error)
}

// reached records how a call to a replica ended that began at sentUs. A failed one that lasted
// far longer than its bound says only that this process stood still.
func (t *tallies) reached(addr string, ok bool, sentUs int64) {
	nowUs := t.controller.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case ok:
		t.replica.Answered(addr)
	case nowUs-sentUs < (compareWait + tallyLateWait).Microseconds():
		t.replica.Failed(addr, sentUs, nowUs)
		t.signal()
	}
}

// pull fetches from a replica what this one lacks of all logs.
func (t *tallies) pull(ctx context.Context, addr string) bool {
	for ctx.Err() == nil {
		t.mu.Lock()
		vector := t.replica.Set().Vector()
		before := t.replica.Set().Len()
		t.mu.Unlock()
		request := messages.TallyPull{Vector: make([]messages.TallyHeld, 0, len(vector))}
		for origin, held := range vector {
			request.Vector = append(request.Vector, messages.TallyHeld{Origin: string(origin), Held: held})
		}
		var answer messages.TallyRuns
		if !t.call(ctx, addr, transport.KindTallyPull, &request, &answer) {
			return false
		}
		runs, err := tally.DecodeRuns(answer.Runs)
		if err != nil {
			t.controller.log.Error(err, "tallies of another replica cannot be read", "replica", addr)
			return false
		}
		t.merge(runs)
		if !answer.More || t.held() == before {
			return true
		}
	}
	return false
}

// held returns how many adds are held.
func (t *tallies) held() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replica.Set().Len()
}

// merge takes runs in.
func (t *tallies) merge(runs []tally.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.replica.Set().Len()
	t.replica.Merge(runs)
	added := t.replica.Set().Len() - before
	t.pulled += int64(added)
	if added > 0 {
		t.signal()
	}
}

// compared takes the digest that another replica has told with its versions. One that differs
// twice in a row, or after a time without an answer, has something that does not come by
// itself, as after a partition.
func (t *tallies) compared(ctx context.Context, addr string, digest uint64) {
	t.mu.Lock()
	differs := digest != t.replica.Set().Digest()
	before, known := t.differing[addr]
	t.differing[addr] = differs
	t.mu.Unlock()
	if differs && (before || !known) {
		t.pull(ctx, addr)
	}
}

// notCompared records that a comparison got no answer.
func (t *tallies) notCompared(addr string, sentUs int64) {
	t.mu.Lock()
	delete(t.differing, addr)
	t.mu.Unlock()
	t.reached(addr, false, sentUs)
}

// digest is what other replicas compare.
func (t *tallies) digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replica.Set().Digest()
}

// handleAppend answers another replica that sends its log, once that is on the disk.
func (t *tallies) handleAppend(ctx context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var request messages.TallyAppend
	if _, err := request.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	runs, err := tally.DecodeRuns(request.Runs)
	if err != nil {
		return nil, err
	}
	origin := tally.Origin(request.Origin)
	t.mu.Lock()
	t.replica.Merge(runs)
	held := t.replica.Set().Held(origin)
	if len(runs) > 0 {
		t.signal()
	}
	t.mu.Unlock()
	wait, cancel := context.WithTimeout(ctx, tallyAppendWait)
	defer cancel()
	t.await(wait, func() bool { return t.replica.Durable(origin) >= held })
	t.mu.Lock()
	defer t.mu.Unlock()
	ack := messages.TallyAck{Held: t.replica.Durable(origin), Durable: t.log != nil, Zone: t.controller.set.Zone}
	return ack.MarshalMsg(nil)
}

// handlePull answers another replica that asks for what it lacks.
func (t *tallies) handlePull(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var request messages.TallyPull
	if _, err := request.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	vector := tally.Vector{}
	for _, held := range request.Vector {
		vector[tally.Origin(held.Origin)] = held.Held
	}
	t.mu.Lock()
	runs := t.replica.Since(vector, tallyBatch)
	t.mu.Unlock()
	count := 0
	for _, run := range runs {
		count += len(run.Adds)
	}
	answer := messages.TallyRuns{Runs: tally.EncodeRuns(runs), More: count >= tallyBatch}
	return answer.MarshalMsg(nil)
}
