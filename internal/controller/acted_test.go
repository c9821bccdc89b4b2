package controller

import (
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/consensus"
)

func TestALaterLifeKnowsTheFenceThatWasActedUnder(t *testing.T) {
	store, err := consensus.NewDiskStore(t.TempDir())
	must.NoError(t, err)
	life := func() *Controller {
		d := &Controller{disk: store}
		d.rollouts.init()
		return d
	}
	first := life()
	must.False(t, first.actedUnder(2, 7))
	first.noteActed(2, 7)
	must.True(t, first.actedUnder(2, 7))
	for _, ok := store.Note(actedFile(2)); !ok; _, ok = store.Note(actedFile(2)) {
		runtime.Gosched()
	}
	second := life()
	must.True(t, second.actedUnder(2, 7))
	must.False(t, second.actedUnder(2, 8))
	must.False(t, second.actedUnder(1, 7))
}
