// The core: the controllers whose loss is bounded by the tolerance.
package membership

import (
	"beechtide.org/beechtide/internal/messages"
)

// Core is those of the controllers that count among the machines whose loss is
// bounded, or all where none does.
func Core(controllers []messages.Peer) []messages.Peer {
	var out []messages.Peer
	for _, d := range controllers {
		if d.Counted {
			out = append(out, d)
		}
	}
	if len(out) == 0 {
		return controllers
	}
	return out
}
