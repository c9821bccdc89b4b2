package router

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestStartingRouterWaitsForControllerOfItsZone(t *testing.T) {
	seeds := []messages.Peer{{Addr: "d1", Zone: "a"}, {Addr: "d2", Zone: "b"}}
	must.True(t, waitsForZone(0, "c", nil))
	must.True(t, waitsForZone(zoneParentWaitUs-1, "c", seeds))
	must.False(t, waitsForZone(0, "b", seeds), must.Sprint("a controller of its zone is known"))
	must.False(t, waitsForZone(zoneParentWaitUs, "c", seeds), must.Sprint("after the wait, any known controller will do"))
}
