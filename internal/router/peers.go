// What this router does together with other nodes, in packages of their own: it gets tokens for
// tenants with a limit (quotaclient), reports usage (usagereport), and finds out which zones it
// cannot reach (zoneping).

package router

import (
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/router/quotaclient"
	"beechtide.org/beechtide/internal/router/usagereport"
	"beechtide.org/beechtide/internal/router/zoneping"
)

// timeOfDayPeriod is how often the machine's clock is compared with the fleet's time of day.
const timeOfDayPeriod = 400 * time.Millisecond

// newClientsOfOthers makes what works together with other nodes.
func (c *Router) newClientsOfOthers() (err error) {
	c.quotas, err = quotaclient.New(quotaclient.Config{
		Addr:        c.transport.Addr(),
		Bounds:      c.set.QuotaBounds(),
		Clock:       c.clock,
		Log:         c.log,
		Peers:       c.transport,
		Controllers: c.coreAddrs,
	})
	if err != nil {
		return err
	}
	c.zones, err = zoneping.New(zoneping.Config{
		Addr:           c.transport.Addr(),
		Zone:           c.set.Zone,
		Clock:          c.clock,
		Log:            c.log,
		Peers:          c.transport,
		Routers:        func() []messages.Peer { return c.monitor.Alive(messages.Router) },
		SetUnreachable: c.setUnreachable,
	})
	if err != nil || c.set.Bounds.UsageWindowS <= 0 {
		return err
	}
	c.usage, err = usagereport.New(usagereport.Config{
		Addr:        c.transport.Addr(),
		Zone:        c.set.Zone,
		WindowUs:    (time.Duration(c.set.Bounds.UsageWindowS) * time.Second).Microseconds(),
		Clock:       c.clock,
		Peers:       c.transport,
		Controllers: func() []messages.Peer { return c.monitor.Alive(messages.Controller) },
		TimeOfDay:   c.timeOfDay.TimeUs,
	})
	return err
}

// coreAddrs returns the addresses of the controllers of the core that are alive.
func (c *Router) coreAddrs() []string {
	var addrs []string
	for _, peer := range membership.Core(c.monitor.Alive(messages.Controller)) {
		addrs = append(addrs, peer.Addr)
	}
	return addrs
}

// setUnreachable has the runners of these zones get no requests.
func (c *Router) setUnreachable(sinceUs map[string]int64) {
	c.admissionMu.Lock()
	c.admission.SetUnreachable(sinceUs, c.clock())
	c.admissionMu.Unlock()
	c.wakeQueue()
}

// seeRouters tells those that share something among all routers which ones are alive.
func (c *Router) seeRouters() {
	var addrs []string
	for _, peer := range c.monitor.Alive(messages.Router) {
		addrs = append(addrs, peer.Addr)
	}
	c.admissionMu.Lock()
	c.admission.SeeNodes(addrs, c.clock())
	c.admissionMu.Unlock()
	c.quotas.Sweep(addrs)
}

// countUsage counts a request once, when a runner has begun it.
func (e *exchange) countUsage(r *protocol.Response) {
	if e.counted || e.tenant == nil || r.StatusCode()/100 != 2 || e.c.usage == nil {
		return
	}
	e.counted = true
	e.c.usage.Add(e.tenant.Name)
}
