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
