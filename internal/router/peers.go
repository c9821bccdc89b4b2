// Setup of the clients for cooperation with other nodes: tokens for rate-limited tenants
// (quotaclient), usage reports (usagereport), and detection of unreachable zones (zoneping).

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

// timeOfDayPeriod is the interval at which the machine's clock is compared with the fleet's time of
// day.
const timeOfDayPeriod = 400 * time.Millisecond

// newPeerClients creates the clients for cooperation with other nodes.
func (r *Router) newPeerClients() (err error) {
	r.quotas, err = quotaclient.New(quotaclient.Config{
		Addr:        r.transport.Addr(),
		Bounds:      r.set.QuotaBounds(),
		Clock:       r.clock,
		Log:         r.log,
		Peers:       r.transport,
		Controllers: func() []string { return coreAddrs(r.monitor) },
	})
	if err != nil {
		return err
	}
	r.zones, err = zoneping.New(zoneping.Config{
		Addr:           r.transport.Addr(),
		Zone:           r.set.Zone,
		Clock:          r.clock,
		Log:            r.log,
		Peers:          r.transport,
		Routers:        func() []messages.Peer { return r.monitor.Alive(messages.Router) },
		SetUnreachable: r.setUnreachable,
	})
	if err != nil || r.set.Bounds.UsageWindowS <= 0 {
		return err
	}
	r.usage, err = usagereport.New(usagereport.Config{
		Addr:        r.transport.Addr(),
		Zone:        r.set.Zone,
		WindowUs:    (time.Duration(r.set.Bounds.UsageWindowS) * time.Second).Microseconds(),
		Clock:       r.clock,
		Peers:       r.transport,
		Controllers: func() []messages.Peer { return r.monitor.Alive(messages.Controller) },
		TimeOfDay:   r.timeOfDay.TimeUs,
	})
	return err
}

// coreAddrs returns the addresses of the controllers of the core that are alive.
func coreAddrs(monitor *membership.Monitor) []string {
	var addrs []string
	for _, peer := range membership.CountedControllers(monitor.Alive(messages.Controller)) {
		addrs = append(addrs, peer.Addr)
	}
	return addrs
}

// setUnreachable excludes the runners of these zones from new requests.
func (r *Router) setUnreachable(sinceUs map[string]int64) {
	r.admissionMu.Lock()
	r.admission.SetUnreachable(sinceUs, r.clock())
	r.admissionMu.Unlock()
	r.wakeQueue()
}

// updateLiveRouters passes the addresses of the live routers to the components that divide limits among
// them: the admission control and the quota client.
func (r *Router) updateLiveRouters() {
	var addrs []string
	for _, peer := range r.monitor.Alive(messages.Router) {
		addrs = append(addrs, peer.Addr)
	}
	r.admissionMu.Lock()
	r.admission.RecordVisibleNodes(addrs, r.clock())
	r.admissionMu.Unlock()
	r.quotas.Sweep(addrs)
}

// countUsage counts a tenant's request once, when a runner has begun to answer it with status 2xx.
func (e *exchange) countUsage(r *protocol.Response) {
	if e.usageCounted || e.tenant == nil || r.StatusCode()/100 != 2 || e.router.usage == nil {
		return
	}
	e.usageCounted = true
	e.router.usage.Add(e.tenant.Name)
}
