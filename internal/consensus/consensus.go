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

type register struct {
	recordLock chan struct{}
	acceptor   Acceptor
	committed  atomic.Pointer[messages.Value]
	persisting atomic.Bool

	transfers      transfers
	durableVersion int64 // the committed version on disk, notOnDisk for none; guarded by sem
}

// notOnDisk says that no committed value is on disk.
const notOnDisk = -1

// Registers is one member's view of all registers.
type Registers struct {
	id, addr      string
	kind          int
	caller        Caller
	store         Store
	log           logr.Logger
	registers     [Parts]*register
	onCommit      func(part int, v messages.Value)
	incarnation   string
	started       time.Time
	lastSaveUs    atomic.Int64
	lastSaveFault atomic.Pointer[string]
	retired       atomic.Bool
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
func Open(addr string, kind int, bootstrap bool, seeds []string, caller Caller, store Store, log logr.Logger, onLearn func(int, messages.Value)) (*Registers, error) {
	registers := &Registers{addr: addr, kind: kind, caller: caller, store: store, log: log, onCommit: onLearn, incarnation: Random(), started: time.Now()}
	bootstrapID := ""
	if bootstrap {
		bootstrapID = FirstID(addr)
	}
	restored, err := Restore(store, bootstrapID, func() string { return addr + "/" + Random() })
	if err != nil {
		return nil, err
	}
	if len(restored.Damaged) > 0 {
		log.Error(ErrDamaged, "votes are lost; this member goes on under a new identity", "parts", restored.Damaged, "id", restored.ID)
	}
	registers.id = restored.ID
	for part, rec := range restored.Records {
		register := &register{recordLock: make(chan struct{}, 1), durableVersion: notOnDisk}
		registers.registers[part] = register
		if len(rec.Committed.Group) > 0 {
			register.durableVersion = rec.Committed.Version
		} else if bootstrap && registers.id == FirstID(addr) {
			// The founders may all restart before the first value: they have to
			// know their group from disk. One whose disk refuses this learns it
			// from the others; save tells the log.
			rec.Committed = Genesis(seeds)
			_ = registers.saveRecord(part, rec)
		}
		register.acceptor = Acceptor{ID: registers.id, Rec: rec}
		if len(rec.Committed.Group) > 0 {
			v := rec.Committed
			register.committed.Store(&v)
		}
	}
	return registers, nil
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
func (r *Registers) ID() string { return r.id }

// Committed gives the newest committed value this node knows.
func (r *Registers) Committed(part int) (messages.Value, bool) {
	v := r.registers[part].committed.Load()
	if v == nil {
		return messages.Value{}, false
	}
	return *v, true
}

// Learn takes in a committed value; older ones are left aside.
func (r *Registers) Learn(part int, v messages.Value) {
	if part < 0 || part >= Parts || len(v.Group) == 0 {
		return
	}
	for {
		cur := r.registers[part].committed.Load()
		if cur != nil && cur.Version >= v.Version {
			return
		}
		if r.registers[part].committed.CompareAndSwap(cur, &v) {
			break
		}
	}
	if r.onCommit != nil {
		r.onCommit(part, v)
	}
	r.persistInBackground(part)
}

// keepWait is how long a member waits before it tries again to keep a value
// that its disk refused.
const persistRetryInterval = 300 * time.Millisecond

// keep makes what was learned durable, apart from everything else. Agreement
// does not need it, but after a change of group the old one may be gone: then
// the new one must know by itself, after a loss of power too, that it is it.
func (r *Registers) persistInBackground(part int) {
	register := r.registers[part]
	if !register.persisting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		for {
			v := register.committed.Load()
			register.recordLock <- struct{}{}
			err := r.persistLocked(part, *v)
			<-register.recordLock
			if err != nil {
				time.Sleep(persistRetryInterval)
				continue
			}
			register.persisting.Store(false)
			if register.committed.Load() == v || !register.persisting.CompareAndSwap(false, true) {
				return
			}
		}
	}()
}

func (r *Registers) saveRecord(part int, rec messages.Record) error {
	began := time.Now()
	err := r.store.Save(part, rec)
	r.recordSaveResult(time.Since(began).Microseconds(), err)
	if err == nil && len(rec.Committed.Group) > 0 {
		r.registers[part].durableVersion = rec.Committed.Version
	}
	return err
}

// Handle answers an ask that came over the transport.
func (r *Registers) Handle(ctx context.Context, body []byte) ([]byte, error) {
	var request messages.ConsensusRequest
	if _, err := request.UnmarshalMsg(body); err != nil {
		return nil, errors.Wrap(err, "consensus: ask")
	}
	if request.Part < 0 || request.Part >= Parts {
		return nil, errors.New("consensus: no such part")
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	response, err := r.handleRequest(ctx, request)
	if err != nil {
		return nil, err
	}
	return response.MarshalMsg(nil)
}

func (r *Registers) handleRequest(ctx context.Context, request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	if request.Step == messages.Commit {
		if len(request.Value.Group) == 0 && len(request.Value.Body) > 0 {
			return r.commitByDigest(ctx, request)
		}
		r.Learn(request.Part, request.Value)
		if request.Flush {
			return r.confirmDurable(ctx, request)
		}
		return messages.ConsensusResponse{Verdict: messages.Granted}, nil
	}
	register := r.registers[request.Part]
	if request.Step == messages.Read && request.To == "" {
		return r.serveRead(request)
	}
	select {
	case register.recordLock <- struct{}{}:
	case <-ctx.Done():
		return messages.ConsensusResponse{}, errors.Wrap(ErrStore, "busy")
	}
	defer func() { <-register.recordLock }()
	if v := register.committed.Load(); v != nil {
		register.acceptor.Learn(*v)
	}
	before := register.acceptor.Rec
	response, dirty := register.acceptor.Handle(request)
	if !dirty {
		return response, r.store.Settle()
	}
	if err := r.saveRecord(request.Part, register.acceptor.Rec); err != nil {
		register.acceptor.Rec = before
		return messages.ConsensusResponse{}, err
	}
	return response, nil
}

func (r *Registers) recordSaveResult(us int64, err error) {
	r.lastSaveUs.Store(us)
	fault := ""
	if err != nil {
		fault = err.Error()
	}
	if old := r.lastSaveFault.Swap(&fault); err != nil && (old == nil || *old == "") {
		r.log.Error(err, "the store refuses writes; this member gives no votes meanwhile")
	}
}

// LastSave tells how long the last write to the store took, and how it failed.
func (r *Registers) LastSave() (us int64, fault string) {
	if f := r.lastSaveFault.Load(); f != nil {
		fault = *f
	}
	return r.lastSaveUs.Load(), fault
}

func (r *Registers) send(ctx context.Context, to messages.Member, request messages.ConsensusRequest) (messages.ConsensusResponse, error) {
	if to.Addr == r.addr {
		return r.handleRequest(ctx, request)
	}
	b, err := r.caller.Call(ctx, to.Addr, r.kind, &request)
	if err != nil {
		return messages.ConsensusResponse{}, err
	}
	var response messages.ConsensusResponse
	if _, err := response.UnmarshalMsg(b); err != nil {
		return messages.ConsensusResponse{}, err
	}
	return response, nil
}
