// Package precondition decides whether an order may still be carried out that names no base by itself.
//
// The bytes of an order may arrive long after its caller has given it up: they waited at a process that
// was stopped, or behind a partition. By then the caller may have been acknowledged a newer order that
// says the opposite. So an order that could revert an earlier one is carried out in two steps. The first
// response names the newest order that is committed; the caller, if it still waits, sends its order again
// with that number; and the order is carried out only if no other one has been acknowledged since. Every
// acknowledged order has to raise the number, also one that changes nothing.
//
// The package is pure.
package precondition

import (
	"fmt"

	"github.com/pkg/errors"
)

// Number counts the acknowledged orders about one subject, from 1 on; 0 is before the first.
type Number = int64

// Unconfirmed is the number that an order names whose caller has not been told any.
const Unconfirmed Number = -1

// ErrOvertaken means that another order was acknowledged after the one that the caller was told of.
var ErrOvertaken = errors.New("another order was acknowledged in the meantime")

// RequiredError means that the caller has to confirm the order: it is carried out if it names Newest and
// that is the newest order still.
type RequiredError struct{ Newest Number }

func (e *RequiredError) Error() string {
	return fmt.Sprintf("the order has to be confirmed after order %d", e.Newest)
}

// Check returns nil if an order that names a number may replace the newest committed one. An order for a
// subject that never had one needs no confirmation, since none can have been acknowledged after it.
func Check(named, newest Number) error {
	switch {
	case newest == 0, named == newest:
		return nil
	case named == Unconfirmed:
		return &RequiredError{Newest: newest}
	}
	return ErrOvertaken
}
