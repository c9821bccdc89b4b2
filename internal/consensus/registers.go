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

// RegisterCount is the number of registers: one for the configuration, and those that services
// are hashed to.
const RegisterCount = 5

// ConfigRegister is the register that holds the configuration.
const ConfigRegister = 0

// Caller sends a request to another member and returns the encoded response.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// register is this member's state of one register.
type register struct {
	// recordLock guards acceptor and durableVersion, and is held while the record is
	// written. It is a channel of capacity one so that lock returns when its context ends.
	recordLock     chan struct{}
	acceptor       Acceptor
	durableVersion int64 // the committed version on disk, or notOnDisk

	committed  atomic.Pointer[messages.Value] // the newest learned, which may be ahead of the acceptor
	persisting atomic.Bool                    // a goroutine is writing committed to disk
	transfers  *transfers
}

// notOnDisk is the durableVersion while no committed value is on disk.
const notOnDisk = -1

func newRegister() *register {
	return &register{recordLock: make(chan struct{}, 1), durableVersion: notOnDisk, transfers: newTransfers()}
}

// lock acquires recordLock, or fails once ctx ends.
func (r *register) lock(ctx context.Context) error {
	select {
	case r.recordLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrStore, "busy")
	}
}

// tryLock acquires recordLock if it is free.
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
	kind        int // the transport's message kind for requests
	caller      Caller
	store       Store
	log         logr.Logger
	registers   [RegisterCount]*register
	onCommit    func(index int, v messages.Value)
	stampPrefix string // random, the prefix of the stamps of this process's proposals
	started     time.Time

	lastSaveUs    atomic.Int64
	lastSaveFault atomic.Pointer[string]
	retired       atomic.Bool
	counts        Counts
}

// RegisterOf returns the register that a service is hashed to, by FNV-1a over its name.
func RegisterOf(service string) int {
	const offsetBasis, prime = 2166136261, 16777619
	hash := uint32(offsetBasis)
	for i := range len(service) {
		hash = (hash ^ uint32(service[i])) * prime
	}
	return 1 + int(hash%(RegisterCount-1))
}

// BootstrapID returns the identity of a seed member at its first start.
func BootstrapID(addr string) string { return addr + "/0" }

// randomBytes is the number of random bytes that Random encodes.
const randomBytes = 6

// randomHex returns a short random string of hexadecimal digits.
func randomHex() string {
	b := make([]byte, randomBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// InitialValue returns the value before the first change: version 0 with the seeds as group.
func InitialValue(seeds []string) messages.Value {
	var v messages.Value
	for _, seed := range seeds {
		v.Group = append(v.Group, messages.Member{ID: BootstrapID(seed), Addr: seed})
	}
	return v
}

// Open restores this member from its store. With bootstrap set, a member with an empty
// store is one of the founders of the group of seeds. onCommit, which may be nil, is
// called with each committed value that is newer than the one before.
func Open(addr string, kind int, bootstrap bool, seeds []string, caller Caller, store Store, log logr.Logger, onCommit func(int, messages.Value)) (*Registers, error) {
	bootstrapID := ""
	if bootstrap {
		bootstrapID = BootstrapID(addr)
	}
	restored, err := Restore(store, bootstrapID, func() string { return addr + "/" + randomHex() })
	if err != nil {
		return nil, err
	}
	if len(restored.Damaged) > 0 {
		log.Error(ErrDamaged, "votes lost: this member continues under a new identity", "parts", restored.Damaged, "id", restored.ID)
	}
	registers := &Registers{
		id: restored.ID, addr: addr, kind: kind, caller: caller, store: store, log: log,
		onCommit: onCommit, stampPrefix: randomHex(), started: time.Now(),
	}
	for index := range registers.registers {
		registers.registers[index] = newRegister()
	}
	founder := bootstrap && restored.ID == BootstrapID(addr)
	for index, record := range restored.Records {
		registers.initRegister(index, record, founder, seeds)
	}
	return registers, nil
}

// initRegister initializes a register from its restored record. A founder without a committed
// value starts from the group of the seeds.
func (r *Registers) initRegister(index int, record messages.Record, founder bool, seeds []string) {
	register := r.registers[index]
	if len(record.Committed.Group) > 0 {
		register.durableVersion = record.Committed.Version
	} else if founder {
		// All founders may restart before the first change, so each must have the group
		// on its own disk. A founder whose write fails learns the group from the others;
		// saveRecord logs the failure.
		record.Committed = InitialValue(seeds)
		_ = r.saveRecord(index, record)
	}
	register.acceptor = Acceptor{ID: r.id, Record: record}
	if len(record.Committed.Group) > 0 {
		v := record.Committed
		register.committed.Store(&v)
	}
}

// ID returns this member's identity.
func (r *Registers) ID() string { return r.id }

// Committed returns the newest committed value that this node has learned, and false if
// it has learned none. It acquires no lock, and the value may be stale.
func (r *Registers) Committed(index int) (messages.Value, bool) {
	v := r.registers[index].committed.Load()
	if v == nil {
		return messages.Value{}, false
	}
	return *v, true
}

// Learn merges a committed value and starts writing it to disk in the background. Values
// that are not newer than the current one are ignored.
func (r *Registers) Learn(index int, v messages.Value) {
	if index < 0 || index >= RegisterCount || len(v.Group) == 0 {
		return
	}
	register := r.registers[index]
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
		r.onCommit(index, v)
	}
	r.persistInBackground(index)
}
