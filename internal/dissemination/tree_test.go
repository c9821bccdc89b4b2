package dissemination

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestParentsPreferOwnZone(t *testing.T) {
	var routers []messages.Peer
	for i := range 100 {
		routers = append(routers, messages.Peer{Addr: fmt.Sprintf("c%02d", i), Zone: "a"})
	}
	controllers := []messages.Peer{{Addr: "da", Zone: "a"}, {Addr: "db", Zone: "b"}}
	must.Eq(t, []string{"da", "db"}, Parents("c03", "a", controllers, routers))
	must.Eq(t, []string{"da", "db"}, Parents("c63", "a", controllers, routers))
	must.Eq(t, []string{"c00", "da", "db"}, Parents("c64", "a", controllers, routers))
	must.Eq(t, []string{"c01", "da", "db"}, Parents("c81", "a", controllers, routers))
	must.Eq(t, []string{"da", "db"}, Parents("x", "c", controllers, routers))
}

func TestParentsSpreadRoutersOverCountedControllers(t *testing.T) {
	var routers []messages.Peer
	for i := range 2*rootFanOut + 2 {
		routers = append(routers, messages.Peer{Addr: fmt.Sprintf("c%03d", i), Zone: "a"})
	}
	controllers := []messages.Peer{{Addr: "d1", Zone: "a", Counted: true}, {Addr: "d2", Zone: "a", Counted: true}, {Addr: "d3", Zone: "a"}, {Addr: "d4", Zone: "b", Counted: true}}
	routersByParent := map[string]int{}
	for i, c := range routers[:2*rootFanOut] {
		parents := Parents(c.Addr, "a", controllers, routers)
		must.Len(t, 3, parents)
		must.Eq(t, "d4", parents[2])
		routersByParent[parents[0]]++
		if i > 0 {
			must.Eq(t, parents, Parents(c.Addr, "a", controllers, routers[1:]), must.Sprint("the parents stay the same when another router leaves"))
		}
	}
	must.Greater(t, rootFanOut/2, routersByParent["d1"])
	must.Greater(t, rootFanOut/2, routersByParent["d2"])
	must.Eq(t, 2*rootFanOut, routersByParent["d1"]+routersByParent["d2"])
	must.Eq(t, "c000", Parents("c128", "a", controllers, routers)[0])
	must.Eq(t, []string{"d3"}, Parents("c000", "a", controllers[2:3], routers), must.Sprint("if no controller is counted, all are used"))
}
