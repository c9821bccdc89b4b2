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
func (l *Registers) Change(ctx context.Context, p int, change Change) (messages.Value, error) {
	attempt := NewAttempt(p, l.life+Random(), change)
	for try := 0; ; try++ {
		if ctx.Err() != nil {
			return messages.Value{}, ErrUnsure
		}
		base, ok := l.Committed(p)
		if !ok {
			return messages.Value{}, ErrNoGroup
		}
		r := attempt.Round(base)
		l.run(ctx, r)
		switch r.End {
		case Chosen:
			l.spread(p, r.Value, r.Base.Group)
		case Overtook:
			l.Learn(p, r.Value)
		}
		switch attempt.Close(r) {
		case Finished:
			return r.Value, r.Err
		case Pause:
			pause(ctx, try)
		}
	}
}

// pause waits a little longer with each try, by chance, so that those who bid
// against each other come apart.
func pause(ctx context.Context, try int) {
	n, _ := rand.Int(rand.Reader, big.NewInt(int64(10+20*min(try, 8))))
	select {
	case <-time.After(time.Duration(n.Int64()) * time.Millisecond):
	case <-ctx.Done():
	}
}

type heard struct {
	from messages.Member
	step messages.Step
	word messages.ConsensusResponse
	err  error
}

// sealWait is how long a sealed refusal waits for the members that have not
// promised yet, before the slot is closed without them.
const sealWait = 150 * time.Millisecond

// How long a round, and the word of its result, may take where values are small.
const (
	roundWait  = 500 * time.Millisecond
	spreadWait = time.Second
)

func (l *Registers) run(ctx context.Context, r *Round) {
	ctx, cancel := context.WithTimeout(ctx, roundWait+transferWait(r.Base))
	defer cancel()
	words := make(chan heard, 64)
	named := map[string]bool{} // members whom the base was named to, as it is large
	post := func(asks []Request) {
		byMember := map[string][]Request{}
		for _, a := range asks {
			byMember[a.To.ID] = append(byMember[a.To.ID], a)
		}
		for id, list := range byMember {
			if !large(r.Base) || list[0].Body.Step != messages.Commit {
				continue
			}
			if named[id] { // it fetches the base by pieces, and votes once it has it
				delete(byMember, id)
				continue
			}
			named[id] = true
			list[0].Body.Value = nameOf(r.Base)
		}
		for _, list := range byMember {
			go func() {
				for _, a := range list {
					w, err := l.send(ctx, a.To, a.Body)
					if a.Body.Step == messages.Commit && err == nil {
						continue
					}
					select {
					case words <- heard{a.To, a.Body.Step, w, err}:
					case <-ctx.Done():
					}
				}
			}()
		}
	}
	post(r.Requests())
	var doubt <-chan time.Time
	for r.End == Going {
		if r.InDoubt() && doubt == nil {
			doubt = time.After(sealWait)
		}
		select {
		case <-doubt:
			post(r.Seal())
		case h := <-words:
			if h.err == nil {
				post(r.Hear(h.from, h.step, h.word))
			}
		case <-ctx.Done():
			return
		}
	}
}

// spread tells the group what has been chosen; who misses it learns it later.
func (l *Registers) spread(p int, v messages.Value, old []messages.Member) {
	l.Learn(p, v)
	for _, m := range union(old, v.Group) {
		if m.Addr == l.addr {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), spreadWait+transferWait(v))
			defer cancel()
			_, _ = l.send(ctx, m, messages.ConsensusRequest{Part: p, To: m.ID, Step: messages.Commit, Slot: v.Version, Value: v})
		}()
	}
}

// readWait bounds one look at the members.
const readWait = 400 * time.Millisecond

// Read gives the newest value that a majority vouches for.
func (l *Registers) Read(ctx context.Context, p int) (messages.Value, error) {
	for ctx.Err() == nil {
		base, ok := l.Committed(p)
		if !ok {
			return messages.Value{}, ErrNoGroup
		}
		look := l.look(ctx, p, base)
		switch look.Found() {
		case Newer:
			l.Learn(p, look.Newer)
			continue
		case Current:
			return base, nil
		case Unsettled:
			if _, err := l.Change(ctx, p, func(messages.Value) ([]messages.Member, []byte, error) { return nil, nil, errSettled }); err != nil && !errors.Is(err, errSettled) {
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
func (l *Registers) look(ctx context.Context, p int, base messages.Value) *Reading {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	words := make(chan heard, len(base.Group))
	for _, m := range base.Group {
		go func() {
			w, err := l.send(ctx, m, messages.ConsensusRequest{Part: p, To: m.ID, Step: messages.Read, Slot: base.Version + 1})
			words <- heard{from: m, word: w, err: err}
		}()
	}
	look := NewReading(base)
	for range base.Group {
		if h := <-words; h.err == nil {
			look.Hear(h.from, h.word)
		}
		if found := look.Found(); found == Current || found == Newer {
			break
		}
	}
	return look
}

var errSettled = errors.New("consensus: settled")
