package operatorapi

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/messages"
)

// Guards against EXPOSURE: the next order made a register forget that the version before was reverted.
func TestOrderAfterReversionKeepsRevertedVersion(t *testing.T) {
	before := messages.LeaseBody{Rollouts: []messages.ServiceRollout{{Service: "s", Target: "v2", Stage: int(canary.Reverted), Number: 1}}}
	encoded, err := before.MarshalMsg(nil)
	must.NoError(t, err)
	s := &Service{config: Config{TimeOfDay: func() (int64, bool) { return 1, true }}}
	_, encoded, err = s.applyRollout(messages.Value{Body: encoded}, canary.Order{Service: "s", Target: "v3", DurationUs: 12_000_000, After: 1})
	must.NoError(t, err)
	after, err := messages.DecodeLeaseBody(messages.Value{Body: encoded})
	must.NoError(t, err)
	must.Eq(t, "v3", after.Rollouts[0].Target)
	must.Eq(t, []messages.RevertedVersion{{Service: "s", Version: "v2"}}, after.Reverted)
}
