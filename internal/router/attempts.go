// The attempts of a request: the decision of admission, a connection, the head, the
// stream, and what may follow when an attempt fails. Another attempt is made only
// where the runner said that it has not run the request, where nothing was sent, or
// where the route is repeatable; and only within tries, budget and time.

package router

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/upstream"
)

// ending is how an attempt went.
type ending int

const (
	whole    ending = iota // the client has the whole answer
	notSent                // nothing reached the runner
	notRun                 // the runner said that it has not run it
	unknown                // it was sent, and may have run
	brokeOff               // broken after a part had been passed on
	clientGone
	moving // it goes on at another runner, whose place and link are there

	sentWhole // it has been sent, and the answer is to be read
)

// maxUnsent bounds how many runners are tried whose links do not come up.
const maxUnsent = 4

// course is how far a request has come.
type course struct {
	stream *answerStream
	unsent int  // attempts of which nothing reached a runner
	ran    bool // it may have run somewhere
}

func (v *visit) run() {
	v.c.dmu.Lock()
	v.c.budget(v.service).Request(v.startUs)
	v.c.dmu.Unlock()
	var so course
	defer func() {
		if so.stream != nil && so.stream.started && !so.stream.finished {
			v.ended = compliance.Cut
			v.cut()
		}
	}()
	for {
		ruling := v.place()
		if ruling.Admit == nil {
			v.rejectPlaceless(ruling, &so)
			return
		}
		v.checkRepeat(&so)
		var end ending
		end, so.stream = v.send(ruling.Admit, so.stream)
		if end != whole && v.client.hasLeft() {
			end = clientGone
		}
		v.recordAttempt(end)
		switch end {
		case moving:
			continue
		case whole:
			v.ended = compliance.Answered
			return
		case clientGone:
			v.ended = compliance.Cut
			v.releaseNext()
			v.cut()
			return
		}
		if !v.goesOn(end, ruling.Admit.Runner.ID, &so) {
			v.rejectFailed(&so)
			return
		}
	}
}

// place is where the next attempt goes.
func (v *visit) place() admission.Decision {
	if v.next != nil {
		return admission.Decision{Admit: v.next.adm}
	}
	return v.admit()
}

// goesOn tells whether another attempt follows one that failed.
func (v *visit) goesOn(end ending, runnerID string, so *course) bool {
	if end == notSent {
		return v.goesOnUnsent(runnerID, so)
	}
	v.ask.Avoid = append(v.ask.Avoid, runnerID)
	if end != notRun {
		so.ran = true
		if !v.route.Repeatable() {
			return false
		}
	}
	return v.attempts < max(v.route.Tries, 1) && !v.timeOver() && v.spend()
}

// goesOnUnsent is the same for an attempt of which nothing reached the runner: it
// counts neither as a try nor against the budget.
func (v *visit) goesOnUnsent(runnerID string, so *course) bool {
	v.attempts--
	so.unsent++
	if so.unsent >= maxUnsent || v.timeOver() {
		return false
	}
	if v.changed {
		v.changed = false
		return true
	}
	v.ask.Avoid = append(v.ask.Avoid, runnerID)
	return true
}

// rejectPlaceless answers a request for which there is no place, unless a part of
// its answer has gone out.
func (v *visit) rejectPlaceless(ruling admission.Decision, so *course) {
	switch {
	case so.stream != nil:
	case so.ran && v.c.clock() >= v.endUs:
		v.reject(504, ruling.Reject, 0)
	case so.ran:
		v.reject(502, ruling.Reject, 0)
	default:
		v.reject(ruling.Status, ruling.Reject, ruling.AgainUs)
	}
}

// againUs is after how long a client may come back whose request found no runner.
const againUs = 100_000

// rejectFailed answers a request whose last attempt has failed. What may have run
// gets no status that promises that it has not.
func (v *visit) rejectFailed(so *course) {
	switch {
	case so.stream != nil && so.stream.started:
	case so.ran && v.timeOver():
		v.reject(504, "", 0)
	case so.ran:
		v.reject(502, "", 0)
	default:
		v.reject(503, "", againUs)
	}
}

