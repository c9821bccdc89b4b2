package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/simulation/history"
)

const (
	operatorCount   = 8
	weightsRegister = 1
)

// cluster simulates eight operators and a group of nodes. Messages are lost, nodes crash,
// lose their disks, change their group and are upgraded to versions of the program with
// other validation, in an order determined by a seed.
type cluster struct {
	rnd                  *rand.Rand
	hist                 history.History
	nodes                []*clusterNode
	inFlight             []envelope
	operations           []*operation
	clients              [operatorCount]client
	newest               [2]messages.Value // the newest chosen value, by register
	serial               int               // number of stamps and submissions so far
	healed               bool              // no further faults are injected
	committedSubmissions int               // submissions that were acknowledged
	strictValidation     bool              // the current version of the program rejects disputed submissions
}

// clusterNode is a node with its two registers.
type clusterNode struct {
	addr        string
	incarnation int // number of identities so far
	up          bool
	acceptors   [2]Acceptor
	disk        [2]messages.Record
	learned     [2]messages.Value
}

// envelope is a request, or the response to it, in flight.
type envelope struct {
	op       *operation
	exchange any // the *Round or *Reading that it belongs to
	request  Request
	reply    bool
	response messages.ConsensusResponse
}

// operation is a change or read in progress at a node.
type operation struct {
	id       int // of the call in the history, -1 for repairs
	client   int
	node     *clusterNode
	register int
	attempt  *Attempt
	round    *Round
	read     *QuorumRead // nil for a change
}

// oneIn returns true with probability 1/n.
func (c *cluster) oneIn(n int) bool { return c.rnd.IntN(n) == 0 }

// faultOneIn returns true with probability 1/n while faults are injected.
func (c *cluster) faultOneIn(n int) bool { return !c.healed && c.oneIn(n) }

// newCluster returns a cluster with a group of three or five nodes, depending on the seed,
// and a spare node.
func newCluster(seed uint64) *cluster {
	c := &cluster{rnd: rand.New(rand.NewPCG(seed, 12))}
	var seeds []string
	for i := range 3 + 2*int(seed%2) {
		seeds = append(seeds, fmt.Sprintf("n%d", i))
	}
	for _, s := range seeds {
		node := &clusterNode{addr: s, up: true}
		for index := range node.acceptors {
			node.disk[index] = messages.Record{Committed: InitialValue(seeds)}
			node.acceptors[index] = Acceptor{ID: BootstrapID(s), Record: node.disk[index]}
			node.learned[index] = node.disk[index].Committed
		}
		c.nodes = append(c.nodes, node)
	}
	spare := &clusterNode{addr: "spare", up: true}
	c.wipe(spare)
	c.nodes = append(c.nodes, spare)
	c.newest = c.nodes[0].learned
	return c
}

// startRead starts a quorum read on the newest committed value that the node has learned.
func (c *cluster) startRead(op *operation) {
	op.attempt, op.round = nil, nil
	op.read = NewQuorumRead(op.node.learned[op.register])
	for _, m := range op.read.Base.Group {
		request := messages.ConsensusRequest{Part: op.register, To: m.ID, Step: messages.Read, Slot: op.read.Base.Version + 1}
		c.inFlight = append(c.inFlight, envelope{op: op, exchange: op.read, request: Request{To: m, Body: request}})
	}
}

// startChange starts an attempt at a change.
func (c *cluster) startChange(op *operation, change Change) {
	c.serial++
	op.attempt = NewAttempt(op.register, fmt.Sprintf("s%d", c.serial), change)
	c.operations = append(c.operations, op)
	c.startRound(op)
}

func (c *cluster) startRound(op *operation) {
	op.round = op.attempt.Round(op.node.learned[op.register])
	c.send(op, op.round.Requests())
}

func (c *cluster) send(op *operation, requests []Request) {
	for _, request := range requests {
		c.inFlight = append(c.inFlight, envelope{op: op, exchange: op.round, request: request})
	}
}

func (c *cluster) removeOperation(op *operation) {
	for i := range c.operations {
		if c.operations[i] == op {
			c.operations = append(c.operations[:i:i], c.operations[i+1:]...)
			return
		}
	}
}

func (n *clusterNode) learn(index int, v messages.Value) {
	if v.Version > n.learned[index].Version || len(n.learned[index].Group) == 0 {
		n.learned[index] = v
	}
}

