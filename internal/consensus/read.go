package consensus

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

const (
	// readTimeout bounds one question to the group.
	readTimeout = 400 * time.Millisecond
	// readRetryInterval is the wait before a read that found no quorum is repeated.
	readRetryInterval = 30 * time.Millisecond
)

// ErrNoChange is what a Change returns where there is nothing to change. It also ends the round that
// a read runs to finish an accepted value.
var ErrNoChange = errors.New("consensus: no change")

// Read is a linearizable read: it gives the newest value committed when it began.
// It retries until ctx ends, and returns ErrUnsure then. A value that is accepted and
// may be committed is brought to an end first.
func (r *Registers) Read(ctx context.Context, part int) (messages.Value, error) {
	waited := false
	for ctx.Err() == nil {
		base, ok := r.Committed(part)
		if !ok {
			return messages.Value{}, ErrNoGroup
		}
		reading := r.readFromGroup(ctx, part, base)
		result := reading.Result()
		r.counts.reads[result].Add(1)
		switch result {
		case Newer:
			r.Learn(part, reading.Newer)
			continue
		case Current:
			return base, nil
		case Undecided:
			if limit := spread(r.accepted(ctx, part)); limit > 0 && !waited {
				waited = true
				pause(ctx, limit) // another member may bring it to its end meanwhile
				continue
			}
			if err := r.finishAccepted(ctx, part); err != nil {
				return messages.Value{}, err
			}
			continue
		}
		select {
		case <-time.After(readRetryInterval):
		case <-ctx.Done():
		}
	}
	return messages.Value{}, ErrUnsure
}

// finishAccepted runs a change that proposes nothing of its own: its round commits
// what a member has accepted, and is rejected where nothing is accepted.
func (r *Registers) finishAccepted(ctx context.Context, part int) error {
	noChange := func(messages.Value) ([]messages.Member, []byte, error) { return nil, nil, ErrNoChange }
	if _, err := r.Change(ctx, part, noChange); err != nil && !errors.Is(err, ErrNoChange) {
		return err
	}
	return nil
}

// readFromGroup asks the members of the base's group once, and returns as soon as
// the result can't change any more.
func (r *Registers) readFromGroup(ctx context.Context, part int, base messages.Value) *Reading {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	responses := make(chan memberResponse, len(base.Group))
	for _, m := range base.Group {
		go func() {
			response, err := r.send(ctx, m, messages.ConsensusRequest{Part: part, To: m.ID, Step: messages.Read, Slot: base.Version + 1})
			responses <- memberResponse{member: m, response: response, err: err}
		}()
	}
	reading := NewReading(base)
	for range base.Group {
		if received := <-responses; received.err == nil {
			reading.Receive(received.member, received.response)
		}
		if result := reading.Result(); result == Current || result == Newer {
			break
		}
	}
	return reading
}
