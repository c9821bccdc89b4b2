// The driver of changes and reads: it carries the requests of the pure machines
// (Attempt, Round, Reading) to the members and their responses back.
package consensus

import (
	"context"
	"crypto/rand"
	"math/big"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// Change runs rounds until the change is made, rejected by itself, or ctx ends.
// After ErrUnsure the change may still come into force.
func (r *Registers) Change(ctx context.Context, part int, change Change) (messages.Value, error) {
	attempt := NewAttempt(part, r.incarnation+Random(), change)
	for retries := 0; ; retries++ {
		if ctx.Err() != nil {
			return messages.Value{}, ErrUnsure
		}
		base, ok := r.Committed(part)
		if !ok {
			return messages.Value{}, ErrNoGroup
		}
		round := attempt.Round(base)
		r.runRound(ctx, round)
		switch round.End {
		case Chosen:
			r.broadcastCommit(part, round.Value, round.Base.Group)
		case Superseded:
			r.Learn(part, round.Value)
		}
		switch attempt.Finish(round) {
		case Finished:
			return round.Value, round.Err
		case Backoff:
			backoff(ctx, retries)
		}
	}
}

// pause waits a little longer with each try, by chance, so that those who bid
// against each other come apart.
func backoff(ctx context.Context, retries int) {
	n, _ := rand.Int(rand.Reader, big.NewInt(int64(10+20*min(retries, 8))))
	select {
	case <-time.After(time.Duration(n.Int64()) * time.Millisecond):
	case <-ctx.Done():
	}
}

type memberResponse struct {
	member   messages.Member
	step     messages.Step
	response messages.ConsensusResponse
	err      error
}

// sealWait is how long a sealed refusal waits for the members that have not
// promised yet, before the slot is closed without them.
const sealTimeout = 150 * time.Millisecond

// How long a round, and the word of its result, may take where values are small.
const (
	roundTimeout  = 500 * time.Millisecond
	commitTimeout = time.Second
)

func (r *Registers) runRound(ctx context.Context, round *Round) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout+transferAllowance(round.Base))
	defer cancel()
	responses := make(chan memberResponse, 64)
	referencedTo := map[string]bool{} // members whom the base was named to, as it is large
	send := func(requests []Request) {
		byMember := map[string][]Request{}
		for _, request := range requests {
			byMember[request.To.ID] = append(byMember[request.To.ID], request)
		}
		for id, list := range byMember {
			if !isLarge(round.Base) || list[0].Body.Step != messages.Commit {
				continue
			}
			if referencedTo[id] { // it fetches the base by pieces, and votes once it has it
				delete(byMember, id)
				continue
			}
			referencedTo[id] = true
			list[0].Body.Value = referenceTo(round.Base)
		}
		for _, list := range byMember {
			go func() {
				for _, request := range list {
					response, err := r.send(ctx, request.To, request.Body)
					if request.Body.Step == messages.Commit && err == nil {
						continue
					}
					select {
					case responses <- memberResponse{request.To, request.Body.Step, response, err}:
					case <-ctx.Done():
					}
				}
			}()
		}
	}
	send(round.Requests())
	var sealDue <-chan time.Time
	for round.End == InProgress {
		if round.SealPending() && sealDue == nil {
			sealDue = time.After(sealTimeout)
		}
		select {
		case <-sealDue:
			send(round.Seal())
		case h := <-responses:
			if h.err == nil {
				send(round.Receive(h.member, h.step, h.response))
			}
		case <-ctx.Done():
			return
		}
	}
}

// spread tells the group what has been chosen; who misses it learns it later.
func (r *Registers) broadcastCommit(part int, v messages.Value, old []messages.Member) {
	r.Learn(part, v)
	for _, m := range unionOf(old, v.Group) {
		if m.Addr == r.addr {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), commitTimeout+transferAllowance(v))
			defer cancel()
			_, _ = r.send(ctx, m, messages.ConsensusRequest{Part: part, To: m.ID, Step: messages.Commit, Slot: v.Version, Value: v})
		}()
	}
}

// readWait bounds one look at the members.
const readTimeout = 400 * time.Millisecond

// Read gives the newest value that a majority vouches for.
func (r *Registers) Read(ctx context.Context, part int) (messages.Value, error) {
	for ctx.Err() == nil {
		base, ok := r.Committed(part)
		if !ok {
			return messages.Value{}, ErrNoGroup
		}
		quorumRead := r.readFromGroup(ctx, part, base)
		switch quorumRead.Result() {
		case Newer:
			r.Learn(part, quorumRead.Newer)
			continue
		case Current:
			return base, nil
		case Undecided:
			if _, err := r.Change(ctx, part, func(messages.Value) ([]messages.Member, []byte, error) { return nil, nil, errNoChange }); err != nil && !errors.Is(err, errNoChange) {
				return messages.Value{}, err
			}
			continue
		}
		select {
		case <-time.After(30 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return messages.Value{}, ErrUnsure
}

// look asks the members of the base's group what they hold.
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
	quorumRead := NewReading(base)
	for range base.Group {
		if h := <-responses; h.err == nil {
			quorumRead.Receive(h.member, h.response)
		}
		if found := quorumRead.Result(); found == Current || found == Newer {
			break
		}
	}
	return quorumRead
}

var errNoChange = errors.New("consensus: settled")
