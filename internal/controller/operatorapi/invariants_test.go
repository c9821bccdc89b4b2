package operatorapi

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/invariant/invarianttest"
	"beechtide.org/beechtide/internal/messages"
)

func TestAcknowledgedChangeThatIsNotCommittedViolatesInvariant(t *testing.T) {
	s := newTestService(t, 4, nil)
	s.checkAcknowledged(1, messages.Value{Version: 4})
	must.Eq(t, 1, s.Acknowledged())
	invarianttest.Expect(t, acknowledgedIsCommitted)
	s.checkAcknowledged(2, messages.Value{Version: 5})
}

func TestReadOlderThanAcknowledgedViolatesInvariant(t *testing.T) {
	checkRead(3, 3)
	checkRead(4, 3)
	invarianttest.Expect(t, readNotOlderThanAcknowledged)
	checkRead(2, 3)
}
