package evacuation

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/precondition"
)

// mustApply applies an order that must be accepted.
func mustApply(t *testing.T, list []messages.Evacuation, order Order) []messages.Evacuation {
	t.Helper()
	next, err := Apply(list, order)
	must.NoError(t, err)
	return next
}

func begin(zone string, after precondition.Number) Order { return Order{zone, true, after} }

func finish(zone string, after precondition.Number) Order { return Order{zone, false, after} }

func TestFirstOrderOfZoneNeedsNoConfirmation(t *testing.T) {
	list := mustApply(t, nil, begin("a", precondition.Unconfirmed))
	list = mustApply(t, list, begin("b", precondition.Unconfirmed))
	must.Eq(t, []messages.Evacuation{{Zone: "a", Changes: 1, Evacuated: true}, {Zone: "b", Changes: 1, Evacuated: true}}, list)
}

func TestRevertingOrderIsConfirmedFirst(t *testing.T) {
	list := mustApply(t, nil, begin("a", precondition.Unconfirmed))
	_, err := Apply(list, finish("a", precondition.Unconfirmed))
	var required *precondition.RequiredError
	must.True(t, errors.As(err, &required))
	list = mustApply(t, list, finish("a", required.Newest))
	must.Eq(t, []messages.Evacuation{{Zone: "a", Changes: 2}}, list)
}

// A caller that changes its mind repeats the order in force; its given-up order must not follow.
func TestOrderConfirmedBeforeRepeatOfOppositeOneIsOvertaken(t *testing.T) {
	list := mustApply(t, nil, begin("a", precondition.Unconfirmed))
	list = mustApply(t, list, begin("a", precondition.Unconfirmed))
	_, err := Apply(list, finish("a", 1))
	must.ErrorIs(t, err, precondition.ErrOvertaken)
}

func TestApplyLeavesListUnchanged(t *testing.T) {
	list := mustApply(t, nil, begin("a", precondition.Unconfirmed))
	mustApply(t, list, finish("a", 1))
	must.Eq(t, []messages.Evacuation{{Zone: "a", Changes: 1, Evacuated: true}}, list)
}
