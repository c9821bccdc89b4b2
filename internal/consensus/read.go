package consensus

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

const (
	// readTimeout bounds one read from the group.
	readTimeout = 400 * time.Millisecond
	// readRetryInterval is the wait before a read without a quorum is retried.
	readRetryInterval = 30 * time.Millisecond
)

// ErrNoChange is returned by a Change that has nothing to change. The round that a read
// runs to finish an accepted value ends with it if no value is accepted.
var ErrNoChange = errors.New("consensus: no change")

// Read is a linearizable read: the value that it returns is at least as new as any that
// was committed when it began. It retries until ctx ends, and then returns ErrOutcomeUnknown. If
// a value is accepted and may be committed, Read finishes its round first.
func (r *Registers) Read(ctx context.Context, index int) (messages.Value, error) {
	waited := false
	for ctx.Err() == nil {
		base, ok := r.Committed(index)
		if !ok {
			return messages.Value{}, ErrNoGroup
		}
		quorumRead := r.readFromGroup(ctx, index, base)
		result := quorumRead.Result()
		r.counts.reads[result].Add(1)
		switch result {
		case Newer:
			r.Learn(index, quorumRead.NewerValue)
			continue
		case Current:
			return base, nil
		case Undecided:
			if limit := jitterLimit(r.acceptedValue(ctx, index)); limit > 0 && !waited {
				waited = true
				sleepJitter(ctx, limit) // another member may finish the round first
				continue
			}
			if err := r.finishAccepted(ctx, index); err != nil {
				return messages.Value{}, err
			}
			continue
		}
		select {
		case <-time.After(readRetryInterval):
		case <-ctx.Done():
		}
	}
	return messages.Value{}, ErrOutcomeUnknown
}

// finishAccepted runs a change that has no value of its own: its round commits the value
// that a member has accepted, and is rejected if no member has accepted one.
func (r *Registers) finishAccepted(ctx context.Context, index int) error {
	noChange := func(messages.Value) ([]messages.Member, []byte, error) { return nil, nil, ErrNoChange }
	if _, err := r.Change(ctx, index, noChange); err != nil && !errors.Is(err, ErrNoChange) {
		return err
	}
	return nil
}

// readFromGroup sends a read to each member of the base's group, and returns as soon as
// further responses can't change the result.
func (r *Registers) readFromGroup(ctx context.Context, index int, base messages.Value) *QuorumRead {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	responses := make(chan memberResponse, len(base.Group))
	for _, m := range base.Group {
		go func() {
			response, err := r.send(ctx, m, messages.ConsensusRequest{Part: index, To: m.ID, Step: messages.Read, Slot: base.Version + 1})
			responses <- memberResponse{member: m, response: response, err: err}
		}()
	}
	quorumRead := NewQuorumRead(base)
	for range base.Group {
		if received := <-responses; received.err == nil {
			quorumRead.Receive(received.member, received.response)
		}
		if result := quorumRead.Result(); result == Current || result == Newer {
			break
		}
	}
	return quorumRead
}
