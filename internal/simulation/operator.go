// Model of operators. They replace the configuration on top of the version that they last
// read, sometimes under version numbers that other operators use too, read it back and name
// weights versions. An operator that receives no answer repeats the same call at another
// controller.

package simulation

import (
	"fmt"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/simulation/history"
)

const (
	serveTimeoutUs = 900 * Millisecond // timeout of a change or read in a controller, as in package controller
	callTimeoutUs  = Second            // timeout after which an operator tries another controller
	maxAttempts    = 6
)

type operator struct {
	cluster *Cluster
	name    string
	number  int
	version int64 // as last read or written
	serial  int
}

// pendingCall is one call with all its attempts, up to the final answer.
type pendingCall struct {
	id   int // in the history
	call history.Call
}

const modelName = "model"

// startNextCall draws and starts the next call, until everything heals.
func (o *operator) startNextCall() {
	k := o.cluster.kernel
	if o.cluster.healed {
		return
	}
	call := history.Call{Kind: history.Replace}
	switch draw := k.Below(100); {
	case draw < 45:
		o.serial++
		call.Base = o.version
		call.Version = call.Base + 1
		if k.Chance(100) {
			call.Version += int64(k.Below(3))
		}
		call.Digest = fmt.Sprintf("%s/%d", o.name, o.serial)
		call.Faulty = k.Chance(60)
	case draw < 70:
		call.Kind = history.Read
	case draw < 90:
		call = history.Call{Kind: history.SetWeights, Model: modelName, Version: k.Between(1, 40)}
	default:
		call = history.Call{Kind: history.ReadWeights, Model: modelName}
	}
	o.attempt(pendingCall{id: o.cluster.history.Begin(o.number, call), call: call}, 1)
}

// attempt sends a call to a random controller, and retries at another one if no final answer
// arrives in time.
func (o *operator) attempt(call pendingCall, attemptNumber int) {
	k := o.cluster.kernel
	node := o.cluster.controllers[k.Below(len(o.cluster.controllers))]
	finished := false
	retry := func() {
		if finished {
			return
		}
		finished = true
		if attemptNumber == maxAttempts || o.cluster.healed {
			o.end(call, history.Response{})
			return
		}
		k.After(k.Between(5*Millisecond, 60*Millisecond), func() { o.attempt(call, attemptNumber+1) })
	}
	answer := func(a history.Response) {
		switch {
		case finished:
		case a.Verdict == history.Unclear:
			retry()
		default:
			finished = true
			o.end(call, a)
		}
	}
	o.cluster.callController(o.name, node, call.call, answer)
	k.After(callTimeoutUs, retry)
}

func (o *operator) end(call pendingCall, answer history.Response) {
	k := o.cluster.kernel
	o.cluster.history.End(call.id, answer)
	k.Log("%s: %s: %s", o.name, call.call, answer)
	counts := &o.cluster.checks.counts
	switch {
	case answer.Verdict == history.Unclear:
		counts.CallsUnclear++
	case answer.Verdict != history.Accepted:
		counts.ConfigsRejected++
	case call.call.Kind == history.Replace:
		counts.ConfigsAccepted++
		o.version = call.call.Version
		o.cluster.injectDeferredFaults()
	case call.call.Kind == history.Read:
		counts.Reads++
		o.version = answer.Version
	}
	if answer.Verdict == history.Superseded && k.Chance(700) {
		o.version = max(o.version, o.cluster.randomVersion())
	}
	k.After(k.Between(20*Millisecond, 900*Millisecond), o.startNextCall)
}

// randomVersion returns the version of a random operator, so that two operators may use the same base.
func (c *Cluster) randomVersion() int64 { return c.operators[c.kernel.Below(len(c.operators))].version }

// callController sends a call to a controller. answer is called if the response arrives.
func (c *Cluster) callController(from string, node *Controller, call history.Call, answer func(history.Response)) {
	c.network.Send(from, node.addr, func() {
		node.process.Deliver(func() {
			node.serveInContact(call, func(a history.Response) {
				c.network.Send(node.addr, from, func() { answer(a) })
			})
		})
	})
}

