package consensus

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/simulation/history"
)

// client is an operator, with the submission that it retries until it receives a final
// answer.
type client struct {
	order        order
	hasOrder     bool
	knownVersion int64 // the newest committed version that it has received
}

// order is a configuration that an operator submits.
type order struct {
	digest   string
	version  int64
	base     int64
	disputed bool
}

// changeFor returns the change for a submission as in the product: a rejection is sealed
// if an earlier attempt may have been accepted.
func (c *cluster) changeFor(wanted order) Change {
	configOrder := wanted.configOrder(c.strictValidation)
	apply := applyOrder(configOrder)
	return func(cur messages.Value) ([]messages.Member, []byte, error) {
		group, body, err := apply(cur)
		if err != nil && configOrder.Contested(bodyOf(cur)) {
			return nil, nil, SealRefusal(err)
		}
		return group, body, err
	}
}

// configOrder converts a submission to the type of the product. Strict validation rejects
// a disputed submission.
func (o order) configOrder(strict bool) routeconfig.Submission {
	out := routeconfig.Submission{Raw: []byte(o.digest), Version: o.version, Base: o.base}
	if strict && o.disputed {
		out.Fault = &routeconfig.Invalid{Field: "routes", Reason: "rejected by strict validation"}
	}
	return out
}

func bodyOf(v messages.Value) messages.ConfigBody {
	var body messages.ConfigBody
	if len(v.Body) > 0 {
		if _, err := body.UnmarshalMsg(v.Body); err != nil {
			panic(err)
		}
	}
	return body
}

func weightsOf(v messages.Value) int64 {
	n, _ := strconv.ParseInt(string(v.Body), 10, 64)
	return n
}

var errNotHigher = errors.New("the same or a higher weights version is set")

func weights(n int64) Change {
	return func(cur messages.Value) ([]messages.Member, []byte, error) {
		if weightsOf(cur) >= n {
			return nil, nil, errNotHigher
		}
		return nil, []byte(fmt.Sprint(n)), nil
	}
}

// anyNode returns a random node that is up and knows both groups, or nil.
func (c *cluster) anyNode() *clusterNode {
	var up []*clusterNode
	for _, node := range c.nodes {
		if node.up && len(node.known[0].Group) > 0 && len(node.known[1].Group) > 0 {
			up = append(up, node)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[c.rnd.IntN(len(up))]
}

// step runs one operation of an operator: a read, a change of weights, or a submission,
// which is retried until it has a final answer.
func (c *cluster) step(i int) {
	at := c.anyNode()
	if at == nil {
		return
	}
	operator := &c.clients[i]
	switch k := c.rnd.IntN(10); {
	case k < 2:
		c.read(i, at, ConfigPart)
	case k < 3:
		c.read(i, at, weightsPart)
	case k < 4:
		n := int64(1 + c.rnd.IntN(20))
		call := history.Call{Kind: history.NameWeights, Model: "m", Version: n}
		c.start(&operation{id: c.hist.Begin(i, call), client: i, node: at, part: weightsPart}, weights(n))
	default:
		if !operator.hasOrder {
			operator.order, operator.hasOrder = c.drawOrder(operator.knownVersion), true
		}
		c.replace(i, at, operator.order)
		if other := c.anyNode(); c.chance(2) { // concurrently at a second node
			c.replace(i, other, operator.order)
		}
	}
}

// drawOrder returns a random submission. Its base may be a version that is not committed
// yet, and other clients may use the same version.
func (c *cluster) drawOrder(believes int64) order {
	c.serial++
	wanted := order{digest: fmt.Sprintf("c%d", c.serial), base: believes, disputed: c.chance(3)}
	if other := c.clients[c.rnd.IntN(operators)]; other.hasOrder && c.chance(2) {
		wanted.base = other.order.version
	}
	wanted.version = wanted.base + 1 + int64(c.rnd.IntN(2))
	return wanted
}

// replace sends a submission to a node.
func (c *cluster) replace(i int, at *clusterNode, wanted order) {
	call := history.Call{Kind: history.Replace, Digest: wanted.digest, Version: wanted.version, Base: wanted.base, Disputed: wanted.disputed}
	id := c.hist.Begin(i, call)
	c.hist.Note("call %d is at %s", id, at.addr)
	if wanted.configOrder(c.strictValidation).AcceptedIn(bodyOf(at.known[ConfigPart])) {
		c.answer(&operation{id: id, client: i}, history.Answer{Verdict: history.Taken})
		return
	}
	c.start(&operation{id: id, client: i, node: at, part: ConfigPart}, c.changeFor(wanted))
}

// read starts a linearizable read at a node.
func (c *cluster) read(i int, at *clusterNode, part int) {
	call := history.Call{Kind: history.Read}
	if part == weightsPart {
		call = history.Call{Kind: history.ReadWeights, Model: "m"}
	}
	op := &operation{id: c.hist.Begin(i, call), client: i, node: at, part: part}
	c.operations = append(c.operations, op)
	c.startRead(op)
}

// answer completes an operation; the answer to the operator may be lost.
func (c *cluster) answer(op *operation, a history.Answer) {
	c.remove(op)
	if op.id < 0 {
		return
	}
	if c.faulty(6) {
		c.hist.Note("call %d: %s, lost", op.id, a)
		return
	}
	c.hist.End(op.id, a)
	if op.read == nil && a.Verdict == history.Taken {
		c.committedOrders++
	}
	c.clients[op.client].receive(a, op)
}

// receive updates the client with an answer.
func (c *client) receive(a history.Answer, op *operation) {
	if op.part != ConfigPart || a.Verdict == history.Unclear {
		return
	}
	if op.read != nil {
		c.knownVersion = a.Version
		return
	}
	if a.Verdict == history.Taken {
		c.knownVersion = max(c.knownVersion, c.order.version)
	}
	c.hasOrder = false
}

// finishChange maps the result of an attempt to the answer that the product returns.
func (c *cluster) finishChange(op *operation) {
	var bad *routeconfig.Invalid
	err := op.round.Err
	switch {
	case op.read != nil: // the round that a read ran to finish an accepted value
		c.startRead(op)
	case err == nil, errors.Is(err, routeconfig.ErrAlreadyAccepted), errors.Is(err, errNotHigher):
		c.answer(op, history.Answer{Verdict: history.Taken})
	case errors.Is(err, routeconfig.ErrVersionConflict):
		c.answer(op, history.Answer{Verdict: history.Overtaken})
	case errors.As(err, &bad):
		c.answer(op, history.Answer{Verdict: history.Invalid})
	default:
		c.answer(op, history.Answer{})
	}
}

// answerRead completes a read with its base.
func (c *cluster) answerRead(op *operation) {
	if op.part == weightsPart {
		c.answer(op, history.Answer{Verdict: history.Taken, Version: weightsOf(op.read.Base)})
		return
	}
	body := bodyOf(op.read.Base)
	c.answer(op, history.Answer{Verdict: history.Taken, Version: body.Version, Digest: string(body.Raw)})
}
