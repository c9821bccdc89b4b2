// Calls to the platform's API. Each is made by the holder of a lease and carries its
// fencing token.

package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// platformWait is how long the platform may take to answer.
const platformWait = 3 * time.Second

// platformAnswer is what became of a call.
type platformAnswer int

// Outcomes of a call to the platform.
const (
	platformNotSent  platformAnswer = iota // the grant had run out
	platformAccepted                       // done
	platformRefused                        // a call with a higher fence was seen
	platformFailed                         // anything else: it may have been done
	platformAnswers
)

var platformAnswerNames = [platformAnswers]string{"not_sent", "accepted", "fence_refused", "failed"}

// callPlatform makes a call under the grant of a register's lease, unless the grant has run
// out as it leaves. After a refusal nothing is sent under this fence any more.
func (d *Controller) callPlatform(ctx context.Context, part int, grant lease.Grant, path string, content any) platformAnswer {
	body, err := json.Marshal(content)
	if err != nil {
		d.log.Error(err, "a call to the platform cannot be written", "path", path)
		return platformNotSent
	}
	headers := map[string]string{"Beechtide-Duty-Holder": d.set.Node, "Beechtide-Fence": strconv.FormatInt(grant.Fence, 10)}
	ctx, cancel := context.WithTimeout(ctx, platformWait)
	defer cancel()
	d.roles.recordFenceUsed(part, grant.Fence)
	if !d.roles.mayCall(part, grant.Fence) {
		return platformNotSent
	}
	sentUs := d.clock()
	status, _, err := d.connPool.Ask(ctx, *d.platformAddr.Load(), http.MethodPost, path, headers, body)
	d.log.Info("platform called", "path", path, "fence", grant.Fence, "status", status, "err", err)
	answer := platformFailed
	switch {
	case err == nil && status/100 == 2:
		answer = platformAccepted
	case err == nil && status == http.StatusConflict:
		answer = platformRefused
		d.roles.refuse(part, grant.Fence)
	}
	d.counters.platform[answer].Add(1)
	d.lastCalls.record(part, lastCall{sentUs, answer})
	return answer
}

// lastCall is when a call left, and what became of it.
type lastCall struct {
	sentUs int64
	answer platformAnswer
}

// lastCalls has the last call under the lease of each register. It is safe for concurrent
// use, and its zero value is ready for use.
type lastCalls struct {
	mu     sync.Mutex
	byPart [consensus.Parts]lastCall
}

func (l *lastCalls) record(part int, c lastCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byPart[part] = c
}

func (l *lastCalls) of(part int) lastCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byPart[part]
}

// dutyConditions are the duties at the platform, for the doctor.
func (d *Controller) dutyConditions() []messages.DutyCondition {
	var out []messages.DutyCondition
	if d.usage != nil {
		duty := d.dutyCondition(usageDuty, usagePart)
		duty.OverdueUs = d.usage.unreported().Microseconds()
		out = append(out, duty)
	}
	if d.scaler != nil {
		out = append(out, d.dutyCondition(scalingDuty, scalingPart))
	}
	return out
}

func (d *Controller) dutyCondition(name string, part int) messages.DutyCondition {
	duty := messages.DutyCondition{Name: name}
	v, _ := d.registers.Committed(part)
	if body, err := leaseBody(v); err == nil {
		duty.Holder, duty.Fence = body.Lease.Holder, body.Lease.Fence
	}
	if last := d.lastCalls.of(part); last.sentUs > 0 {
		duty.LastCallUs, duty.Accepted = d.clock()-last.sentUs, last.answer == platformAccepted
	}
	return duty
}
