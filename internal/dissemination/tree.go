// The relay tree: which nodes a router subscribes to.

package dissemination

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Parents returns the nodes that a router may subscribe to, in order of preference: its
// parent in the tree, then the controllers of its zone, then the other controllers. The
// first routers of a zone subscribe to the zone's controllers, the others to routers before
// them in the list, so that a change is sent to a zone once for each controller there. A
// hash of both addresses orders the controllers, so that few routers change their parent
// when nodes join or leave.
func Parents(self string, zone string, controllers, routers []messages.Peer) []string {
	var localControllers, remoteControllers, zoneRouters []string
	for _, controller := range membership.CountedControllers(controllers) {
		if controller.Zone == zone {
			localControllers = append(localControllers, controller.Addr)
		} else {
			remoteControllers = append(remoteControllers, controller.Addr)
		}
	}
	position := -1
	for _, router := range routers {
		if router.Zone != zone {
			continue
		}
		if router.Addr == self {
			position = len(zoneRouters)
		}
		zoneRouters = append(zoneRouters, router.Addr)
	}
	var parents []string
	if roots := max(len(localControllers), 1) * rootFanOut; position >= roots {
		parents = append(parents, zoneRouters[(position-roots)/relayFanOut])
	}
	return append(append(parents, sortByHash(self, localControllers)...), sortByHash(self, remoteControllers)...)
}

// sortByHash sorts addrs by a hash of self and the address, so that the order differs between
// nodes, and returns them.
func sortByHash(self string, addrs []string) []string {
	slices.SortFunc(addrs, func(a, b string) int {
		return cmp.Compare(statesync.HashText(self, b), statesync.HashText(self, a))
	})
	return addrs
}

const (
	// rootFanOut is the number of routers for each controller of the zone that subscribe to
	// controllers directly. Controllers' machines have the faster links. With a smaller value
	// more routers are relays, whose links are filled by the copies of the loads that they
	// send, and each level of the tree adds to the age of the loads.
	rootFanOut = 64
	// relayFanOut is the number of routers that subscribe to one relaying router. With a
	// smaller value more routers are relays; with a larger one the copies of a large change
	// compete for the router's link.
	relayFanOut = 16
)
