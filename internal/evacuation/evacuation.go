// Package evacuation decides what the operator's orders do that evacuate a zone or take it back. Pure.
package evacuation

import (
	"slices"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/precondition"
)

// Order is an order of the operator for one zone. After is the number of the zone's newest order that
// its caller was told of (package precondition).
type Order struct {
	Zone      string
	Evacuated bool
	After     precondition.Number
}

// Apply returns the list with the order in it, which gets the zone's next number. An order that reverts
// the newest one is subject to precondition.Check; one that repeats it is not.
func Apply(list []messages.Evacuation, order Order) ([]messages.Evacuation, error) {
	next := slices.Clone(list)
	i := slices.IndexFunc(next, func(e messages.Evacuation) bool { return e.Zone == order.Zone })
	if i < 0 {
		next = append(next, messages.Evacuation{Zone: order.Zone})
		i = len(next) - 1
	}
	current := &next[i]
	if current.Evacuated != order.Evacuated {
		if err := precondition.Check(order.After, current.Changes); err != nil {
			return nil, err
		}
	}
	current.Evacuated = order.Evacuated
	current.Changes++
	return next, nil
}
