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

// Parts is the number of registers: that of the configuration and those that
// services are hashed to.
const Parts = 5

// ConfigPart is the register that holds the configuration.
const ConfigPart = 0

// Caller sends a request to another member and returns the encoded response.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// register is this member's state of one register.
type register struct {
	// recordLock guards acceptor and durableVersion, and is held while the record is
	// written. It is a channel of one slot so that waiting for it ends with a context.
	recordLock     chan struct{}
	acceptor       Acceptor
	durableVersion int64 // the committed version on disk, or notOnDisk

	committed  atomic.Pointer[messages.Value] // the newest known, which may be ahead of the acceptor
	persisting atomic.Bool                    // a goroutine writes committed to disk
	transfers  *transfers
}

// notOnDisk is the durableVersion while no committed value is on disk.
const notOnDisk = -1

func newRegister() *register {
	return &register{recordLock: make(chan struct{}, 1), durableVersion: notOnDisk, transfers: newTransfers()}
}

// lock waits for the record until ctx ends.
func (r *register) lock(ctx context.Context) error {
	select {
	case r.recordLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrStore, "busy")
	}
}

// tryLock takes the record if nobody holds it.
func (r *register) tryLock() bool {
	select {
	case r.recordLock <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *register) unlock() { <-r.recordLock }

// Registers is one member's view of all registers: acceptor, proposer and learner.
type Registers struct {
	id, addr    string
	kind        int // the kind of message that requests are sent under
	caller      Caller
	store       Store
	log         logr.Logger
	registers   [Parts]*register
	onCommit    func(part int, v messages.Value)
	incarnation string // tells the proposals of this process from those of others
	started     time.Time

	lastSaveUs    atomic.Int64
	lastSaveFault atomic.Pointer[string]
	retired       atomic.Bool
	counts        Counts
}

// PartOf returns the register that a service belongs to: FNV-1a over its name.
func PartOf(service string) int {
	const offsetBasis, prime = 2166136261, 16777619
	hash := uint32(offsetBasis)
	for i := range len(service) {
		hash = (hash ^ uint32(service[i])) * prime
	}
	return 1 + int(hash%(Parts-1))
}

// FirstID is the identity of a seed member at its very first start.
func FirstID(addr string) string { return addr + "/0" }

// randomBytes is the length of what Random encodes.
const randomBytes = 6

// Random returns a short random text in hexadecimal digits.
func Random() string {
	b := make([]byte, randomBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Genesis is the value before the first change: the seeds form the group.
func Genesis(seeds []string) messages.Value {
	var v messages.Value
	for _, seed := range seeds {
		v.Group = append(v.Group, messages.Member{ID: FirstID(seed), Addr: seed})
	}
	return v
}

// Open loads what the store holds. With bootstrap set, a member with an empty store
// takes part in founding the group made of the seeds. onCommit, which may be nil,
// is called with each committed value that is newer than the one before.
func Open(addr string, kind int, bootstrap bool, seeds []string, caller Caller, store Store, log logr.Logger, onCommit func(int, messages.Value)) (*Registers, error) {
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
	registers := &Registers{
		id: restored.ID, addr: addr, kind: kind, caller: caller, store: store, log: log,
		onCommit: onCommit, incarnation: Random(), started: time.Now(),
	}
	for part := range registers.registers {
		registers.registers[part] = newRegister()
	}
	founder := bootstrap && restored.ID == FirstID(addr)
	for part, record := range restored.Records {
		registers.load(part, record, founder, seeds)
	}
	return registers, nil
}

// load puts a restored record in place. A founder without a committed value starts
// from the group of the seeds.
func (r *Registers) load(part int, record messages.Record, founder bool, seeds []string) {
	register := r.registers[part]
	if len(record.Committed.Group) > 0 {
		register.durableVersion = record.Committed.Version
	} else if founder {
		// All founders may restart before the first change: they have to know their
		// group from disk. A founder whose disk refuses the write learns the group
		// from the others; saveRecord logs it.
		record.Committed = Genesis(seeds)
		_ = r.saveRecord(part, record)
	}
	register.acceptor = Acceptor{ID: r.id, Rec: record}
	if len(record.Committed.Group) > 0 {
		v := record.Committed
		register.committed.Store(&v)
	}
}

// ID returns this member's identity.
func (r *Registers) ID() string { return r.id }

// Committed returns the newest committed value that this node knows, and false where it
// knows none. It takes no lock and may be stale.
func (r *Registers) Committed(part int) (messages.Value, bool) {
	v := r.registers[part].committed.Load()
	if v == nil {
		return messages.Value{}, false
	}
	return *v, true
}

// Learn merges a committed value and has it written to disk in the background. Values
// that are not newer than the known one are ignored.
func (r *Registers) Learn(part int, v messages.Value) {
	if part < 0 || part >= Parts || len(v.Group) == 0 {
		return
	}
	register := r.registers[part]
	for {
		current := register.committed.Load()
		if current != nil && current.Version >= v.Version {
			return
		}
		if register.committed.CompareAndSwap(current, &v) {
			break
		}
	}
	if r.onCommit != nil {
		r.onCommit(part, v)
	}
	r.persistInBackground(part)
}
