package admission

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/inflight"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
)

const memory = 16_000 // tokens of a runner: 1,000 blocks

func note(id string) messages.RunnerRecord {
	return messages.RunnerRecord{ID: id, Service: "s", Addr: id + ":1", Zone: "a", Capacity: 4, Models: []messages.Target{{Model: "m", Version: 1}}}
}

func door(ids ...string) *Admitter {
	d := New(Defaults, "a")
	var notes []messages.RunnerRecord
	for _, id := range ids {
		notes = append(notes, note(id))
	}
	d.SetService("s", notes, memory, 2)
	return d
}

var slab inflight.Slab[int]

func ask(in, out int) Request {
	return Request{Ref: slab.Put(func(int) {}), Service: "s", Tenant: "t", TokensIn: in, TokensOut: out, Model: "m", Parts: []prefixindex.Part{{ID: "own", Tokens: in}}, SetpointUs: 400_000, LeftUs: 6_000_000}
}

func TestFreeRunnerAdmits(t *testing.T) {
	d := door("x")
	r := d.Submit(ask(100, 10), 1)
	must.NotNil(t, r.Admit)
	must.Eq(t, "x", r.Admit.Runner.ID)
	must.Eq(t, "w1", r.Admit.Salt)
}

func TestTenantRateIsCheckedBeforeTheContext(t *testing.T) {
	d := door("x")
	a := ask(memory, memory)
	for range 64 {
		must.Eq(t, RejectContext, d.Submit(a, 1).Reject)
	}
	r := d.Submit(a, 1)
	must.Eq(t, RejectRate, r.Reject)
	must.Eq(t, 429, r.Status)
	must.Greater(t, 0, r.AgainUs)
	must.Eq(t, RejectContext, d.Submit(a, 10_000_000).Reject, must.Sprint("the bucket fills again"))
}

func TestContextBudgetCountsOutputAndIsNo4xx(t *testing.T) {
	d := door("x")
	r := d.Submit(ask(memory-5, 6), 1)
	must.Eq(t, RejectContext, r.Reject)
	must.Eq(t, 503, r.Status)
	must.NotNil(t, d.Submit(ask(memory-6, 6), 2).Admit)
}

func TestBusyByMemoryWithOutputBlocksAndHysteresis(t *testing.T) {
	d := door("x")
	first := d.Submit(ask(400, 13_300), 1).Admit // 25 + 832 blocks
	must.NotNil(t, first)
	d.FirstToken(first, 2)
	must.True(t, d.Submit(ask(16, 1), 3).Hold, must.Sprint("0.857 of the memory, nearly all of it output"))
	d.Done(first, true, 4)
	out := d.Tick(5)
	must.Len(t, 1, out)
	must.NotNil(t, out[0].Admit)
}

func TestHysteresisKeepsARunnerOutUntilItIsWellFree(t *testing.T) {
	d := door("x")
	report := func(used int, now int64) {
		d.Report(messages.ReportNote{ID: "x", Used: used, Total: memory, Active: 1}, now)
	}
	report(memory*86/100, 1_000_000)
	must.True(t, d.Submit(ask(16, 1), 1_000_001).Hold)
	report(memory*82/100, 1_200_000)
	must.SliceEmpty(t, d.Tick(1_200_001))
	report(memory*79/100, 1_300_000)
	must.Len(t, 1, d.Tick(1_300_001))
}

func TestBusyByPrefillTokens(t *testing.T) {
	d := door("x")
	d.T.RateStart = 0.02 // 12,000 tokens are 0.6 s
	big := d.Submit(ask(12_000, 1), 1).Admit
	must.NotNil(t, big)
	must.True(t, d.Submit(ask(16, 1), 2).Hold)
	d.FirstToken(big, 500_000)
	must.Len(t, 1, d.Tick(500_001))
}

func TestThresholdsFireWithoutReports(t *testing.T) {
	d := door("x")
	d.SetNodes(4)
	must.NotNil(t, d.Submit(ask(3_600, 20), 1).Admit)
	must.True(t, d.Submit(ask(16, 1), 2).Hold, must.Sprint("no word from others: this node keeps to its share"))
}

