package consensus

import (
	"context"
	"crypto/rand"
	"math/big"
	"time"

	"beechtide.org/beechtide/internal/messages"
)

const (
	// roundTimeout bounds one round where values are small; transferAllowance is
	// added for large ones.
	roundTimeout = 500 * time.Millisecond
	// commitTimeout bounds a commit message where values are small.
	commitTimeout = time.Second
	// sealTimeout is how long a sealed rejection waits for the members that have not
	// promised yet, before the version is closed by committing a sealing value.
	sealTimeout = 150 * time.Millisecond

	// A backoff is drawn at random between zero and a limit: backoffBaseMs, plus
	// backoffStepMs for each retry so far, of which at most backoffMaxSteps count.
	backoffBaseMs   = 10
	backoffStepMs   = 20
	backoffMaxSteps = 8

	// jitterPerByte is the time that a byte of a large value adds to the limit of a
	// backoff.
	jitterPerByte = 2 * time.Microsecond

	// responseBuffer has room for the responses of both phases and for repeated ones, so
	// that senders rarely block.
	responseBuffer = 64
)

// Change runs rounds until the change is committed or rejected, or until ctx ends. It
// returns the committed value, or the error of the change. After ErrOutcomeUnknown the change
// may still be committed.
func (r *Registers) Change(ctx context.Context, index int, change Change) (messages.Value, error) {
	attempt := NewAttempt(index, r.stampPrefix+randomHex(), change)
	for retries := 0; ; retries++ {
		if ctx.Err() != nil {
			return messages.Value{}, ErrOutcomeUnknown
		}
		base, ok := r.Committed(index)
		if !ok {
			return messages.Value{}, ErrNoGroup
		}
		round := attempt.Round(base)
		round.SetLocalValue(r.acceptedValue(ctx, index))
		start := time.Now()
		newRoundDriver(r, round).run(ctx)
		r.counts.RoundDurations.Observe(time.Since(start))
		r.counts.rounds[round.Outcome].Add(1)
		switch round.Outcome {
		case Chosen:
			r.broadcastCommit(index, round.Value, round.Base.Group)
		case Superseded:
			r.Learn(index, round.Value)
		}
		switch attempt.Finish(round) {
		case Finished:
			return round.Value, round.Err
		case Backoff:
			backoff(ctx, retries, round.Value, base)
		}
	}
}

// backoff waits a random time, so that proposers that preempt each other do not retry
// at the same time. Its limit grows with the retries and with the size of the values
// that every vote writes to disk.
func backoff(ctx context.Context, retries int, values ...messages.Value) {
	limit := time.Duration(backoffBaseMs+backoffStepMs*min(retries, backoffMaxSteps)) * time.Millisecond
	sleepJitter(ctx, limit+jitterLimit(values...))
}

// jitterLimit returns the interval over which proposers of a large value start at random, so
// that one of them finishes before the next starts. It is zero for small values.
func jitterLimit(values ...messages.Value) time.Duration {
	bytes := 0
	for _, v := range values {
		if isLarge(v) {
			bytes = max(bytes, len(v.Body))
		}
	}
	return time.Duration(bytes) * jitterPerByte
}

// sleepJitter waits a random time up to a limit, or until ctx ends.
func sleepJitter(ctx context.Context, limit time.Duration) {
	n, _ := rand.Int(rand.Reader, big.NewInt(int64(limit)+1))
	select {
	case <-time.After(time.Duration(n.Int64())):
	case <-ctx.Done():
	}
}

// broadcastCommit learns a committed value and sends it to the members of the old and
// the new group without waiting: a member that misses it catches up later.
func (r *Registers) broadcastCommit(index int, v messages.Value, oldGroup []messages.Member) {
	r.Learn(index, v)
	for _, m := range unionOf(oldGroup, v.Group) {
		if m.Addr == r.addr {
			continue
		}
		go func() {
			// Not derived from the context of Change, which may end before the commit is sent.
			ctx, cancel := context.WithTimeout(context.Background(), commitTimeout+transferAllowance(v))
			defer cancel()
			r.sendCommit(ctx, index, m, v)
		}()
	}
}

