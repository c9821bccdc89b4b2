// The ledger holds the closed windows and is stored in a consensus register.

package usage

import (
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// Close appends a window with its counts to the ledger, and removes the windows up to
// reported, which the platform has accepted. It returns false and changes nothing if
// another window is the next one to be closed.
func Close(ledger *messages.UsageLedger, window int64, counts []messages.UsageCount, reported int64) bool {
	if ledger.Next != 0 && ledger.Next != window {
		return false
	}
	pending := Pending(*ledger, reported)
	ledger.Pending = append(slices.Clone(pending), messages.UsageWindow{Window: window, Counts: counts})
	ledger.Next = window + 1
	return true
}

// Pending returns the closed windows after reported, oldest first.
func Pending(ledger messages.UsageLedger, reported int64) []messages.UsageWindow {
	first := slices.IndexFunc(ledger.Pending, func(w messages.UsageWindow) bool { return w.Window > reported })
	if first < 0 {
		return nil
	}
	return ledger.Pending[first:]
}
