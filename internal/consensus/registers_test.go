package consensus

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/logring"
	"beechtide.org/beechtide/internal/messages"
)

// A member is replaced, then every node loses power and another one its disk: the
// new group knows from its own disks that it is the group (docs/incidents/group-
// forgot-itself.md).
func TestNewGroupRecoversFromDiskAfterPowerLoss(t *testing.T) {
	nodes := map[string]*Registers{}
	stores := map[string]*MemoryStore{}
	var mu sync.Mutex
	net := callerFunc(func(ctx context.Context, addr string, body []byte) ([]byte, error) {
		mu.Lock()
		n := nodes[addr]
		mu.Unlock()
		if n == nil {
			return nil, errors.New("dark")
		}
		return n.Handle(ctx, body)
	})
	seeds := []string{"a", "b", "c"}
	open := func(addr string, bootstrap bool) {
		if stores[addr] == nil {
			stores[addr] = &MemoryStore{}
		}
		registers, err := Open(addr, 1, bootstrap, seeds, net, stores[addr], logr.Discard(), nil)
		must.NoError(t, err)
		mu.Lock()
		nodes[addr] = registers
		mu.Unlock()
	}
	stop := func(addr string) {
		mu.Lock()
		delete(nodes, addr)
		mu.Unlock()
	}
	for _, s := range seeds {
		open(s, true)
	}
	ctx := context.Background()
	stop("a")
	open("d", false)
	must.NoError(t, nodes["d"].Pull(ctx, "b", 1))
	group := []messages.Member{{ID: nodes["d"].ID(), Addr: "d"}, {ID: nodes["b"].ID(), Addr: "b"}, {ID: nodes["c"].ID(), Addr: "c"}}
	_, err := nodes["b"].Change(ctx, 1, func(cur messages.Value) ([]messages.Member, []byte, error) { return group, []byte("x"), nil })
	must.NoError(t, err)
	for _, addr := range []string{"b", "c", "d"} { // the commit reaches the disks
		for {
			record, _, _ := stores[addr].Load(1)
			if record.Committed.Version == 1 {
				break
			}
			runtime.Gosched()
		}
	}
	for _, addr := range []string{"b", "c", "d"} {
		stop(addr)
	}
	stores["b"] = &MemoryStore{}
	for _, addr := range []string{"b", "c", "d"} {
		open(addr, false)
	}
	v, err := nodes["c"].Read(ctx, 1)
	must.NoError(t, err)
	must.Eq(t, "x", string(v.Body))
	_, err = nodes["d"].Change(ctx, 1, setBody("y"))
	must.NoError(t, err)
}

// All founders restart before the first change of a register: they still know its
// group (docs/incidents/founders-forgot-their-group.md).
func TestBootstrapGroupSurvivesRestartBeforeFirstChange(t *testing.T) {
	nodes := map[string]*Registers{}
	net := callerFunc(func(ctx context.Context, addr string, body []byte) ([]byte, error) {
		return nodes[addr].Handle(ctx, body)
	})
	seeds := []string{"a", "b", "c"}
	stores := map[string]*MemoryStore{}
	for _, bootstrap := range []bool{true, false} {
		for _, s := range seeds {
			if bootstrap {
				stores[s] = &MemoryStore{}
			}
			registers, err := Open(s, 1, bootstrap, seeds, net, stores[s], logr.Discard(), nil)
			must.NoError(t, err)
			nodes[s] = registers
		}
	}
	_, err := nodes["b"].Change(context.Background(), 3, setBody("first"))
	must.NoError(t, err)
}

// failingStore is a store whose writes fail.
type failingStore struct{ MemoryStore }

func (*failingStore) Save(int, messages.Record) error { return errors.Wrap(ErrStore, "full") }

// A member whose disk refuses writes gives no vote, logs that once, and does not
// keep the others from committing.
func TestFailingStoreGivesNoVoteAndLogsOnce(t *testing.T) {
	var out bytes.Buffer
	nodes := map[string]*Registers{}
	net := callerFunc(func(ctx context.Context, addr string, body []byte) ([]byte, error) {
		return nodes[addr].Handle(ctx, body)
	})
	seeds := []string{"a", "b", "c"}
	log := logr.New(logring.New(16, &out))
	for _, s := range seeds {
		var store Store = &MemoryStore{}
		if s == "a" {
			store = &failingStore{}
		}
		registers, err := Open(s, 1, true, seeds, net, store, log, nil)
		must.NoError(t, err)
		nodes[s] = registers
	}
	for i := range 3 {
		_, err := nodes["a"].Change(context.Background(), 0, setBody(fmt.Sprint(i)))
		must.NoError(t, err)
	}
	request := messages.ConsensusRequest{To: nodes["a"].ID(), Step: messages.Prepare, Slot: 4, Ballot: messages.Ballot{N: 9, Who: "x"}}
	b, err := request.MarshalMsg(nil)
	must.NoError(t, err)
	_, err = nodes["a"].Handle(context.Background(), b)
	must.ErrorIs(t, err, ErrStore)
	_, fault := nodes["a"].LastSave()
	must.StrContains(t, fault, "full")
	must.Eq(t, 1, strings.Count(out.String(), "refuses writes"))
}

// callerFunc is a Caller made of a function on encoded requests.
type callerFunc func(ctx context.Context, addr string, body []byte) ([]byte, error)

func (c callerFunc) Call(ctx context.Context, addr string, _ int, m msgp.Marshaler) ([]byte, error) {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	return c(ctx, addr, b)
}
