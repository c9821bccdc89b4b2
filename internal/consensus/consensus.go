// Package consensus keeps the control state: one replicated register a part,
// agreed on by ballots among a small group. Registers drives the pure machines of
// this package: it carries asks over the transport, makes records durable before
// words go out, and keeps disk calls apart from everything else, so that a
// hanging disk holds up nothing but this member's own vote.
package consensus

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"math/big"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// Parts is the number of registers: the configuration's and those that
// services are hashed to.
const Parts = 5

// ConfigPart is the part that holds the configuration.
const ConfigPart = 0

// Caller carries an ask to another member.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

type part struct {
	sem     chan struct{}
	acc     Acceptor
	learned atomic.Pointer[messages.Value]
	keeping atomic.Bool

	transfers transfers
	durable   int64 // the committed version on disk, notOnDisk for none; guarded by sem
}

// notOnDisk says that no committed value is on disk.
const notOnDisk = -1

// Registers is one member's view of all registers.
type Registers struct {
	id, addr string
	kind     int
	caller   Caller
	store    Store
	log      logr.Logger
	parts    [Parts]*part
	onLearn  func(part int, v messages.Value)
	life     string
	started  time.Time
	saveUs   atomic.Int64
	saveErr  atomic.Pointer[string]
	retired  atomic.Bool
}

// PartOf tells which part a service belongs to.
func PartOf(service string) int {
	h := uint32(2166136261)
	for i := range len(service) {
		h = (h ^ uint32(service[i])) * 16777619
	}
	return 1 + int(h%(Parts-1))
}

// FirstID is the identity of a member at the very first start.
func FirstID(addr string) string { return addr + "/0" }

