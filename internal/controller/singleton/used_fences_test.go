package singleton

import (
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/consensus"
)

func TestUsedFenceIsReadFromDiskAfterRestart(t *testing.T) {
	store, err := consensus.NewDiskStore(t.TempDir())
	must.NoError(t, err)
	nowUs := int64(1)
	process := func() *Leases { return newTestLeases(t, &nowUs, store) }
	first := process()
	must.False(t, first.usedFence(2, 7))
	first.RecordFenceUsed(2, 7)
	must.True(t, first.usedFence(2, 7))
	for _, ok := store.ReadFile(usedFenceFile(2)); !ok; _, ok = store.ReadFile(usedFenceFile(2)) {
		runtime.Gosched()
	}
	second := process()
	must.True(t, second.usedFence(2, 7))
	must.False(t, second.usedFence(2, 8))
	must.False(t, second.usedFence(1, 7))
}
