// The lease of contact with a majority of the configuration's group (package lease),
// as this controller holds it, and where it is checked: calls whose answers others
// rely on pass through inContactOnly.

package controller

import (
	"context"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/grouprepair"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// contact is the lease, safe for concurrent use.
type contact struct {
	mu    sync.Mutex
	lease lease.Contact
}

func (c *contact) answered(member string, sentUs int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.RecordAnswer(member, sentUs)
}

func (c *contact) vouched(begunUs int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.RecordMajorityWork(begunUs)
}

func (c *contact) holds(group []string, nowUs int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Holds(group, nowUs)
}

func (c *contact) mayAnswer(group []string, begunUs, nowUs int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.MayAnswer(group, begunUs, nowUs)
}

// configGroup is the identities of the group that holds the configuration, as far
// as this node knows.
func (c *Controller) configGroup() []string {
	v, _ := c.registers.Committed(consensus.ConfigRegister)
	return identities(v.Group)
}

// inContact tells whether this controller holds the lease now.
func (c *Controller) inContact() bool { return c.contact.holds(c.configGroup(), c.clock()) }

// starting is true while a controller has not had the time to come by a lease.
func (c *Controller) starting() bool { return c.clock()-c.startUs < lease.ContactUs }

// cutOff tells whether the group that holds the configuration is out of this
// node's reach, so that those below had better listen to another.
func (c *Controller) cutOff() bool {
	return len(c.configGroup()) > 1 && !c.starting() && !c.inContact()
}

// inContactOnly serves a call only under the lease. A controller without it says
// 503 at once, so that callers go on to another. The check is made again on the
// answer, after the work: what leaves must not rest on an older confirmation.
func (c *Controller) inContactOnly(serve app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		begunUs := c.clock()
		if !c.inContact() && !c.starting() {
			outOfContact(rc)
			return
		}
		serve(ctx, rc)
		if rc.Response.StatusCode() >= 500 {
			return
		}
		if !c.contact.mayAnswer(c.configGroup(), begunUs, c.clock()) {
			outOfContact(rc)
		}
	}
}

// outOfContact answers that nothing can be said now, in place of any other answer.
func outOfContact(c *app.RequestContext) {
	c.Response.Reset()
	httpapi.Reject(c, 503, "", "out of contact with a majority")
}

// hasContact reports whether this controller holds the lease of contact with a
// majority of a group.
func (c *Controller) hasContact(group []messages.Member) bool {
	return c.contact.holds(identities(group), c.clock())
}

func identities(group []messages.Member) []string {
	var ids []string
	for _, m := range group {
		ids = append(ids, m.ID)
	}
	return ids
}

// newRepairer returns what keeps the groups of the registers whole.
func (c *Controller) newRepairer(handOver grouprepair.HandOverTimes) (*grouprepair.Repairer, error) {
	return grouprepair.New(grouprepair.Config{
		Addr:       c.transport.Addr(),
		Clock:      c.clock,
		Log:        c.log,
		Registers:  c.registers,
		Membership: c.monitor,
		HasContact: c.hasContact,
		HandOver:   handOver,
	})
}