func (c *cluster) nodeAt(addr string) *clusterNode {
	for _, node := range c.nodes {
		if node.addr == addr {
			return node
		}
	}
	return nil
}

// deliver delivers or loses a random message.
func (c *cluster) deliver() {
	i := c.rnd.IntN(len(c.inFlight))
	e := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
	switch {
	case c.faultOneIn(12):
	case e.reply:
		c.receiveResponse(e)
	default:
		c.handleRequest(e)
	}
}

// handleRequest passes a request to the acceptor of the receiver. There may be no response
// because of a failed write or a crash, or the response may be duplicated.
func (c *cluster) handleRequest(e envelope) {
	node, index := c.nodeAt(e.request.To.Addr), e.request.Body.Part
	if !node.up {
		return
	}
	if e.request.Body.Step == messages.Commit {
		node.learn(index, e.request.Body.Value)
		return
	}
	node.acceptors[index].Learn(node.learned[index])
	before := node.acceptors[index].Record
	response, changed := node.acceptors[index].Handle(e.request.Body)
	if changed && c.faultOneIn(15) { // the write fails: no response
		node.acceptors[index].Record = before
		return
	}
	if changed {
		node.disk[index] = node.acceptors[index].Record
	}
	if changed && c.faultOneIn(25) { // crash after the write, before the response
		c.crash(node)
		return
	}
	e.reply, e.response = true, response
	c.inFlight = append(c.inFlight, e)
	if c.oneIn(15) {
		c.inFlight = append(c.inFlight, e)
	}
}

// receiveResponse passes a response to its operation. A response to an earlier round or
// read of the operation is ignored.
func (c *cluster) receiveResponse(e envelope) {
	op := e.op
	if !c.isOpen(op) {
		return
	}
	switch e.exchange {
	case op.round:
		c.send(op, op.round.Receive(e.request.To, e.request.Body.Step, e.response))
		if op.round.Outcome != InProgress {
			c.finishRound(op)
		}
	case op.read:
		op.read.Receive(e.request.To, e.response)
		switch op.read.Result() {
		case Current:
			c.answerRead(op)
		case Newer:
			op.node.learn(op.register, op.read.NewerValue)
			c.startRead(op)
		}
	}
}

// isOpen reports whether an operation is still in progress: neither answered nor lost.
func (c *cluster) isOpen(op *operation) bool { return slices.Contains(c.operations, op) }

// finishRound continues an operation after a round, as Registers.Change does.
func (c *cluster) finishRound(op *operation) {
	round := op.round
	switch round.Outcome {
	case Chosen:
		c.recordChosen(op)
	case Superseded:
		op.node.learn(op.register, round.Value)
	}
	if op.attempt.Finish(round) == Finished {
		c.finishChange(op)
		return
	}
	c.startRound(op)
}

// recordChosen records the chosen value of a round and sends the commits.
func (c *cluster) recordChosen(op *operation) {
	v := op.round.Value
	if v.Version > c.newest[op.register].Version {
		c.newest[op.register] = v
	}
	op.node.learn(op.register, v)
	c.hist.Logf("register %d version %d chosen at %s: %s", op.register, v.Version, op.node.addr, v.Stamp)
	for _, m := range unionOf(op.round.Base.Group, v.Group) {
		request := messages.ConsensusRequest{Part: op.register, To: m.ID, Step: messages.Commit, Slot: v.Version, Value: v}
		c.inFlight = append(c.inFlight, envelope{op: op, request: Request{To: m, Body: request}})
	}
}

var errNothingToChange = errors.New("nothing to change")

// timeOut expires a random operation, or only its current round or read.
func (c *cluster) timeOut() {
	if len(c.operations) == 0 {
		return
	}
	op := c.operations[c.rnd.IntN(len(c.operations))]
	switch {
	case c.faultOneIn(3):
		c.hist.Logf("call %d: no answer", op.id)
		c.removeOperation(op)
	case op.round != nil && op.round.SealPending():
		c.send(op, op.round.Seal())
	case op.round != nil:
		c.finishRound(op)
	case op.read.Result() == Undecided:
		c.serial++
		op.attempt = NewAttempt(op.register, fmt.Sprintf("s%d", c.serial), func(messages.Value) ([]messages.Member, []byte, error) { return nil, nil, errNothingToChange })
		c.startRound(op)
	default:
		c.startRead(op)
	}
}
