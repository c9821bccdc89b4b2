package consensus

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/logring"
	"beechtide.org/beechtide/internal/messages"
)

// testNodes are nodes that call each other, with stores that survive a restart. A call to
// a stopped node fails.
type testNodes struct {
	t      *testing.T
	seeds  []string
	log    logr.Logger
	stores map[string]Store // by address

	mu    sync.Mutex // guards nodes
	nodes map[string]*Registers
}

func newTestNodes(t *testing.T, seeds ...string) *testNodes {
	return &testNodes{t: t, seeds: seeds, log: logr.Discard(), stores: map[string]Store{}, nodes: map[string]*Registers{}}
}

// start starts a node with its store, which is created at the first start.
func (n *testNodes) start(addr string, bootstrap bool) {
	n.t.Helper()
	if n.stores[addr] == nil {
		n.stores[addr] = &MemoryStore{}
	}
	registers, err := Open(addr, 1, bootstrap, n.seeds, callerFunc(n.handle), n.stores[addr], n.log, nil)
	must.NoError(n.t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = registers
}

func (n *testNodes) stop(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, addr)
}

// node returns the node at an address, or nil.
func (n *testNodes) node(addr string) *Registers {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[addr]
}

func (n *testNodes) handle(ctx context.Context, addr string, body []byte) ([]byte, error) {
	node := n.node(addr)
	if node == nil {
		return nil, errors.New("node is stopped")
	}
	return node.Handle(ctx, body)
}

// waitDurable waits until a node has a version of a register on disk.
func (n *testNodes) waitDurable(addr string, index int, version int64) {
	for {
		record, _, _ := n.stores[addr].Load(index)
		if record.Committed.Version == version {
			return
		}
		runtime.Gosched()
	}
}

// A member is replaced, then every node loses power and another one its disk: the members
// of the new group restore the group from their own disks
// (docs/incidents/group-forgot-itself.md).
func TestNewGroupRecoversFromDiskAfterPowerLoss(t *testing.T) {
	ctx := context.Background()
	nodes := newTestNodes(t, "a", "b", "c")
	for _, seed := range nodes.seeds {
		nodes.start(seed, true)
	}
	nodes.stop("a")
	nodes.start("d", false)
	must.NoError(t, nodes.node("d").CatchUp(ctx, "b", 1))
	members := []string{"d", "b", "c"}
	var group []messages.Member
	for _, addr := range members {
		group = append(group, messages.Member{ID: nodes.node(addr).ID(), Addr: addr})
	}
	_, err := nodes.node("b").Change(ctx, 1, func(messages.Value) ([]messages.Member, []byte, error) { return group, []byte("x"), nil })
	must.NoError(t, err)
	for _, addr := range members {
		nodes.waitDurable(addr, 1, 1)
	}

	for _, addr := range members {
		nodes.stop(addr)
	}
	nodes.stores["b"] = &MemoryStore{}
	for _, addr := range members {
		nodes.start(addr, false)
	}
	v, err := nodes.node("c").Read(ctx, 1)
	must.NoError(t, err)
	must.Eq(t, "x", string(v.Body))
	_, err = nodes.node("d").Change(ctx, 1, setBody("y"))
	must.NoError(t, err)
}

// All founders restart before the first change of a register: they restore its group from
// disk (docs/incidents/founders-forgot-their-group.md).
func TestBootstrapGroupSurvivesRestartBeforeFirstChange(t *testing.T) {
	nodes := newTestNodes(t, "a", "b", "c")
	for _, bootstrap := range []bool{true, false} {
		for _, seed := range nodes.seeds {
			nodes.start(seed, bootstrap)
		}
	}
	_, err := nodes.node("b").Change(context.Background(), 3, setBody("first"))
	must.NoError(t, err)
}

// failingStore is a store whose writes fail.
type failingStore struct{ MemoryStore }

func (*failingStore) Save(int, messages.Record) error { return errors.Wrap(ErrStore, "full") }

// A member whose writes fail gives no vote, logs the failure once, and does not prevent
// the other members from committing.
func TestFailingStoreGivesNoVoteAndLogsOnce(t *testing.T) {
	var out bytes.Buffer
	nodes := newTestNodes(t, "a", "b", "c")
	nodes.log = logr.New(logring.New(16, &out))
	nodes.stores["a"] = &failingStore{}
	for _, seed := range nodes.seeds {
		nodes.start(seed, true)
	}
	for i := range 3 {
		_, err := nodes.node("a").Change(context.Background(), 0, setBody(fmt.Sprint(i)))
		must.NoError(t, err)
	}
	request := messages.ConsensusRequest{To: nodes.node("a").ID(), Step: messages.Prepare, Slot: 4, Ballot: messages.Ballot{N: 9, Who: "x"}}
	b, err := request.MarshalMsg(nil)
	must.NoError(t, err)
	_, err = nodes.node("a").Handle(context.Background(), b)
	must.ErrorIs(t, err, ErrStore)
	_, fault := nodes.node("a").LastSave()
	must.StrContains(t, fault, "full")
	must.Eq(t, 1, strings.Count(out.String(), "store write failed"))
}

// callerFunc is a Caller that passes encoded requests to a function.
type callerFunc func(ctx context.Context, addr string, body []byte) ([]byte, error)

func (c callerFunc) Call(ctx context.Context, addr string, _ int, m msgp.Marshaler) ([]byte, error) {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	return c(ctx, addr, b)
}

// switchableStore is a store whose writes fail while failing is set.
type switchableStore struct {
	MemoryStore
	failing atomic.Bool
}

// Save saves the record unless the store is failing.
func (s *switchableStore) Save(index int, record messages.Record) error {
	if s.failing.Load() {
		return errors.Wrap(ErrStore, "full")
	}
	return s.MemoryStore.Save(index, record)
}

// A promise that could not be written does not count: after the disk has recovered, a
// lower ballot is still granted.
func TestFailedWriteRollsBackPromise(t *testing.T) {
	store := &switchableStore{}
	nodes := newTestNodes(t, "a")
	nodes.stores["a"] = store
	nodes.start("a", true)
	prepare := func(n int64) (messages.ConsensusResponse, error) {
		return nodes.node("a").handleRequest(t.Context(), messages.ConsensusRequest{
			To: nodes.node("a").ID(), Step: messages.Prepare, Slot: 1, Ballot: messages.Ballot{N: n, Who: "proposer"},
		})
	}
	store.failing.Store(true)
	_, err := prepare(9)
	must.ErrorIs(t, err, ErrStore)
	store.failing.Store(false)
	response, err := prepare(5)
	must.NoError(t, err)
	must.Eq(t, messages.Granted, response.Verdict)
	response, err = prepare(4)
	must.NoError(t, err)
	must.Eq(t, messages.Outbid, response.Verdict)
}