// spend takes a further attempt from the budget, if there is one.
func (v *visit) spend() bool {
	v.c.dmu.Lock()
	defer v.c.dmu.Unlock()
	return v.c.budget(v.service).Spend(v.c.clock(), int(v.c.nodes.Load()))
}

func (c *Router) budget(service string) *upstream.Budget {
	b := c.budgets[service]
	if b == nil {
		s := c.set.Bounds
		b = &upstream.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack, WindowUs: int64(s.RetryWindowS * 1e6)}
		c.budgets[service] = b
	}
	return b
}

// admit asks the admission control, and waits where the request is held.
func (v *visit) admit() admission.Decision {
	c := v.c
	ch := make(chan admission.Decision, 1)
	v.ask.Ref = c.slab.Put(func(r admission.Decision) { ch <- r })
	now := c.clock()
	v.ask.LeftUs = v.endUs - now
	c.dmu.Lock()
	r := c.admission.Submit(v.ask, now)
	if r.Reject == admission.RejectQueue || r.Reject == admission.RejectTokens {
		if shed, ok := c.admission.ShedFor(v.ask, now); ok {
			defer c.slab.Resume(shed.Ref, shed)
			r = c.admission.Submit(v.ask, now)
		}
	}
	fresh := c.admission.HasFresh()
	c.dmu.Unlock()
	if fresh {
		poke(c.fresh)
	}
	poke(c.stir)
	if !r.Hold {
		c.slab.Drop(v.ask.Ref)
		return r
	}
	c.wake()
	return v.awaitRuling(ch)
}

// awaitRuling waits in the queue. A request that nothing was sent of leaves it as soon as
// the router drains, if it may outlast the router.
func (v *visit) awaitRuling(ruling <-chan admission.Decision) admission.Decision {
	drainBegun := v.c.drainBegun
	for {
		select {
		case r := <-ruling:
			return r
		case <-v.client.leftChannel():
			return v.abandon(ruling, "")
		case <-v.c.lastAnswers:
			return v.abandon(ruling, rejectDraining)
		case <-drainBegun:
			if v.attempts == 0 && !v.c.shutdown.Load().forwards(v.endUs) {
				return v.abandon(ruling, rejectDraining)
			}
			drainBegun = nil
		}
	}
}

// abandon takes a request out of the queue whose client has left, or whose router ends.
// A ruling that was already on its way stands.
func (v *visit) abandon(ruling <-chan admission.Decision, reason admission.Reason) admission.Decision {
	c := v.c
	if !c.slab.Drop(v.ask.Ref) {
		return <-ruling
	}
	c.dmu.Lock()
	c.admission.Abandon(v.ask)
	c.dmu.Unlock()
	return admission.Decision{Ref: v.ask.Ref, Status: 503, Reject: reason, AgainUs: drainRetryUs}
}

func (v *visit) send(adm *admission.Admission, stream *answerStream) (ending, *answerStream) {
	c := v.c
	v.attempts++
	var link *upstream.Conn
	var err error
	if v.next != nil {
		link, v.next = v.next.link, nil
	} else if link, err = v.link(adm.Runner.Addr); err != nil {
		c.done(adm, v.client.hasLeft())
		return notSent, stream
	}
	defer v.client.use(nil)
	if !v.useLink(link) {
		link.Close()
		c.done(adm, true)
		return clientGone, stream
	}
	if !c.mayStillGo(adm) {
		link.Close()
		c.done(adm, true)
		return notSent, stream
	}
	if !v.mayGo(adm) {
		link.Close()
		c.done(adm, true)
		return notSent, stream
	}
	attempt := c.sent.add(adm, link)
	defer c.sent.remove(attempt)
	end := v.put(adm, link, stream)
	if end != sentWhole {
		link.Close()
		return end, stream
	}
	r := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(r)
	if err := v.readHead(attempt, r); err != nil {
		if errors.Is(err, errWithdrawn) {
			c.done(adm, true)
		} else {
			v.failed(adm, link, false) // silence, too, is a failure of the runner
		}
		link.Close()
		return unknown, stream
	}
	status := r.StatusCode()
	if status == statusWrongInstance {
		_, err := upstream.ReadBody(r, mostUnwanted)
		c.giveBack(adm, link, r, err == nil)
		c.wrongInstance(adm, otherWeights(adm, r))
		return notRun, stream
	}
	if r.Header.Get(hNotRun) != "" {
		_, err := upstream.ReadBody(r, mostUnwanted)
		c.giveBack(adm, link, r, err == nil)
		c.dmu.Lock()
		c.admission.Full(adm, c.clock())
		c.dmu.Unlock()
		return notRun, stream
	}
	if promises(status) {
		// no runner gives this promise without saying that it has not run it
		_, err := upstream.ReadBody(r, mostUnwanted)
		c.ended(adm, link, status < 500, true)
		c.giveBack(adm, link, r, err == nil)
		return unknown, stream
	}
	if stream == nil {
		v.held = c.held.add(adm, link)
		defer c.held.remove(v.held)
	}
	if v.streams(r) {
		end, stream = v.passStream(adm, link, r, stream)
	} else {
		end = v.passBody(adm, link, r, stream)
	}
	return end, stream
}

