package membership

import (
	"beechtide.org/beechtide/internal/messages"
)

// CountedControllers returns the controllers that count towards the fault tolerance (the
// number of machines that may be lost), or all controllers if none counts.
func CountedControllers(controllers []messages.Peer) []messages.Peer {
	var counted []messages.Peer
	for _, c := range controllers {
		if c.Counted {
			counted = append(counted, c)
		}
	}
	if len(counted) == 0 {
		return controllers
	}
	return counted
}