// serve executes a call, as the handlers of the control address do.
func (c *Controller) serve(call history.Call, answer func(history.Response)) {
	switch call.Kind {
	case history.Replace:
		c.serveReplace(call, answer)
	case history.SetWeights:
		name := func(cur messages.Value) ([]messages.Member, []byte, error) { return nameWeights(cur, call.Version) }
		c.change(rolloutLeasePart, serveTimeoutUs, name, func(_ messages.Value, err error) {
			if err != nil && !errors.Is(err, errNoChange) {
				answer(history.Response{})
				return
			}
			answer(history.Response{Verdict: history.Accepted})
		})
	case history.Read:
		c.serveRead(configPart, answer, func(v messages.Value) history.Response {
			body := configOf(v)
			return history.Response{Verdict: history.Accepted, Version: body.Version, Digest: string(body.Raw)}
		})
	case history.ReadWeights:
		c.serveRead(rolloutLeasePart, answer, func(v messages.Value) history.Response {
			return history.Response{Verdict: history.Accepted, Version: weightsOf(leaseBodyOf(v))}
		})
	}
}

func (c *Controller) serveRead(part int, answer func(history.Response), toAnswer func(messages.Value) history.Response) {
	begunUs := c.process.NowUs()
	c.read(part, serveTimeoutUs, func(v messages.Value, err error) {
		c.renewContact(part, begunUs, err)
		if err != nil {
			answer(history.Response{})
			return
		}
		answer(toAnswer(v))
	})
}

func (c *Controller) serveReplace(call history.Call, answer func(history.Response)) {
	submission := submissionOf(call)
	if cur, known := c.committed(configPart); known {
		accepted := submission.AcceptedIn(configOf(cur))
		switch {
		case accepted && !c.cluster.defects.IgnoreAccepted:
			answer(history.Response{Verdict: history.Accepted})
			return
		case !accepted && configOf(cur).Version != call.Base && c.cluster.defects.RejectWithoutRound:
			// Also rejects a base that is newer than the version here, although this node may be behind.
			answer(history.Response{Verdict: history.Superseded})
			return
		}
	}
	replace := func(cur messages.Value) ([]messages.Member, []byte, error) { return c.applySubmission(cur, submission) }
	begunUs := c.process.NowUs()
	c.change(configPart, serveTimeoutUs, replace, func(_ messages.Value, err error) {
		if !errors.Is(err, consensus.ErrOutcomeUnknown) && !errors.Is(err, consensus.ErrNoGroup) {
			c.renewContact(configPart, begunUs, nil)
		}
		answer(history.Response{Verdict: verdictOf(err)})
	})
}

func submissionOf(call history.Call) routeconfig.Submission {
	submission := routeconfig.Submission{Raw: []byte(call.Digest), Version: call.Version, Base: call.Base}
	if call.Faulty {
		submission.ValidationErr = &routeconfig.InvalidError{Field: "services", Reason: "faulty"}
	}
	return submission
}

// applySubmission returns the value of the configuration register after a submission.
func (c *Controller) applySubmission(cur messages.Value, submission routeconfig.Submission) ([]messages.Member, []byte, error) {
	body := configOf(cur)
	if c.cluster.defects.IgnoreAccepted {
		body.AcceptedDigest = nil
	}
	next, err := submission.Apply(body)
	if err != nil && submission.AcceptableWithOtherChecks(body) {
		return nil, nil, consensus.SealRejection(err)
	}
	if err != nil {
		return nil, nil, err
	}
	raw, err := next.MarshalMsg(nil)
	return nil, raw, err
}

func verdictOf(err error) history.Verdict {
	var invalid *routeconfig.InvalidError
	switch {
	case err == nil, errors.Is(err, routeconfig.ErrAlreadyAccepted):
		return history.Accepted
	case errors.Is(err, routeconfig.ErrVersionConflict):
		return history.Superseded
	case errors.As(err, &invalid):
		return history.Invalid
	}
	return history.Unclear
}

func configOf(v messages.Value) messages.ConfigBody {
	var body messages.ConfigBody
	if len(v.Body) > 0 {
		if _, err := body.UnmarshalMsg(v.Body); err != nil {
			return messages.ConfigBody{}
		}
	}
	return body
}

func weightsOf(body messages.LeaseBody) int64 {
	for _, t := range body.Targets {
		if t.Model == modelName {
			return t.Version
		}
	}
	return 0
}

// nameWeights records the newest weights version of the only model, if it is newer.
func nameWeights(cur messages.Value, version int64) ([]messages.Member, []byte, error) {
	body := leaseBodyOf(cur)
	if weightsOf(body) >= version {
		return nil, nil, errNoChange
	}
	body.Targets = []messages.Target{{Model: modelName, Version: version}}
	raw, err := body.MarshalMsg(nil)
	return nil, raw, err
}