// Random gives a short random text.
func Random() string {
	b := make([]byte, 6)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Open loads what the store holds. With found set, an empty store takes part
// in founding the group made of the seeds.
func Open(addr string, kind int, found bool, seeds []string, caller Caller, store Store, log logr.Logger, onLearn func(int, messages.Value)) (*Registers, error) {
	l := &Registers{addr: addr, kind: kind, caller: caller, store: store, log: log, onLearn: onLearn, life: Random(), started: time.Now()}
	first := ""
	if found {
		first = FirstID(addr)
	}
	kept, err := Restore(store, first, func() string { return addr + "/" + Random() })
	if err != nil {
		return nil, err
	}
	if len(kept.Lost) > 0 {
		log.Error(ErrDamaged, "votes are lost; this member goes on under a new identity", "parts", kept.Lost, "id", kept.ID)
	}
	l.id = kept.ID
	for p, rec := range kept.Records {
		at := &part{sem: make(chan struct{}, 1), durable: notOnDisk}
		l.parts[p] = at
		if len(rec.Committed.Group) > 0 {
			at.durable = rec.Committed.Version
		} else if found && l.id == FirstID(addr) {
			// The founders may all restart before the first value: they have to
			// know their group from disk. One whose disk refuses this learns it
			// from the others; save tells the log.
			rec.Committed = Genesis(seeds)
			_ = l.save(p, rec)
		}
		at.acc = Acceptor{ID: l.id, Rec: rec}
		if len(rec.Committed.Group) > 0 {
			v := rec.Committed
			at.learned.Store(&v)
		}
	}
	return l, nil
}

// Genesis is the value before the first: the seeds form the group.
func Genesis(seeds []string) messages.Value {
	var v messages.Value
	for _, s := range seeds {
		v.Group = append(v.Group, messages.Member{ID: FirstID(s), Addr: s})
	}
	return v
}

// ID is this member's identity.
func (l *Registers) ID() string { return l.id }

// Committed gives the newest committed value this node knows.
func (l *Registers) Committed(p int) (messages.Value, bool) {
	v := l.parts[p].learned.Load()
	if v == nil {
		return messages.Value{}, false
	}
	return *v, true
}

// Learn takes in a committed value; older ones are left aside.
func (l *Registers) Learn(p int, v messages.Value) {
	if p < 0 || p >= Parts || len(v.Group) == 0 {
		return
	}
	for {
		cur := l.parts[p].learned.Load()
		if cur != nil && cur.Version >= v.Version {
			return
		}
		if l.parts[p].learned.CompareAndSwap(cur, &v) {
			break
		}
	}
	if l.onLearn != nil {
		l.onLearn(p, v)
	}
	l.keep(p)
}

// keepWait is how long a member waits before it tries again to keep a value
// that its disk refused.
const keepWait = 300 * time.Millisecond

// keep makes what was learned durable, apart from everything else. Agreement
// does not need it, but after a change of group the old one may be gone: then
// the new one must know by itself, after a loss of power too, that it is it.
func (l *Registers) keep(p int) {
	at := l.parts[p]
	if !at.keeping.CompareAndSwap(false, true) {
		return
	}
	go func() {
		for {
			v := at.learned.Load()
			at.sem <- struct{}{}
			err := l.makeDurable(p, *v)
			<-at.sem
			if err != nil {
				time.Sleep(keepWait)
				continue
			}
			at.keeping.Store(false)
			if at.learned.Load() == v || !at.keeping.CompareAndSwap(false, true) {
				return
			}
		}
	}()
}

func (l *Registers) save(p int, rec messages.Record) error {
	began := time.Now()
	err := l.store.Save(p, rec)
	l.noteSave(time.Since(began).Microseconds(), err)
	if err == nil && len(rec.Committed.Group) > 0 {
		l.parts[p].durable = rec.Committed.Version
	}
	return err
}

// Handle answers an ask that came over the transport.
func (l *Registers) Handle(ctx context.Context, body []byte) ([]byte, error) {
	var ask messages.ConsensusRequest
	if _, err := ask.UnmarshalMsg(body); err != nil {
		return nil, errors.Wrap(err, "consensus: ask")
	}
	if ask.Part < 0 || ask.Part >= Parts {
		return nil, errors.New("consensus: no such part")
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	w, err := l.local(ctx, ask)
	if err != nil {
		return nil, err
	}
	return w.MarshalMsg(nil)
}

func (l *Registers) local(ctx context.Context, ask messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	if ask.Step == messages.Commit {
		if len(ask.Value.Group) == 0 && len(ask.Value.Body) > 0 {
			return l.commitNamed(ctx, ask)
		}
		l.Learn(ask.Part, ask.Value)
		if ask.Flush {
			return l.flush(ctx, ask)
		}
		return messages.ConsensusResponse{Verdict: messages.Granted}, nil
	}
	p := l.parts[ask.Part]
	if ask.Step == messages.Read && ask.To == "" {
		return l.give(ask)
	}
	select {
	case p.sem <- struct{}{}:
	case <-ctx.Done():
		return messages.ConsensusResponse{}, errors.Wrap(ErrStore, "busy")
	}
	defer func() { <-p.sem }()
	if v := p.learned.Load(); v != nil {
		p.acc.Fold(*v)
	}
	before := p.acc.Rec
	w, dirty := p.acc.Handle(ask)
	if !dirty {
		return w, l.store.Settle()
	}
	if err := l.save(ask.Part, p.acc.Rec); err != nil {
		p.acc.Rec = before
		return messages.ConsensusResponse{}, err
	}
	return w, nil
}

func (l *Registers) noteSave(us int64, err error) {
	l.saveUs.Store(us)
	fault := ""
	if err != nil {
		fault = err.Error()
	}
	if old := l.saveErr.Swap(&fault); err != nil && (old == nil || *old == "") {
		l.log.Error(err, "the store refuses writes; this member gives no votes meanwhile")
	}
}

// LastSave tells how long the last write to the store took, and how it failed.
func (l *Registers) LastSave() (us int64, fault string) {
	if f := l.saveErr.Load(); f != nil {
		fault = *f
	}
	return l.saveUs.Load(), fault
}

func (l *Registers) send(ctx context.Context, to messages.Member, ask messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	if to.Addr == l.addr {
		return l.local(ctx, ask)
	}
	b, err := l.caller.Call(ctx, to.Addr, l.kind, &ask)
	if err != nil {
		return messages.ConsensusResponse{}, err
	}
	var w messages.ConsensusResponse
	if _, err := w.UnmarshalMsg(b); err != nil {
		return messages.ConsensusResponse{}, err
	}
	return w, nil
}

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
	post := func(asks []Ask) {
		byMember := map[string][]Ask{}
		for _, a := range asks {
			byMember[a.To.ID] = append(byMember[a.To.ID], a)
		}
		for id, list := range byMember {
			if !large(r.Base) || list[0].Ask.Step != messages.Commit {
				continue
			}
			if named[id] { // it fetches the base by pieces, and votes once it has it
				delete(byMember, id)
				continue
			}
			named[id] = true
			list[0].Ask.Value = nameOf(r.Base)
		}
		for _, list := range byMember {
			go func() {
				for _, a := range list {
					w, err := l.send(ctx, a.To, a.Ask)
					if a.Ask.Step == messages.Commit && err == nil {
						continue
					}
					select {
					case words <- heard{a.To, a.Ask.Step, w, err}:
					case <-ctx.Done():
					}
				}
			}()
		}
	}
	post(r.Asks())
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