// mostUnwanted bounds the body of an answer that is not passed on.
const mostUnwanted = 1 << 20

// put sends the request. Where it has not all been sent it says what that means:
// as long as no byte can have reached the runner, it has not run.
func (v *visit) put(adm *admission.Admission, link *upstream.Conn, stream *answerStream) ending {
	c := v.c
	leftUs := v.endUs - c.clock()
	if leftUs <= closeLeadUs { // as after a freeze of this process
		c.done(adm, true)
		return notSent
	}
	sent, err := link.Send(v.head(adm, leftUs, stream), v.rc.Request.Body(), v.deadline(-closeLeadUs))
	if err == nil {
		return sentWhole
	}
	v.failed(adm, link, false)
	if sent {
		return unknown
	}
	return notSent
}

// promises tells whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case 408, statusWrongInstance, 429, 503:
		return true
	}
	return false
}

// mayGo checks at the moment of sending, against the configuration in force
// now, that a regulated request goes to a certified runner; a regime that came
// or went while the request waited counts as it is now. The salt was made for
// the regime at admission, so a change of regime sends the request back.
func (v *visit) mayGo(adm *admission.Admission) bool {
	if v.tenant == nil {
		return true
	}
	t := v.c.table.Load()
	now := t.RegimeOf(v.tenant.Name)
	if now == "" && v.ask.Regime == "" {
		return true
	}
	if now != v.ask.Regime {
		v.ask.Regime, v.changed = now, true
		return false
	}
	_, certificate, ok := t.Allows(v.tenant.Name, sightOf(adm.Runner))
	if ok {
		v.note(compliance.Sent, &adm.Runner, certificate)
	}
	return ok
}

func (v *visit) link(addr string) (*upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(max(v.endUs-v.c.clock(), 1000))*time.Microsecond)
	defer cancel()
	defer v.client.onLeave(cancel)()
	return v.c.connPool.GetFor(ctx, addr, v.service, v.route.Repeatable())
}

// ended notes how an attempt that was sent ended at its runner. One that died on a
// link that had rested says something of the link, not of the runner.
func (c *Router) ended(adm *admission.Admission, link *upstream.Conn, good, answered bool) {
	if !good && !answered && link.RestedUs > 0 {
		c.connPool.Dead(link)
		return
	}
	if answered {
		c.connPool.Alive(link)
	}
	c.dmu.Lock()
	c.admission.Ended(adm, good, c.clock())
	c.dmu.Unlock()
}

// failed gives back the place of an attempt that broke off. It is the runner's
// failure unless the client has left, which ends the connection to the runner.
func (v *visit) failed(adm *admission.Admission, link *upstream.Conn, answered bool) {
	if v.client.hasLeft() {
		v.c.done(adm, true)
		return
	}
	v.c.ended(adm, link, false, answered)
	v.c.done(adm, false)
}

func (c *Router) done(adm *admission.Admission, ok bool) {
	c.dmu.Lock()
	c.admission.Done(adm, ok, c.clock())
	c.dmu.Unlock()
	poke(c.stir)
	c.wake()
}

func (c *Router) giveBack(adm *admission.Admission, link *upstream.Conn, r *protocol.Response, ok bool) {
	if ok {
		c.connPool.Put(adm.Runner.Addr, link, &r.Header)
	} else {
		link.Close()
	}
	c.done(adm, ok)
}
