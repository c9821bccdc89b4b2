package radio

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// air carries the crews' datagrams; cut pairs and down nodes lose them.
type air struct {
	crews map[string]*Crew
	cut   map[[2]string]bool
	down  map[string]bool
	rnd   *rand.Rand
	loss  int // one in so many is lost
	nowUs int64
}

func newAir(n int) *air {
	a := &air{crews: map[string]*Crew{}, cut: map[[2]string]bool{}, down: map[string]bool{}, rnd: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		addr := fmt.Sprintf("n%d", i)
		a.crews[addr] = NewCrew(messages.Peer{Addr: addr, Role: messages.Router, Life: int64(i + 1)}, DefaultCrewTimes, a.rnd.IntN)
	}
	for addr, c := range a.crews {
		if addr != "n0" {
			a.carry(addr, []Send{c.Greet("n0")})
		}
	}
	return a
}

func (a *air) carry(from string, list []Send) {
	for len(list) > 0 {
		s := list[0]
		list = list[1:]
		if a.down[s.To] || a.down[from] || a.cut[[2]string{from, s.To}] || a.cut[[2]string{s.To, from}] || a.crews[s.To] == nil {
			continue
		}
		if a.loss > 0 && a.rnd.IntN(a.loss) == 0 {
			continue
		}
		a.carry(s.To, a.crews[s.To].Hear(s.Kind, s.Msg, a.nowUs))
	}
}

func (a *air) run(us int64) {
	for end := a.nowUs + us; a.nowUs < end; a.nowUs += 100_000 {
		for addr, c := range a.crews {
			if !a.down[addr] {
				a.carry(addr, c.Tick(a.nowUs))
			}
		}
	}
}

func TestAllMeetThroughOneSeed(t *testing.T) {
	a := newAir(12)
	a.run(8_000_000)
	for addr, c := range a.crews {
		must.Len(t, 12, c.Alive(messages.Router), must.Sprint(addr))
	}
}

func TestDeadIsRemovedAndReturnIsSeen(t *testing.T) {
	a := newAir(8)
	a.run(6_000_000)
	a.down["n3"] = true
	a.run(8_000_000)
	for addr, c := range a.crews {
		if addr != "n3" {
			must.Len(t, 7, c.Alive(messages.Router), must.Sprint(addr))
			must.Greater(t, 0, c.DeadForUs("n3", a.nowUs))
		}
	}
	a.down["n3"] = false
	a.crews["n3"] = NewCrew(messages.Peer{Addr: "n3", Role: messages.Router, Life: 1, MemberID: "new"}, DefaultCrewTimes, a.rnd.IntN)
	a.carry("n3", []Send{a.crews["n3"].Greet("n0")})
	a.run(10_000_000)
	for addr, c := range a.crews {
		must.Len(t, 8, c.Alive(messages.Router), must.Sprint(addr))
		for _, p := range c.Alive(messages.Router) {
			if p.Addr == "n3" {
				must.Eq(t, "new", p.MemberID)
			}
		}
	}
}

func TestOneBadPathDoesNotKill(t *testing.T) {
	a := newAir(6)
	a.run(6_000_000)
	a.cut[[2]string{"n1", "n2"}] = true
	for range 40 {
		a.run(500_000)
		for addr, c := range a.crews {
			must.Len(t, 6, c.Alive(messages.Router), must.Sprint(addr))
		}
	}
}

func TestLostDatagramsAreBorne(t *testing.T) {
	a := newAir(8)
	a.run(6_000_000)
	a.loss = 50
	a.run(60_000_000)
	for addr, c := range a.crews {
		must.Len(t, 8, c.Alive(messages.Router), must.Sprint(addr))
	}
}

func TestParentsKeepSitesTogether(t *testing.T) {
	var routers []messages.Peer
	for i := range 40 {
		routers = append(routers, messages.Peer{Addr: fmt.Sprintf("c%02d", i), Zone: "a"})
	}
	controllers := []messages.Peer{{Addr: "da", Zone: "a"}, {Addr: "db", Zone: "b"}}
	must.Eq(t, []string{"da", "db"}, Parents("c03", "a", controllers, routers))
	must.Eq(t, []string{"da", "db"}, Parents("c15", "a", controllers, routers))
	must.Eq(t, []string{"c00", "da", "db"}, Parents("c16", "a", controllers, routers))
	must.Eq(t, []string{"c01", "da", "db"}, Parents("c33", "a", controllers, routers))
	must.Eq(t, []string{"da", "db"}, Parents("x", "c", controllers, routers))
}

func TestCountersSpreadOverTheDispatchesThatCount(t *testing.T) {
	var routers []messages.Peer
	for i := range 34 {
		routers = append(routers, messages.Peer{Addr: fmt.Sprintf("c%02d", i), Zone: "a"})
	}
	controllers := []messages.Peer{{Addr: "d1", Zone: "a", Counted: true}, {Addr: "d2", Zone: "a", Counted: true}, {Addr: "d3", Zone: "a"}, {Addr: "d4", Zone: "b", Counted: true}}
	first := map[string]int{}
	for i, c := range routers[:32] {
		p := Parents(c.Addr, "a", controllers, routers)
		must.Len(t, 3, p)
		must.Eq(t, "d4", p[2])
		first[p[0]]++
		if i > 0 {
			must.Eq(t, p, Parents(c.Addr, "a", controllers, routers[1:]), must.Sprint("it stays when another goes"))
		}
	}
	must.Greater(t, 8, first["d1"])
	must.Greater(t, 8, first["d2"])
	must.Eq(t, 32, first["d1"]+first["d2"])
	must.Eq(t, "c00", Parents("c32", "a", controllers, routers)[0])
	must.Eq(t, []string{"d3"}, Parents("c00", "a", controllers[2:3], routers), must.Sprint("where none counts, all do"))
}

// A newcomer that starts after a member died must still see that it is gone
// (ritwerk trouble-2 --seed 13: the newcomer was the steward).
func TestNewcomerTakesTheNeverHeardForGone(t *testing.T) {
	a := newAir(4)
	a.run(6_000_000)
	a.down["n1"] = true
	a.run(8_000_000)
	c := NewCrew(messages.Peer{Addr: "new", Role: messages.Router, Life: 9}, DefaultCrewTimes, a.rnd.IntN)
	a.crews["new"] = c
	a.carry("new", []Send{c.Greet("n0")})
	a.run(1_000_000)
	must.Eq(t, int64(0), c.DeadForUs("n1", a.nowUs), must.Sprint("too early to tell"))
	a.run(4_000_000)
	must.Greater(t, int64(1_000_000), c.DeadForUs("n1", a.nowUs))
	must.Eq(t, int64(0), c.DeadForUs("n2", a.nowUs))
	must.Eq(t, int64(0), c.DeadForUs("new", a.nowUs))
}
