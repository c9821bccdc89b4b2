package consensus

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestRepairGroup(t *testing.T) {
	g := Genesis([]string{"a", "b", "c"}).Group
	gone := map[string]int64{}
	st := func(ready ...messages.Member) Status {
		return Status{Ready: append(append([]messages.Member{}, g...), ready...), GoneFor: func(a string) int64 { return gone[a] }, GoneUs: 10}
	}
	_, want := RepairGroup(g, st())
	must.False(t, want)
	_, want = RepairGroup(g, st(messages.Member{ID: "d/1", Addr: "d"}))
	must.False(t, want, must.Sprint("a single newcomer waits"))
	next, want := RepairGroup(g, st(messages.Member{ID: "b/2", Addr: "b"}))
	must.True(t, want)
	must.False(t, containsMember(next, FirstID("b")))
	must.Len(t, 3, next)
	gone["c"] = 11
	next, want = RepairGroup(g, st(messages.Member{ID: "d/1", Addr: "d"}))
	must.True(t, want)
	must.False(t, containsMember(next, FirstID("c")))
	must.True(t, containsMember(next, "d/1"))
	_, want = RepairGroup(g, st())
	must.False(t, want, must.Sprint("nobody to take its place"))
	delete(gone, "c")
	next, want = RepairGroup(g, st(messages.Member{ID: "d/1", Addr: "d"}, messages.Member{ID: "e/1", Addr: "e"}))
	must.True(t, want)
	must.Len(t, 4, next)
}

func TestRepairGroupPrefersCountedControllers(t *testing.T) {
	alive := func(addr string) int64 { return 0 }
	peer := func(addr string, counted bool) messages.Peer {
		return messages.Peer{Addr: addr, MemberID: FirstID(addr), Counted: counted}
	}
	g := Genesis([]string{"a", "b", "x"}).Group
	next, want := RepairGroup(g, Stand([]messages.Peer{peer("a", true), peer("b", true), peer("c", true), peer("x", false)}, alive, 10))
	must.True(t, want)
	must.True(t, containsMember(next, FirstID("c")))
	must.False(t, containsMember(next, FirstID("x")))
	_, want = RepairGroup(g, Stand([]messages.Peer{peer("a", true), peer("b", true), peer("x", false)}, alive, 10))
	must.False(t, want, must.Sprint("nobody to take its place"))
	_, want = RepairGroup(g, Stand([]messages.Peer{peer("a", false), peer("b", false), peer("x", false), peer("y", false)}, alive, 10))
	must.False(t, want, must.Sprint("where none counts, all do"))
}
