package membership

import (
	"beechtide.org/beechtide/internal/messages"
)

// Core selects the controllers that count among the machines whose loss the
// tolerance bounds, or all of them where none counts.
func Core(controllers []messages.Peer) []messages.Peer {
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