// sendCommit sends a committed value to a member. Of a large value it sends the reference
// first, and the value itself only if the member has not accepted it.
func (r *Registers) sendCommit(ctx context.Context, index int, m messages.Member, v messages.Value) {
	request := messages.ConsensusRequest{Part: index, To: m.ID, Step: messages.Commit, Slot: v.Version, Value: v}
	if isLarge(v) {
		request.Value = referenceTo(v)
		response, err := r.send(ctx, m, request)
		if err == nil && response.Version >= v.Version {
			return
		}
		request.Value = v
	}
	_, _ = r.send(ctx, m, request)
}

// memberResponse is a member's response to a request of the given step, or the error of
// the call.
type memberResponse struct {
	member   messages.Member
	step     messages.Step
	response messages.ConsensusResponse
	err      error
}

// roundDriver sends the requests of one round to the members and passes their responses
// to the round. Apart from the goroutines that send, it runs in the goroutine that calls
// run.
type roundDriver struct {
	registers *Registers
	round     *Round
	responses chan memberResponse
	// sentReference has the members that were sent a reference to the base instead of the
	// base itself, because the base is large.
	sentReference map[string]bool
}

func newRoundDriver(registers *Registers, round *Round) *roundDriver {
	return &roundDriver{
		registers:     registers,
		round:         round,
		responses:     make(chan memberResponse, responseBuffer),
		sentReference: map[string]bool{},
	}
}

// run returns once the round has ended, or at the timeout of its phase with the round
// still in progress. The timeout of the accept phase is longer for a large value.
func (d *roundDriver) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(roundTimeout+transferAllowance(d.round.Base), cancel)
	defer timeout.Stop()
	d.send(ctx, d.round.Requests())
	accepting := false
	var sealDue <-chan time.Time
	for d.round.Outcome == InProgress {
		if d.round.accepting && !accepting {
			accepting = true
			if isLarge(d.round.Value) {
				timeout.Reset(roundTimeout + transferAllowance(d.round.Value))
			}
		}
		if d.round.SealPending() && sealDue == nil {
			sealDue = time.After(sealTimeout)
		}
		select {
		case <-sealDue:
			d.send(ctx, d.round.Seal())
		case received := <-d.responses:
			if received.err == nil {
				d.send(ctx, d.round.Receive(received.member, received.step, received.response))
			}
		case <-ctx.Done():
			return
		}
	}
}

// send sends requests to different members concurrently, and those to one member one
// after the other.
func (d *roundDriver) send(ctx context.Context, requests []Request) {
	byMember := map[string][]Request{}
	for _, request := range requests {
		byMember[request.To.ID] = append(byMember[request.To.ID], request)
	}
	for id, memberRequests := range byMember {
		if d.replaceLargeBase(id, memberRequests) {
			go d.sendInOrder(ctx, memberRequests)
		}
	}
}

// replaceLargeBase replaces a large base in a commit request by a reference to it. It
// returns false for a member that was sent one before: that member lacks the base,
// fetches it in chunks, and votes once it has it.
func (d *roundDriver) replaceLargeBase(id string, requests []Request) (send bool) {
	if !isLarge(d.round.Base) || requests[0].Body.Step != messages.Commit {
		return true
	}
	if d.sentReference[id] {
		return false
	}
	d.sentReference[id] = true
	requests[0].Body.Value = referenceTo(d.round.Base)
	return true
}

func (d *roundDriver) sendInOrder(ctx context.Context, requests []Request) {
	for _, request := range requests {
		response, err := d.registers.send(ctx, request.To, request.Body)
		if request.Body.Step == messages.Commit && err == nil {
			continue // the round only needs the response to the request that follows
		}
		select {
		case d.responses <- memberResponse{request.To, request.Body.Step, response, err}:
		case <-ctx.Done():
		}
	}
}
