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
	submission    submission
	hasSubmission bool
	knownVersion  int64 // the newest committed version that it has received
}

// submission is a configuration that an operator submits.
type submission struct {
	digest   string
	version  int64
	base     int64
	disputed bool
}

// changeFor returns the change for a submission as in the product: a rejection is sealed
// if an earlier attempt may have been accepted.
func (c *cluster) changeFor(requested submission) Change {
	converted := requested.toRouteConfig(c.strictValidation)
	apply := applySubmission(converted)
	return func(cur messages.Value) ([]messages.Member, []byte, error) {
		group, body, err := apply(cur)
		if err != nil && converted.AcceptableWithOtherChecks(bodyOf(cur)) {
			return nil, nil, SealRejection(err)
		}
		return group, body, err
	}
}

// toRouteConfig converts a submission to the type of the product. Strict validation rejects
// a disputed submission.
func (s submission) toRouteConfig(strict bool) routeconfig.Submission {
	out := routeconfig.Submission{Raw: []byte(s.digest), Version: s.version, Base: s.base}
	if strict && s.disputed {
		out.ValidationErr = &routeconfig.InvalidError{Field: "routes", Reason: "rejected by strict validation"}
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

func setWeights(n int64) Change {
	return func(cur messages.Value) ([]messages.Member, []byte, error) {
		if weightsOf(cur) >= n {
			return nil, nil, errNotHigher
		}
		return nil, []byte(fmt.Sprint(n)), nil
	}
}

// randomNode returns a random node that is up and has learned both groups, or nil.
func (c *cluster) randomNode() *clusterNode {
	var up []*clusterNode
	for _, node := range c.nodes {
		if node.up && len(node.learned[0].Group) > 0 && len(node.learned[1].Group) > 0 {
			up = append(up, node)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[c.rnd.IntN(len(up))]
}

// operatorStep runs one operation of an operator: a read, a change of weights, or a submission,
// which is retried until it has a final answer.
func (c *cluster) operatorStep(i int) {
	node := c.randomNode()
	if node == nil {
		return
	}
	operator := &c.clients[i]
	switch k := c.rnd.IntN(10); {
	case k < 2:
		c.read(i, node, ConfigRegister)
	case k < 3:
		c.read(i, node, weightsRegister)
	case k < 4:
		n := int64(1 + c.rnd.IntN(20))
		call := history.Call{Kind: history.SetWeights, Model: "m", Version: n}
		c.startChange(&operation{id: c.hist.Begin(i, call), client: i, node: node, register: weightsRegister}, setWeights(n))
	default:
		if !operator.hasSubmission {
			operator.submission, operator.hasSubmission = c.newSubmission(operator.knownVersion), true
		}
		c.submit(i, node, operator.submission)
		if other := c.randomNode(); c.oneIn(2) { // concurrently at a second node
			c.submit(i, other, operator.submission)
		}
	}
}

// newSubmission returns a random submission. Its base may be a version that is not committed
// yet, and other clients may use the same version.
func (c *cluster) newSubmission(knownVersion int64) submission {
	c.serial++
	drawn := submission{digest: fmt.Sprintf("c%d", c.serial), base: knownVersion, disputed: c.oneIn(3)}
	if other := c.clients[c.rnd.IntN(operatorCount)]; other.hasSubmission && c.oneIn(2) {
		drawn.base = other.submission.version
	}
	drawn.version = drawn.base + 1 + int64(c.rnd.IntN(2))
	return drawn
}

// submit sends a submission to a node.
func (c *cluster) submit(i int, node *clusterNode, requested submission) {
	call := history.Call{Kind: history.Replace, Digest: requested.digest, Version: requested.version, Base: requested.base, Disputed: requested.disputed}
	id := c.hist.Begin(i, call)
	c.hist.Logf("call %d is at %s", id, node.addr)
	if requested.toRouteConfig(c.strictValidation).AcceptedIn(bodyOf(node.learned[ConfigRegister])) {
		c.answer(&operation{id: id, client: i}, history.Response{Verdict: history.Accepted})
		return
	}
	c.startChange(&operation{id: id, client: i, node: node, register: ConfigRegister}, c.changeFor(requested))
}

// read starts a linearizable read at a node.
func (c *cluster) read(i int, node *clusterNode, index int) {
	call := history.Call{Kind: history.Read}
	if index == weightsRegister {
		call = history.Call{Kind: history.ReadWeights, Model: "m"}
	}
	op := &operation{id: c.hist.Begin(i, call), client: i, node: node, register: index}
	c.operations = append(c.operations, op)
	c.startRead(op)
}

// answer completes an operation; the answer to the operator may be lost.
func (c *cluster) answer(op *operation, a history.Response) {
	c.removeOperation(op)
	if op.id < 0 {
		return
	}
	if c.faultOneIn(6) {
		c.hist.Logf("call %d: %s, lost", op.id, a)
		return
	}
	c.hist.End(op.id, a)
	if op.read == nil && a.Verdict == history.Accepted {
		c.committedSubmissions++
	}
	c.clients[op.client].receive(a, op)
}

// receive updates the client with an answer.
func (c *client) receive(a history.Response, op *operation) {
	if op.register != ConfigRegister || a.Verdict == history.Unclear {
		return
	}
	if op.read != nil {
		c.knownVersion = a.Version
		return
	}
	if a.Verdict == history.Accepted {
		c.knownVersion = max(c.knownVersion, c.submission.version)
	}
	c.hasSubmission = false
}

// finishChange maps the result of an attempt to the answer that the product returns.
func (c *cluster) finishChange(op *operation) {
	var invalid *routeconfig.InvalidError
	err := op.round.Err
	switch {
	case op.read != nil: // the round that a read ran to finish an accepted value
		c.startRead(op)
	case err == nil, errors.Is(err, routeconfig.ErrAlreadyAccepted), errors.Is(err, errNotHigher):
		c.answer(op, history.Response{Verdict: history.Accepted})
	case errors.Is(err, routeconfig.ErrVersionConflict):
		c.answer(op, history.Response{Verdict: history.Superseded})
	case errors.As(err, &invalid):
		c.answer(op, history.Response{Verdict: history.Invalid})
	default:
		c.answer(op, history.Response{})
	}
}

// answerRead completes a read with its base.
func (c *cluster) answerRead(op *operation) {
	if op.register == weightsRegister {
		c.answer(op, history.Response{Verdict: history.Accepted, Version: weightsOf(op.read.Base)})
		return
	}
	body := bodyOf(op.read.Base)
	c.answer(op, history.Response{Verdict: history.Accepted, Version: body.Version, Digest: string(body.Raw)})
}
