package doctor

import (
	"context"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

func healthy() []Visited {
	group := []messages.Member{{ID: "a/0", Addr: "a"}, {ID: "b/0", Addr: "b"}, {ID: "c/0", Addr: "c"}}
	var out []Visited
	for _, addr := range []string{"a", "b", "c"} {
		out = append(out, Visited{Addr: addr, Role: messages.Controller, Seed: true, AskedUs: 1_000_000, TookUs: 2_000, Condition: &messages.Condition{Node: addr, Role: messages.Controller, Addr: addr, MemberID: addr + "/0", TimeUs: 1_001_000, Versions: []int64{4}, Groups: [][]messages.Member{group}, HasDisk: true, SaveUs: 900, Runners: 3}})
	}
	return append(out, Visited{Addr: "x", Role: messages.Router, AskedUs: 1_000_000, Condition: &messages.Condition{Node: "x", Role: messages.Router, Addr: "x", TimeUs: 1_000_000, Versions: []int64{4}, Runners: 3}})
}

func TestHealthySystemHasNoFindings(t *testing.T) {
	must.SliceEmpty(t, Examine(healthy()))
	must.Eq(t, 0, Status(nil))
}

func TestWhatIsInOrderIsNotNamed(t *testing.T) {
	l := healthy()
	l[3].Condition.Wholes, l[3].Condition.Changes = 30, 100_000
	l = append(l, Visited{Addr: "d", Role: messages.Controller, AskedUs: 1_000_000, Condition: &messages.Condition{Node: "d", Role: messages.Controller, Addr: "d", MemberID: "d/x", TimeUs: 1_000_000, Versions: []int64{4}, Groups: l[0].Condition.Groups, Runners: 3}})
	must.SliceEmpty(t, Examine(l), must.Sprint("few repairs, and a controller without a disk that is in no group"))
}

func TestEachFaultIsNamed(t *testing.T) {
	for _, c := range []struct {
		want   string
		status int
		spoil  func([]Visited)
	}{
		{"a seed does not answer", 1, func(l []Visited) { l[2].Condition = nil }},
		{"members [c/0] do not answer", 1, func(l []Visited) { l[2].Condition = nil }},
		{"a repair waits for members [d/1]", 1, func(l []Visited) { l[1].Condition.Unconfirmed = []string{"d/1"} }},
		{"no majority", 3, func(l []Visited) { l[1].Condition, l[2].Condition = nil, nil }},
		{"no node answers", 3, func(l []Visited) {
			for i := range l {
				l[i].Condition = nil
			}
		}},
		{"no seed answers", 3, func(l []Visited) { l[0].Condition, l[1].Condition, l[2].Condition = nil, nil, nil }},
		{"that others know does not answer", 1, func(l []Visited) { l[3].Condition = nil }},
		{"no group is known", 3, func(l []Visited) {
			for i := range 3 {
				l[i].Condition.Groups = [][]messages.Member{{}}
			}
		}},
		{"part 0 is at 3, others have 4", 1, func(l []Visited) { l[3].Condition.Versions[0] = 3 }},
		{"in memory only", 1, func(l []Visited) { l[0].Condition.HasDisk = false }},
		{"last write failed: full", 1, func(l []Visited) { l[0].Condition.SaveFault = "full" }},
		{"last write took 900 ms", 1, func(l []Visited) { l[0].Condition.SaveUs = 900_000 }},
		{"members [b/0] do not answer", 1, func(l []Visited) { l[1].Condition.MemberID = "b/new" }},
		{"knows no runner", 1, func(l []Visited) { l[0].Condition.Runners = 0 }},
		{"runner r1 has not beaten", 1, func(l []Visited) { l[0].Condition.Stale = []string{"r1"} }},
		{"kept parts of runner r1", 1, func(l []Visited) { l[0].Condition.Unread = []string{"r1"} }},
		{"thresholds of runner r1", 1, func(l []Visited) { l[3].Condition.Blind = []string{"r1"} }},
		{"falls back to wholes: 30", 1, func(l []Visited) { l[3].Condition.Wholes, l[3].Condition.Changes = 30, 900 }},
		{"2 messages that it could not read", 1, func(l []Visited) { l[3].Condition.Malformed = 2 }},
		{"2000 ms off", 1, func(l []Visited) { l[3].Condition.TimeUs += 2_000_000 }},
	} {
		l := healthy()
		c.spoil(l)
		found := Examine(l)
		text := ""
		for _, f := range found {
			text += f.String() + "\n"
			must.NotEq(t, "", f.Do)
		}
		must.StrContains(t, text, c.want)
		must.Eq(t, c.status, Status(found), must.Sprint(c.want))
	}
}

type stand map[string]*messages.Condition

func (s stand) Call(_ context.Context, addr string, _ int, _ msgp.Marshaler) ([]byte, error) {
	if s[addr] == nil {
		return nil, errors.New("silent")
	}
	return s[addr].MarshalMsg(nil)
}

func TestVisitFollowsWhatSeedsKnow(t *testing.T) {
	s := stand{"a": {Node: "a", Peers: []messages.Peer{{Addr: "a"}, {Addr: "x", Role: messages.Router}, {Addr: "y", Role: messages.Router}}}, "x": {Node: "x"}}
	list := Visit(context.Background(), s, []string{"a", "b"})
	var got []string
	for _, v := range list {
		version := ""
		if v.Condition == nil {
			version = "!"
		}
		got = append(got, v.Addr+version)
	}
	must.Eq(t, "a b! x y!", strings.Join(got, " "))
}
