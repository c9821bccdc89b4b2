package consensus

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// Without a candidate a leaving member has no hand-over and no step.
func TestHandOverIsSkippedWithoutCandidate(t *testing.T) {
	model := newRepairModel(t, 1, 3)
	m := model.machines["10.0.0.2:1"]
	m.leaving = true
	_, possible := HandOver(m.learned.Group, m.addr, model.status())
	must.False(t, possible)
	_, due := m.coordinator.Step(tickUs, model.view(m))
	must.False(t, due)
}

// The rank of a controller determines when it acts. A controller that does not reach a
// majority never acts, one with a disk fault only after all others, and a change of the
// group restarts the delay.
func TestStepIsDelayedByRank(t *testing.T) {
	g := InitialValue([]string{"a", "b", "c"})
	status := Status{
		Ready:                []messages.Member{g.Group[0], g.Group[1], {ID: "d/1", Addr: "d"}},
		UnreachableFor:       func(addr string) int64 { return map[string]int64{"c": unreachableTimeoutUs}[addr] },
		UnreachableTimeoutUs: unreachableTimeoutUs,
	}
	view := func(self string) RepairView {
		return RepairView{Self: self, Base: g, Status: status, QuorumReachable: true}
	}
	firstActUs := func(v RepairView) int64 {
		var c RepairCoordinator
		for nowUs := int64(1); nowUs < 10*RankDelayUs; nowUs += RankDelayUs / 2 {
			if _, due := c.Step(nowUs, v); due {
				return nowUs - 1
			}
		}
		return -1
	}
	must.Eq(t, 0, firstActUs(view("a")))
	must.Eq(t, RankDelayUs, firstActUs(view("b")))
	must.Eq(t, 2*RankDelayUs, firstActUs(view("d")))
	must.Eq(t, -1, firstActUs(view("x")), must.Sprint("not eligible"))
	v := view("a")
	v.QuorumReachable = false
	must.Eq(t, -1, firstActUs(v))
	v = view("a")
	v.DiskFault = true
	must.Eq(t, 3*RankDelayUs, firstActUs(v))

	var c RepairCoordinator
	_, due := c.Step(1, view("b"))
	must.False(t, due)
	v = view("b")
	v.Base.Version, v.Base.Group = 1, append([]messages.Member{{ID: "e/1", Addr: "e"}}, g.Group[1:]...)
	_, due = c.Step(1+RankDelayUs, v)
	must.False(t, due, must.Sprint("a change of the group must restart the delay"))

	c = RepairCoordinator{}
	withoutFault := view("a")
	withoutFault.Status.UnreachableFor = func(string) int64 { return 0 }
	_, due = c.Step(1, withoutFault)
	must.False(t, due)
	_, due = c.Step(2+MaxStepGapUs, view("a"))
	must.False(t, due, must.Sprint("after a suspension the view is stale"))
	_, due = c.Step(2+MaxStepGapUs+RankDelayUs, view("a"))
	must.True(t, due)
}

// The next change waits, up to a timeout, for the confirmation of the member that joined
// by the last one.
func TestNextChangeWaitsForJoiningMember(t *testing.T) {
	before := InitialValue([]string{"a", "b", "c", "d", "e"})
	after := before
	after.Version = 1
	joined, candidate := messages.Member{ID: "d/1", Addr: "d"}, messages.Member{ID: "e/1", Addr: "e"}
	after.Group = replaceMember(before.Group, 3, &joined)
	healthy := Status{Ready: before.Group, UnreachableFor: func(string) int64 { return 0 }, UnreachableTimeoutUs: 1}
	wiped := healthy
	wiped.Ready = append(append([]messages.Member{}, before.Group[:3]...), joined, candidate)
	start := func() *RepairCoordinator {
		c := &RepairCoordinator{}
		_, due := c.Step(1, RepairView{Self: "a", Base: before, Status: healthy, QuorumReachable: true})
		must.False(t, due)
		return c
	}
	step := func(c *RepairCoordinator, nowUs int64) RepairStep {
		s, due := c.Step(nowUs, RepairView{Self: "a", Base: after, Status: wiped, QuorumReachable: true})
		must.True(t, due)
		return s
	}
	c := start()
	must.SliceNotEmpty(t, step(c, 2).Confirm)
	for _, id := range []string{"a/0", "b/0", "c/0", "e/1"} {
		c.RecordConfirmation(id, 1)
	}
	must.Eq(t, []messages.Member{joined}, step(c, 3).Confirm)
	must.Eq(t, []string{joined.ID}, c.PendingConfirmations())
	must.SliceNotEmpty(t, step(c, 3+ConfirmTimeoutUs).Propose)
	c.RecordConfirmation("d/1", 1)
	must.SliceNotEmpty(t, step(c, 4).Propose)
}
