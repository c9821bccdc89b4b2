package consensus

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// RepairGroup replaces wiped and unreachable members, and grows a group only if it can
// reach an odd size.
func TestRepairGroup(t *testing.T) {
	member := func(id string) messages.Member { return messages.Member{ID: id, Addr: id[:1]} }
	members := func(ids ...string) (out []messages.Member) {
		for _, id := range ids {
			out = append(out, member(id))
		}
		return out
	}
	const timeoutUs = 10
	for _, test := range []struct {
		name        string
		group       []messages.Member
		candidates  []messages.Member
		unreachable string // address
		want        []messages.Member
	}{
		{name: "no candidate", group: members("a/0", "b/0", "c/0")},
		{name: "odd group, one candidate", group: members("a/0", "b/0", "c/0"), candidates: members("d/1")},
		{name: "odd group, two candidates", group: members("a/0", "b/0", "c/0"), candidates: members("d/1", "e/1"), want: members("a/0", "b/0", "c/0", "d/1")},
		{name: "even group, one candidate", group: members("a/0", "b/0", "c/0", "d/0"), candidates: members("e/1"), want: members("a/0", "b/0", "c/0", "d/0", "e/1")},
		{name: "member wiped", group: members("a/0", "b/0", "c/0"), candidates: members("b/2"), want: members("a/0", "b/2", "c/0")},
		{name: "member unreachable, one candidate", group: members("a/0", "b/0", "c/0"), candidates: members("d/1"), unreachable: "c", want: members("a/0", "b/0", "d/1")},
		{name: "member unreachable, no candidate", group: members("a/0", "b/0", "c/0"), unreachable: "c"},
		{name: "even group, member unreachable, no candidate", group: members("a/0", "b/0", "c/0", "d/0"), unreachable: "c", want: members("a/0", "b/0", "d/0")},
	} {
		t.Run(test.name, func(t *testing.T) {
			status := Status{
				Ready: slices.Concat(test.group, test.candidates),
				UnreachableFor: func(addr string) int64 {
					if addr == test.unreachable {
						return timeoutUs + 1
					}
					return 0
				},
				UnreachableTimeoutUs: timeoutUs,
			}
			next, changed := RepairGroup(test.group, status)
			must.Eq(t, test.want != nil, changed)
			must.Eq(t, test.want, next)
		})
	}
}

// If some controllers are counted, only counted ones become members.
func TestRepairGroupPrefersCountedControllers(t *testing.T) {
	alive := func(string) int64 { return 0 }
	peer := func(addr string, counted bool) messages.Peer {
		return messages.Peer{Addr: addr, MemberID: BootstrapID(addr), Counted: counted}
	}
	g := InitialValue([]string{"a", "b", "x"}).Group
	next, want := RepairGroup(g, NewStatus([]messages.Peer{peer("a", true), peer("b", true), peer("c", true), peer("x", false)}, false, alive, 10))
	must.True(t, want)
	must.True(t, containsMember(next, BootstrapID("c")))
	must.False(t, containsMember(next, BootstrapID("x")))
	_, want = RepairGroup(g, NewStatus([]messages.Peer{peer("a", true), peer("b", true), peer("x", false)}, false, alive, 10))
	must.False(t, want, must.Sprint("there is no counted candidate"))
	_, want = RepairGroup(g, NewStatus([]messages.Peer{peer("a", false), peer("b", false), peer("x", false), peer("y", false)}, false, alive, 10))
	must.False(t, want, must.Sprint("if none is counted, all are eligible"))
}

// Guards against a member without a disk in the group of a core that is away: whether the deployment
// has counted controllers does not depend on who is alive.
func TestUncountedControllersStayOutOfTheGroupWhileTheCoreIsAway(t *testing.T) {
	uncounted := []messages.Peer{{Addr: "x", MemberID: BootstrapID("x")}, {Addr: "y", MemberID: BootstrapID("y")}}
	dead := func(string) int64 { return 20 }
	g := InitialValue([]string{"a", "b", "c"}).Group
	_, want := RepairGroup(g, NewStatus(uncounted, false, dead, 10))
	must.True(t, want, must.Sprint("no counted controller has ever been seen"))
	status := NewStatus(uncounted, true, dead, 10)
	_, want = RepairGroup(g, status)
	must.False(t, want)
	must.SliceEmpty(t, status.Ready)
}