func TestThresholdsFireWithLateReportsAndGaps(t *testing.T) {
	d := door("x")
	d.SetNodes(2)
	d.Report(messages.ReportNote{ID: "x", Used: 0, Total: memory}, 1)
	now := int64(1 + d.T.ReportFreshUs) // the report is too old to be believed
	d.Others(func(string) messages.RunnerLoad { return messages.RunnerLoad{Blocks: 870, Count: 2} }, now)
	must.True(t, d.Submit(ask(16, 1), now+1).Hold, must.Sprint("others' word counts"))
	must.Len(t, 1, d.Tick(now+1_000_000), must.Sprint("a held request does not wait for ever"))
	late := now + d.T.ReportFreshUs + 1
	d.SetNodes(4)
	must.NotNil(t, d.Submit(ask(3_600, 20), late).Admit, must.Sprint("an old word is let go"))
	must.True(t, d.Submit(ask(16, 1), late+1).Hold, must.Sprint("and the node keeps to its share"))
}

// Sums that are short, because a part of the tree is missing from them, must
// not take away a threshold that the node's own requests reach.
func TestThresholdsFireWithSumsThatAreShort(t *testing.T) {
	d := door("x")
	d.SetNodes(3)
	d.Others(func(string) messages.RunnerLoad { return messages.RunnerLoad{Blocks: -40, Count: -2, Prefill: -5} }, 1)
	must.NotNil(t, d.Submit(ask(13_600, 20), 2).Admit)
	must.True(t, d.Submit(ask(16, 1), 3).Hold)
}

func TestStoresAreAllUsedAndHoldTogetherWhatIsShared(t *testing.T) {
	d := door("x")
	d.SetService("s", []messages.RunnerRecord{note("x")}, memory, 2)
	d.SetStores("s", []Store{{ID: "s1", Addr: "s1"}, {ID: "s2", Addr: "s2"}, {ID: "s3", Addr: "s3"}})
	used := map[string]bool{}
	for i := range 40 {
		var last string
		for j := range 2 {
			a := ask(116, 1)
			a.Parts = []prefixindex.Part{{ID: "top", Tokens: 50}, {ID: fmt.Sprint("deep", i), Tokens: 50}, {ID: fmt.Sprint("own", i, j), Tokens: 16}}
			r := d.Submit(a, int64(1+i)*1_000_000)
			must.NotNil(t, r.Admit)
			if j == 0 {
				last = r.Admit.Sink
			}
			must.Eq(t, last, r.Admit.Sink)
			d.Done(r.Admit, true, int64(1+i)*1_000_000)
		}
		used[last] = true
	}
	must.MapLen(t, 3, used)
}

func TestOwnRequestsCountOnTopOfALateReport(t *testing.T) {
	d := door("x")
	d.Report(messages.ReportNote{ID: "x", Used: memory / 2, Total: memory, Active: 1}, 1_000_000)
	a := d.Submit(ask(5_700, 10), 1_000_001).Admit
	must.NotNil(t, a)
	d.FirstToken(a, 1_100_000)
	must.True(t, d.Submit(ask(160, 1), 1_100_001).Hold)
}

func TestCapacityAndPendingCap(t *testing.T) {
	d := door("x")
	for i := range 4 {
		must.NotNil(t, d.Submit(ask(16, 1), int64(i)).Admit)
	}
	held := 0
	for i := range 40 {
		r := d.Submit(ask(16, 1), int64(10+i))
		if r.Hold {
			held++
			continue
		}
		must.Eq(t, RejectQueue, r.Reject)
		must.Eq(t, 503, r.Status)
		must.Greater(t, 0, r.AgainUs)
	}
	must.Eq(t, 4+d.T.BufferRequests, held, must.Sprint("runners x capacity and the buffer"))
}

func TestPendingTokensStayWithinSetpointTimesRate(t *testing.T) {
	d := door("x")
	d.T.RateStart = 0.01 // 0.4 s x 10 tokens a ms = 4,000 tokens
	for i := range 4 {
		d.Submit(ask(16, 1), int64(i))
	}
	must.True(t, d.Submit(ask(3_000, 1), 10).Hold)
	must.Eq(t, RejectTokens, d.Submit(ask(1_500, 1), 11).Reject)
	must.True(t, d.Submit(ask(900, 1), 12).Hold)
}

func TestTTLIsBelowTheTimeLeft(t *testing.T) {
	d := door()
	a := ask(16, 1)
	a.LeftUs = 300_000
	must.True(t, d.Submit(a, 1).Hold)
	must.SliceEmpty(t, d.Tick(98_000))
	out := d.Tick(100_000)
	must.Len(t, 1, out)
	must.Eq(t, RejectTTL, out[0].Reject)
	must.Eq(t, 503, out[0].Status)
}

