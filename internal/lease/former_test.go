package lease

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestAClaimThatWasNeverActedUnderIsWaitedForLikeAnothers(t *testing.T) {
	must.Eq(t, Nobody, Former("", "a", false))
	must.Eq(t, Itself, Former("a", "a", true))
	must.Eq(t, Another, Former("a", "a", false))
	must.Eq(t, Another, Former("b", "a", true))
}
