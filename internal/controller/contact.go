// The contact lease with a majority of the configuration register's group (package lease), and its
// checks: calls whose responses must not be stale are wrapped with requireContact.

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

// contactLease is the contact lease of this controller. It is safe for concurrent use.
type contactLease struct {
	mu    sync.Mutex
	lease lease.Contact
}

func (c *contactLease) recordAnswer(member string, sentUs int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.RecordAnswer(member, sentUs)
}

func (c *contactLease) recordMajorityWork(begunUs int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.RecordMajorityWork(begunUs)
}

func (c *contactLease) holds(group []string, nowUs int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Holds(group, nowUs)
}

func (c *contactLease) mayAnswer(group []string, begunUs, nowUs int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.MayAnswer(group, begunUs, nowUs)
}

// configGroup returns the member IDs of the configuration register's group, as of the newest
// version known here.
func (c *Controller) configGroup() []string {
	v, _ := c.registers.Committed(consensus.ConfigRegister)
	return identities(v.Group)
}

// inContact reports whether this controller holds the contact lease now.
func (c *Controller) inContact() bool { return c.contactLease.holds(c.configGroup(), c.clock()) }

// starting reports whether the controller has run for less than the time that acquiring the contact
// lease may take.
func (c *Controller) starting() bool { return c.clock()-c.startUs < lease.ContactUs }

// cutOff reports whether this node has lost contact with the configuration register's group, so
// that its subscribers should switch to another controller.
func (c *Controller) cutOff() bool {
	return len(c.configGroup()) > 1 && !c.starting() && !c.inContact()
}

// requireContact wraps a handler so that it serves only under the contact lease. Without the lease
// the call is answered with 503 at once, so that callers try another controller. The lease is
// checked again after the handler, so that no response depends on an expired one.
func (c *Controller) requireContact(serve app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		begunUs := c.clock()
		if !c.inContact() && !c.starting() {
			rejectOutOfContact(rc)
			return
		}
		serve(ctx, rc)
		if rc.Response.StatusCode() >= 500 {
			return
		}
		if !c.contactLease.mayAnswer(c.configGroup(), begunUs, c.clock()) {
			rejectOutOfContact(rc)
		}
	}
}

// rejectOutOfContact replaces the response by a 503 for the missing contact lease.
func rejectOutOfContact(c *app.RequestContext) {
	c.Response.Reset()
	httpapi.Reject(c, 503, "", "out of contact with a majority")
}

// hasContact reports whether this controller holds the contact lease with a majority of a
// group.
func (c *Controller) hasContact(group []messages.Member) bool {
	return c.contactLease.holds(identities(group), c.clock())
}

func identities(group []messages.Member) []string {
	var ids []string
	for _, m := range group {
		ids = append(ids, m.ID)
	}
	return ids
}

// newRepairer creates the component that replaces failed members in the groups of the registers.
func (c *Controller) newRepairer(handOver grouprepair.HandOverTimeouts) (*grouprepair.Repairer, error) {
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