func TestBandsAreStrictAndTenantsTakeTurns(t *testing.T) {
	d := door("x")
	var first *Admission
	for i := range 4 {
		first = d.Submit(ask(16, 1), int64(i)).Admit
	}
	order := []string{}
	names := map[inflight.Ref]string{}
	for i, c := range []struct {
		tenant string
		rank   int
	}{{"a", 1}, {"a", 1}, {"a", 1}, {"b", 1}, {"b", 1}, {"z", 0}} {
		a := ask(16, 1)
		a.Tenant, a.Rank = c.tenant, c.rank
		names[a.Ref] = c.tenant
		must.True(t, d.Submit(a, int64(10+i)).Hold)
	}
	for i := range 6 {
		d.Done(first, true, int64(100+i))
		out := d.Tick(int64(100 + i))
		must.Len(t, 1, out)
		order = append(order, names[out[0].Ref])
		first = out[0].Admit
	}
	must.Eq(t, []string{"z", "a", "b", "a", "b", "a"}, order)
}

func TestSheddableGoFirst(t *testing.T) {
	d := door("x")
	for i := range 4 {
		d.Submit(ask(16, 1), int64(i))
	}
	var last inflight.Ref
	for i := range 4 + d.T.BufferRequests {
		a := ask(16, 1)
		a.Rank = 1
		last = a.Ref
		must.True(t, d.Submit(a, int64(10+i)).Hold)
	}
	high := ask(16, 1)
	must.Eq(t, RejectQueue, d.Submit(high, 50).Reject)
	shed, ok := d.ShedFor(high, 51)
	must.True(t, ok)
	must.Eq(t, last, shed.Ref)
	must.Eq(t, RejectShed, shed.Reject)
	must.True(t, d.Submit(high, 52).Hold)
	low := ask(16, 1)
	low.Rank = 1
	_, ok = d.ShedFor(low, 53)
	must.False(t, ok, must.Sprint("nobody below it"))
}

func TestWindowFollowsUseAndHits(t *testing.T) {
	tu := Defaults
	must.Eq(t, 50.0, Window(&tu, 48, 0.1, 1))
	must.Eq(t, 24.0, Window(&tu, 48, 0.6, 0.1))
	must.Eq(t, 48.0, Window(&tu, 48, 0.6, 0.5), must.Sprint("full, but hits are many"))
	must.Eq(t, 48.0, Window(&tu, 48, 0.3, 0.1))
	must.Eq(t, tu.WindowMin, Window(&tu, 5, 0.9, 0))
	must.Eq(t, tu.WindowMax, Window(&tu, tu.WindowMax, 0, 1))
}

func TestWindowBoundsATenantsAdmitted(t *testing.T) {
	d := door("x", "y")
	d.T.WindowStart = 3
	for i := range 3 {
		must.NotNil(t, d.Submit(ask(16, 1), int64(i)).Admit)
	}
	must.True(t, d.Submit(ask(16, 1), 4).Hold)
	other := ask(16, 1)
	other.Tenant = "u"
	d.pool("s").queue = queue{}
	must.NotNil(t, d.Submit(other, 5).Admit)
}

func TestDrainingBarredAndAvoidedAreNoCandidates(t *testing.T) {
	d := door("x", "y", "z")
	a, b := note("x"), note("y")
	a.Draining, b.Barred = true, true
	d.SetService("s", []messages.RunnerRecord{a, b, note("z")}, memory, 2)
	list := d.Candidates(ask(16, 1), 1)
	must.Len(t, 1, list)
	must.Eq(t, "z", list[0].ID)
	q := ask(16, 1)
	q.Avoid = []string{"z"}
	must.SliceEmpty(t, d.Candidates(q, 1))
}

func TestABarThatNobodyLiftsEnds(t *testing.T) {
	d := door("x")
	n := note("x")
	n.Barred = true
	d.SetService("s", []messages.RunnerRecord{n}, memory, 2)
	must.SliceEmpty(t, d.Candidates(ask(16, 1), 1))
	must.SliceEmpty(t, d.Candidates(ask(16, 1), barredMaxUs))
	must.Len(t, 1, d.Candidates(ask(16, 1), 1+barredMaxUs))
}

