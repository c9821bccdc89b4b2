package tallies

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
func (s *Service) sendTo(ctx context.Context, addr string) {
	for ctx.Err() == nil && !s.pull(ctx, addr) {
		s.pauseAfterFailure(ctx, addr)
	}
	s.setAsked(addr)
	for ctx.Err() == nil {
		s.mu.Lock()
		next, wanted := s.replica.NextOutgoing(addr)
		changed := s.changed
		s.mu.Unlock()
		if !wanted {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if !s.send(ctx, addr, next) {
			s.pauseAfterFailure(ctx, addr)
		}
	}
}

func (s *Service) setAsked(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[addr] = true
}

func (s *Service) pauseAfterFailure(ctx context.Context, addr string) {
	s.mu.Lock()
	unreachable := s.replica.Unreachable(addr)
	s.mu.Unlock()
	if !unreachable {
		loop.Pause(ctx, retryPause)
		return
	}
	for s.pauseUnless(ctx, unreachablePause, func() bool { return s.replica.NeedsCall(addr) }) {
		if s.probe(ctx, addr) {
			return
		}
	}
}

// probe asks a replica that is out of reach for an answer, as an add that has come since it was
// last called may be acknowledged without it only if it still is.
func (s *Service) probe(ctx context.Context, addr string) bool {
	var ack messages.TallyAck
	return s.callFor(ctx, addr, probeTimeout, transport.KindTallyAppend, &messages.TallyAppend{}, &ack)
}

// send sends one run, and reports whether the replica has got further, or has said where to
// go on.
func (s *Service) send(ctx context.Context, addr string, next tally.Outgoing) bool {
	request := messages.TallyAppend{Origin: string(next.Origin)}
	if len(next.Adds) > 0 {
		request.Runs = tally.EncodeRuns([]tally.Run{next.Run})
	}
	var ack messages.TallyAck
	if !s.call(ctx, addr, transport.KindTallyAppend, &request, &ack) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica.RecordAck(addr, tally.Ack{Held: ack.Held, Durable: ack.Durable, Zone: ack.Zone})
	s.signal()
	lostDisk := ack.Held+1 < next.First
	return len(next.Adds) == 0 || ack.Held >= next.First || lostDisk
}

// call calls another replica, and records whether it was reached.
func (s *Service) call(ctx context.Context, addr string, kind int, request msgp.Marshaler, answer unmarshaler) bool {
	return s.callFor(ctx, addr, callTimeout, kind, request, answer)
}

func (s *Service) callFor(ctx context.Context, addr string, bound time.Duration, kind int, request msgp.Marshaler, answer unmarshaler) bool {
	wait, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	sentUs := s.config.Clock()
	b, err := s.config.Peers.Call(wait, addr, kind, request)
	if err == nil {
		_, err = answer.UnmarshalMsg(b)
	}
	s.reached(addr, err == nil, sentUs)
	return err == nil
}

// unmarshaler is a message that can be read.
type unmarshaler interface {
	UnmarshalMsg(b []byte) ([]byte, error)
}

// reached records how a call to a replica ended that began at sentUs. A failed one that lasted
// far longer than its bound says only that this process stood still.
func (s *Service) reached(addr string, ok bool, sentUs int64) {
	nowUs := s.config.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case ok:
		s.replica.RecordAnswer(addr)
	case nowUs-sentUs < (s.config.CompareTimeout + pauseMargin).Microseconds():
		s.replica.RecordFailure(addr, sentUs, nowUs)
		s.signal()
	}
}

// pull fetches from a replica what this one lacks of all logs.
func (s *Service) pull(ctx context.Context, addr string) bool {
	for ctx.Err() == nil {
		s.mu.Lock()
		vector := s.replica.Set().Vector()
		before := s.replica.Set().Len()
		s.mu.Unlock()
		request := messages.TallyPull{Vector: make([]messages.TallyHeld, 0, len(vector))}
		for origin, held := range vector {
			request.Vector = append(request.Vector, messages.TallyHeld{Origin: string(origin), Held: held})
		}
		var answer messages.TallyRuns
		if !s.call(ctx, addr, transport.KindTallyPull, &request, &answer) {
			return false
		}
		runs, err := tally.DecodeRuns(answer.Runs)
		if err != nil {
			s.config.Log.Error(err, "tallies of another replica cannot be read", "replica", addr)
			return false
		}
		s.merge(runs)
		if !answer.More || s.addCount() == before {
			return true
		}
	}
	return false
}

// addCount returns how many adds this replica has.
func (s *Service) addCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Set().Len()
}

// merge takes runs in.
func (s *Service) merge(runs []tally.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.replica.Set().Len()
	s.replica.Merge(runs)
	added := s.replica.Set().Len() - before
	s.pulled += int64(added)
	if added > 0 {
		s.signal()
	}
}

// Compared takes the digest that another replica has sent with its versions. One that differs
// twice in a row, or after a time without an answer, has something that does not come by
// itself, as after a partition.
func (s *Service) Compared(ctx context.Context, addr string, digest uint64) {
	s.mu.Lock()
	differs := digest != s.replica.Set().Digest()
	before, known := s.differing[addr]
	s.differing[addr] = differs
	s.mu.Unlock()
	if differs && (before || !known) {
		s.pull(ctx, addr)
	}
}

// NotCompared records that a comparison got no answer.
func (s *Service) NotCompared(addr string, sentUs int64) {
	s.mu.Lock()
	delete(s.differing, addr)
	s.mu.Unlock()
	s.reached(addr, false, sentUs)
}

// Digest is what other replicas compare.
func (s *Service) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Set().Digest()
}

// HandleAppend answers another replica that sends its log, once that is on the disk.
func (s *Service) HandleAppend(ctx context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var request messages.TallyAppend
	if _, err := request.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	runs, err := tally.DecodeRuns(request.Runs)
	if err != nil {
		return nil, err
	}
	origin := tally.Origin(request.Origin)
	s.mu.Lock()
	s.replica.Merge(runs)
	held := s.replica.Set().LogLength(origin)
	if len(runs) > 0 {
		s.signal()
	}
	s.mu.Unlock()
	wait, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	s.await(wait, func() bool { return s.replica.Durable(origin) >= held })
	s.mu.Lock()
	defer s.mu.Unlock()
	ack := messages.TallyAck{Held: s.replica.Durable(origin), Durable: s.log != nil, Zone: s.config.Zone}
	return ack.MarshalMsg(nil)
}

// HandlePull answers another replica that asks for what it lacks.
func (s *Service) HandlePull(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var request messages.TallyPull
	if _, err := request.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	vector := tally.Vector{}
	for _, held := range request.Vector {
		vector[tally.Origin(held.Origin)] = held.Held
	}
	s.mu.Lock()
	runs := s.replica.Since(vector, batchSize)
	s.mu.Unlock()
	count := 0
	for _, run := range runs {
		count += len(run.Adds)
	}
	answer := messages.TallyRuns{Runs: tally.EncodeRuns(runs), More: count >= batchSize}
	return answer.MarshalMsg(nil)
}
