package precondition

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func TestCheckAsksUnconfirmedOrderForNewestNumber(t *testing.T) {
	var required *RequiredError
	must.True(t, errors.As(Check(Unconfirmed, 3), &required))
	must.Eq(t, 3, required.Newest)
}

func TestCheckAllowsFirstOrderAndConfirmedOne(t *testing.T) {
	must.NoError(t, Check(Unconfirmed, 0))
	must.NoError(t, Check(3, 3))
}

func TestCheckRejectsOrderConfirmedBeforeNewerOne(t *testing.T) {
	must.ErrorIs(t, Check(3, 4), ErrOvertaken)
}