func TestNodesKeepToTheirShareOfARunnersConnections(t *testing.T) {
	d := door("x")
	d.SetLinks("s", 10)
	d.SetNodes(4)
	must.NotNil(t, d.Submit(ask(16, 1), 1).Admit)
	must.NotNil(t, d.Submit(ask(16, 1), 2).Admit)
	must.True(t, d.Submit(ask(16, 1), 3).Hold, must.Sprint("nine of ten over four nodes are two"))
	d.SetNodes(1)
	must.Len(t, 1, d.Tick(4))
}

func TestEasedRunnersGetNoLongRequestsUnlessNoneIsLeft(t *testing.T) {
	d := door("x", "y")
	e := note("x")
	e.Easing = true
	d.SetService("s", []messages.RunnerRecord{e, note("y")}, memory, 2)
	must.Len(t, 2, d.Candidates(ask(16, 10), 1))
	must.Len(t, 1, d.Candidates(ask(16, 200), 1))
	d.SetService("s", []messages.RunnerRecord{e}, memory, 2)
	must.Len(t, 1, d.Candidates(ask(16, 200), 1))
}

func TestIsolatedTenantsShareNoSalt(t *testing.T) {
	seen := map[string]bool{}
	for _, version := range []int64{1, 2, 12} {
		for _, tenant := range []string{"a", "b"} {
			seen[Salt(tenant, true, "", version)] = true
		}
		seen[Salt("a", false, "r", version)], seen[Salt("a", true, "r", version)] = true, true
		must.Eq(t, Salt("a", false, "", version), Salt("b", false, "", version))
		seen[Salt("a", false, "", version)] = true
	}
	must.MapLen(t, 15, seen)
}

func TestBrokenLinksPassARunnerOver(t *testing.T) {
	d := door("x", "y")
	for i := range 3 {
		a := ask(16, 1)
		a.Avoid = []string{"y"}
		r := d.Submit(a, int64(1+i*3_000_000))
		must.NotNil(t, r.Admit)
		d.Done(r.Admit, false, int64(1+i*3_000_000))
		list := d.Candidates(ask(16, 1), int64(2+i*3_000_000))
		must.Len(t, 1, list)
		must.Eq(t, "y", list[0].ID)
	}
	only := ask(16, 1)
	only.Avoid = []string{"y"}
	must.Len(t, 1, d.Candidates(only, 6_000_010), must.Sprint("better a doubtful one than none"))
}

func TestMovesComeFromSameWeightsOnly(t *testing.T) {
	d := door("x", "y")
	y := note("y")
	y.Models[0].Version = 2
	d.SetService("s", []messages.RunnerRecord{note("x"), y}, memory, 2)
	a := ask(16, 1)
	a.Parts = []prefixindex.Part{{ID: "shared", Tokens: 1000}, {ID: "own", Tokens: 16}}
	a.TokensIn = 1016
	d.Index.Put("x", prefixindex.Key("w1", "m", "shared"), 1000)
	for _, c := range d.Candidates(a, 1) {
		must.Eq(t, "", c.From)
	}
	d.SetService("s", []messages.RunnerRecord{note("x"), note("y")}, memory, 2)
	found := false
	for _, c := range d.Candidates(a, 1) {
		if c.ID == "y" {
			found = true
			must.Eq(t, "x:1", c.From)
			must.Eq(t, 1000, c.Moved)
		}
	}
	must.True(t, found)
}

func TestAccountsComeBackToNothing(t *testing.T) {
	d := door("x", "y")
	var list []*Admission
	for i := range 8 {
		a := ask(100+i, 50)
		a.Parts = []prefixindex.Part{{ID: "shared", Tokens: 64}, {ID: fmt.Sprint(i), Tokens: 36 + i}}
		r := d.Submit(a, int64(i))
		must.NotNil(t, r.Admit)
		list = append(list, r.Admit)
	}
	for i, a := range list {
		if i%2 == 0 {
			d.FirstToken(a, 100)
		}
		d.Done(a, i%3 > 0, 200)
	}
	for _, id := range []string{"x", "y"} {
		r := d.pool("s").runners[id]
		must.Eq(t, word{flow: r.own.flow, atUs: r.own.atUs}, r.own, must.Sprint(id))
		must.MapEmpty(t, r.pins)
	}
	must.Eq(t, 0, d.tenants["t"].admitted)
}
