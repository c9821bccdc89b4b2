package tallies

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/tally"
	"beechtide.org/beechtide/internal/transport"
)

// replicateTo pulls from a replica the adds that this one lacks, and then sends it the adds of this
// replica's log that it lacks, as soon as there are any, until ctx ends.
func (s *Service) replicateTo(ctx context.Context, addr string) {
	for ctx.Err() == nil && !s.pull(ctx, addr) {
		s.pauseAfterFailure(ctx, addr)
	}
	s.setInitialPulled(addr)
	for ctx.Err() == nil {
		s.mu.Lock()
		next, pending := s.replica.NextOutgoing(addr)
		changed := s.changed
		s.mu.Unlock()
		if !pending {
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

func (s *Service) setInitialPulled(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialPulled[addr] = true
}

// pauseAfterFailure pauses before the next call to a replica. The pause for an unreachable replica ends
// early when a probe reaches it.
func (s *Service) pauseAfterFailure(ctx context.Context, addr string) {
	loop.Pause(ctx, retryPause)
	s.mu.Lock()
	unreachable := s.replica.Unreachable(addr)
	s.mu.Unlock()
	if unreachable {
		s.pauseUntil(ctx, unreachablePause, func() bool { return !s.replica.Unreachable(addr) })
	}
}

// send sends one run. It reports whether the replica has advanced, or has responded with an earlier
// position from which to resume.
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
	s.notifyChanged()
	lostDisk := ack.Held+1 < next.First
	return len(next.Adds) == 0 || ack.Held >= next.First || lostDisk
}

// unmarshaler is a message that can be decoded.
type unmarshaler interface {
	UnmarshalMsg(b []byte) ([]byte, error)
}

// call calls another replica and records whether it responded.
func (s *Service) call(ctx context.Context, addr string, kind int, request msgp.Marshaler, answer unmarshaler) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentUs := s.config.Clock()
	b, err := s.config.Peers.Call(ctx, addr, kind, request)
	if err == nil {
		_, err = answer.UnmarshalMsg(b)
	}
	s.recordCallResult(addr, err == nil, sentUs)
	return err == nil
}

// recordCallResult records the result of a call to a replica that was sent at sentUs. A failed call that
// lasted far longer than its timeout is ignored: it shows only that this process was paused.
func (s *Service) recordCallResult(addr string, answered bool, sentUs int64) {
	nowUs := s.config.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		s.replica.RecordAnswer(addr)
		return
	}
	if nowUs-sentUs < (s.config.CompareTimeout + pauseMargin).Microseconds() {
		s.replica.RecordFailure(addr, sentUs, nowUs)
		s.notifyChanged()
	}
}

// pull fetches from a replica the adds of all logs that this one lacks, and reports whether it
// succeeded.
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
			s.config.Log.Error(err, "decode tallies of another replica failed", "replica", addr)
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

// merge merges pulled runs into this replica.
func (s *Service) merge(runs []tally.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.replica.Set().Len()
	s.replica.Merge(runs)
	added := s.replica.Set().Len() - before
	s.pulledAdds += int64(added)
	if added > 0 {
		s.notifyChanged()
	}
}

// HandleDigest checks the digest that another replica has sent with its versions. If the digest differs
// in two comparisons in a row, or in the first one with the replica or after a failed one, the
// replica may have adds that are not sent here by themselves, for example after a partition, and
// they are pulled.
func (s *Service) HandleDigest(ctx context.Context, addr string, digest uint64) {
	s.mu.Lock()
	differs := digest != s.replica.Set().Digest()
	before, known := s.differing[addr]
	s.differing[addr] = differs
	s.mu.Unlock()
	if differs && (before || !known) {
		s.pull(ctx, addr)
	}
}

// RecordComparisonFailure records that a comparison that was sent at sentUs failed.
func (s *Service) RecordComparisonFailure(addr string, sentUs int64) {
	s.mu.Lock()
	delete(s.differing, addr)
	s.mu.Unlock()
	s.recordCallResult(addr, false, sentUs)
}

// Digest returns the digest that other replicas compare with theirs.
func (s *Service) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Set().Digest()
}

// HandleAppend merges the runs that another replica sends, waits until they are on disk or
// appendTimeout has passed, and responds with what is durable.
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
		s.notifyChanged()
	}
	s.mu.Unlock()
	waitCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	s.await(waitCtx, func() bool { return s.replica.Durable(origin) >= held })
	s.mu.Lock()
	defer s.mu.Unlock()
	ack := messages.TallyAck{Held: s.replica.Durable(origin), Durable: s.log != nil, Zone: s.config.Zone}
	return ack.MarshalMsg(nil)
}

// HandlePull returns to another replica the adds that it lacks, up to batchSize.
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
