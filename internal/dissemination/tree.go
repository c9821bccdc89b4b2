// The tree: which nodes a router takes its updates from.

package dissemination

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Parents orders the nodes that a router may take feeds from: its place in the
// tree first. The first routers of a zone hang on the zone's controllers, the
// others on routers before them, so that a change crosses to a zone once for
// every controller there. Which controller it is follows from a hash, so that hardly
// anybody moves when nodes come and go.
func Parents(self string, zone string, controllers, routers []messages.Peer) []string {
	var near, far, row []string
	for _, d := range membership.CountedControllers(controllers) {
		if d.Zone == zone {
			near = append(near, d.Addr)
		} else {
			far = append(far, d.Addr)
		}
	}
	at := -1
	for _, c := range routers {
		if c.Zone != zone {
			continue
		}
		if c.Addr == self {
			at = len(row)
		}
		row = append(row, c.Addr)
	}
	var out []string
	if roots := max(len(near), 1) * rootFanOut; at >= roots {
		out = append(out, row[(at-roots)/relayFanOut])
	}
	return append(append(out, shuffled(self, near)...), shuffled(self, far)...)
}

// shuffled is an order of its own for every node.
func shuffled(self string, list []string) []string {
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Compare(statesync.HashText(self, b), statesync.HashText(self, a))
	})
	return list
}

const (
	// rootFanOut is how many routers a controller sends its updates to. The machines of
	// controllers have the faster links; with fewer, more routers are relays, on links that
	// their copies of the loads fill, and every level makes the loads older.
	rootFanOut = 64
	// relayFanOut is the same of a router that relays. With fewer, more routers are relays;
	// with more, the copies of a large change share the router's link.
	relayFanOut = 16
)
