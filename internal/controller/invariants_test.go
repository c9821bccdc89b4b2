package controller

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/invariant/invarianttest"
	"beechtide.org/beechtide/internal/messages"
)

func TestAcknowledgedChangeThatIsNotCommittedViolatesInvariant(t *testing.T) {
	d, _, stop := core(t, "", freePort(t), true)
	defer stop()
	committed, ok := d.registers.Committed(consensus.ConfigPart)
	must.True(t, ok)
	d.checkAcknowledged(1, committed)
	must.Eq(t, 1, d.acknowledged.Load())
	invarianttest.Expect(t, acknowledgedIsCommitted)
	d.checkAcknowledged(2, messages.Value{Version: committed.Version + 1})
}

func TestReadOlderThanAcknowledgedViolatesInvariant(t *testing.T) {
	checkRead(3, 3)
	checkRead(4, 3)
	invarianttest.Expect(t, readIsNewest)
	checkRead(2, 3)
}
