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

func testRecord(id string) messages.RunnerRecord {
	return messages.RunnerRecord{ID: id, Service: "s", Addr: id + ":1", Zone: "a", Capacity: 4, Models: []messages.Target{{Model: "m", Version: 1}}}
}

func newAdmitter(ids ...string) *Admitter {
	admitter := New(Defaults, "a", 1)
	var records []messages.RunnerRecord
	for _, id := range ids {
		records = append(records, testRecord(id))
	}
	admitter.SetService("s", records, memory, 2)
	return admitter
}

var slab inflight.Slab[int]

func newRequest(in, out int) Request {
	return Request{Ref: slab.Put(func(int) {}), Service: "s", Tenant: "t", TokensIn: in, TokensOut: out, Model: "m", Parts: []prefixindex.Part{{ID: "own", Tokens: in}}, SetpointUs: 400_000, LeftUs: 6_000_000}
}

func TestFreeRunnerAdmits(t *testing.T) {
	admitter := newAdmitter("x")
	r := admitter.Submit(newRequest(100, 10), 1)
	must.NotNil(t, r.Admit)
	must.Eq(t, "x", r.Admit.Runner.ID)
	must.Eq(t, "w1", r.Admit.Salt)
}

func TestTenantRateIsCheckedBeforeContext(t *testing.T) {
	admitter := newAdmitter("x")
	a := newRequest(memory, memory)
	for range 64 {
		must.Eq(t, RejectContext, admitter.Submit(a, 1).Reject)
	}
	r := admitter.Submit(a, 1)
	must.Eq(t, RejectRate, r.Reject)
	must.Eq(t, 429, r.Status)
	must.Greater(t, 0, r.AgainUs)
	must.Eq(t, RejectContext, admitter.Submit(a, 10_000_000).Reject, must.Sprint("the bucket fills again"))
}

func TestContextLimitIncludesOutputAndReturns503(t *testing.T) {
	admitter := newAdmitter("x")
	r := admitter.Submit(newRequest(memory-5, 6), 1)
	must.Eq(t, RejectContext, r.Reject)
	must.Eq(t, 503, r.Status)
	must.NotNil(t, admitter.Submit(newRequest(memory-6, 6), 2).Admit)
}

func TestRunnerIsBusyByMemoryIncludingOutput(t *testing.T) {
	admitter := newAdmitter("x")
	first := admitter.Submit(newRequest(400, 13_300), 1).Admit // 25 + 832 blocks
	must.NotNil(t, first)
	admitter.FirstToken(first, 2)
	must.True(t, admitter.Submit(newRequest(16, 1), 3).Hold, must.Sprint("0.857 of the memory, nearly all of it output"))
	admitter.Done(first, true, 4)
	out := admitter.Tick(5)
	must.Len(t, 1, out)
	must.NotNil(t, out[0].Admit)
}

func TestBusyRunnerReturnsBelowLowerThreshold(t *testing.T) {
	admitter := newAdmitter("x")
	report := func(used int, now int64) {
		admitter.Report(messages.RunnerReport{ID: "x", Used: used, Total: memory, Active: 1}, now)
	}
	report(memory*86/100, 1_000_000)
	must.True(t, admitter.Submit(newRequest(16, 1), 1_000_001).Hold)
	report(memory*82/100, 1_200_000)
	must.SliceEmpty(t, admitter.Tick(1_200_001))
	report(memory*79/100, 1_300_000)
	must.Len(t, 1, admitter.Tick(1_300_001))
}

func TestBusyByPrefillTokens(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.T.RateStart = 0.02 // 12,000 tokens are 0.6 s
	big := admitter.Submit(newRequest(12_000, 1), 1).Admit
	must.NotNil(t, big)
	must.True(t, admitter.Submit(newRequest(16, 1), 2).Hold)
	admitter.FirstToken(big, 500_000)
	must.Len(t, 1, admitter.Tick(500_001))
}

func TestThresholdsApplyWithoutReports(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.SetNodes(4)
	must.NotNil(t, admitter.Submit(newRequest(3_600, 20), 1).Admit)
	must.True(t, admitter.Submit(newRequest(16, 1), 2).Hold, must.Sprint("no loads of other nodes: this node keeps to its share"))
}

func TestThresholdsApplyWithLateReportsAndPeerLoads(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.SetNodes(2)
	admitter.Report(messages.RunnerReport{ID: "x", Used: 0, Total: memory}, 1)
	now := int64(1 + admitter.T.ReportFreshUs) // the report has expired
	admitter.Others(func(string) messages.RunnerLoad { return messages.RunnerLoad{Blocks: 870, Count: 2} }, now)
	must.True(t, admitter.Submit(newRequest(16, 1), now+1).Hold, must.Sprint("the loads of other nodes count"))
	must.Len(t, 1, admitter.Tick(now+1_000_000), must.Sprint("a queued request does not wait forever"))
	late := now + admitter.T.ReportFreshUs + 1
	admitter.SetNodes(4)
	must.NotNil(t, admitter.Submit(newRequest(3_600, 20), late).Admit, must.Sprint("old loads of other nodes expire"))
	must.True(t, admitter.Submit(newRequest(16, 1), late+1).Hold, must.Sprint("and the node keeps to its share"))
}

// Sums that lack the loads of some nodes must not hide a threshold that the node's own
// requests reach.
func TestThresholdsApplyWithNegativePeerLoads(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.SetNodes(3)
	admitter.Others(func(string) messages.RunnerLoad { return messages.RunnerLoad{Blocks: -40, Count: -2, Prefill: -5} }, 1)
	must.NotNil(t, admitter.Submit(newRequest(13_600, 20), 2).Admit)
	must.True(t, admitter.Submit(newRequest(16, 1), 3).Hold)
}

func TestSharedPartsUseOneStoreAndAllStoresAreUsed(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.SetService("s", []messages.RunnerRecord{testRecord("x")}, memory, 2)
	admitter.SetStores("s", []Store{{ID: "s1", Addr: "s1"}, {ID: "s2", Addr: "s2"}, {ID: "s3", Addr: "s3"}})
	used := map[string]bool{}
	for i := range 40 {
		var last string
		for j := range 2 {
			a := newRequest(116, 1)
			a.Parts = []prefixindex.Part{{ID: "top", Tokens: 50}, {ID: fmt.Sprint("deep", i), Tokens: 50}, {ID: fmt.Sprint("own", i, j), Tokens: 16}}
			r := admitter.Submit(a, int64(1+i)*1_000_000)
			must.NotNil(t, r.Admit)
			if j == 0 {
				last = r.Admit.Sink
			}
			must.Eq(t, last, r.Admit.Sink)
			admitter.Done(r.Admit, true, int64(1+i)*1_000_000)
		}
		used[last] = true
	}
	must.MapLen(t, 3, used)
}

func TestOwnRequestsAddToLateReport(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.Report(messages.RunnerReport{ID: "x", Used: memory / 2, Total: memory, Active: 1}, 1_000_000)
	a := admitter.Submit(newRequest(5_700, 10), 1_000_001).Admit
	must.NotNil(t, a)
	admitter.FirstToken(a, 1_100_000)
	must.True(t, admitter.Submit(newRequest(160, 1), 1_100_001).Hold)
}

func TestCapacityAndPendingCap(t *testing.T) {
	admitter := newAdmitter("x")
	for i := range 4 {
		must.NotNil(t, admitter.Submit(newRequest(16, 1), int64(i)).Admit)
	}
	queued := 0
	for i := range 40 {
		r := admitter.Submit(newRequest(16, 1), int64(10+i))
		if r.Hold {
			queued++
			continue
		}
		must.Eq(t, RejectQueue, r.Reject)
		must.Eq(t, 503, r.Status)
		must.Greater(t, 0, r.AgainUs)
	}
	must.Eq(t, 4+admitter.T.BufferRequests, queued, must.Sprint("runners x capacity and the buffer"))
}

func TestPendingTokensStayWithinSetpointTimesRate(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.T.RateStart = 0.01 // 0.4 s x 10 tokens a ms = 4,000 tokens
	for i := range 4 {
		admitter.Submit(newRequest(16, 1), int64(i))
	}
	must.True(t, admitter.Submit(newRequest(3_000, 1), 10).Hold)
	must.Eq(t, RejectTokens, admitter.Submit(newRequest(1_500, 1), 11).Reject)
	must.True(t, admitter.Submit(newRequest(900, 1), 12).Hold)
}

func TestQueueTTLIsBelowTimeLeft(t *testing.T) {
	admitter := newAdmitter()
	a := newRequest(16, 1)
	a.LeftUs = 300_000
	must.True(t, admitter.Submit(a, 1).Hold)
	must.SliceEmpty(t, admitter.Tick(98_000))
	out := admitter.Tick(100_000)
	must.Len(t, 1, out)
	must.Eq(t, RejectTTL, out[0].Reject)
	must.Eq(t, 503, out[0].Status)
}

func TestBandsAreStrictWithRoundRobinBetweenTenants(t *testing.T) {
	admitter := newAdmitter("x")
	var first *Admission
	for i := range 4 {
		first = admitter.Submit(newRequest(16, 1), int64(i)).Admit
	}
	order := []string{}
	names := map[inflight.Ref]string{}
	for i, c := range []struct {
		tenant string
		rank   int
	}{{"a", 1}, {"a", 1}, {"a", 1}, {"b", 1}, {"b", 1}, {"z", 0}} {
		a := newRequest(16, 1)
		a.Tenant, a.Rank = c.tenant, c.rank
		names[a.Ref] = c.tenant
		must.True(t, admitter.Submit(a, int64(10+i)).Hold)
	}
	for i := range 6 {
		admitter.Done(first, true, int64(100+i))
		out := admitter.Tick(int64(100 + i))
		must.Len(t, 1, out)
		order = append(order, names[out[0].Ref])
		first = out[0].Admit
	}
	must.Eq(t, []string{"z", "a", "b", "a", "b", "a"}, order)
}

func TestLowestBandIsShedFirst(t *testing.T) {
	admitter := newAdmitter("x")
	for i := range 4 {
		admitter.Submit(newRequest(16, 1), int64(i))
	}
	var last inflight.Ref
	for i := range 4 + admitter.T.BufferRequests {
		a := newRequest(16, 1)
		a.Rank = 1
		last = a.Ref
		must.True(t, admitter.Submit(a, int64(10+i)).Hold)
	}
	high := newRequest(16, 1)
	must.Eq(t, RejectQueue, admitter.Submit(high, 50).Reject)
	shed, ok := admitter.ShedFor(high, 51)
	must.True(t, ok)
	must.Eq(t, last, shed.Ref)
	must.Eq(t, RejectShed, shed.Reject)
	must.True(t, admitter.Submit(high, 52).Hold)
	low := newRequest(16, 1)
	low.Rank = 1
	_, ok = admitter.ShedFor(low, 53)
	must.False(t, ok, must.Sprint("no lower band"))
}

func TestWindowFollowsUseAndHits(t *testing.T) {
	tu := Defaults
	must.Eq(t, 50.0, nextWindow(&tu, 48, 0.1, 1))
	must.Eq(t, 24.0, nextWindow(&tu, 48, 0.6, 0.1))
	must.Eq(t, 48.0, nextWindow(&tu, 48, 0.6, 0.5), must.Sprint("full, but hits are many"))
	must.Eq(t, 48.0, nextWindow(&tu, 48, 0.3, 0.1))
	must.Eq(t, tu.WindowMin, nextWindow(&tu, 5, 0.9, 0))
	must.Eq(t, tu.WindowMax, nextWindow(&tu, tu.WindowMax, 0, 1))
}

func TestWindowLimitsAdmittedRequestsOfTenant(t *testing.T) {
	admitter := newAdmitter("x", "y")
	admitter.T.WindowStart = 3
	for i := range 3 {
		must.NotNil(t, admitter.Submit(newRequest(16, 1), int64(i)).Admit)
	}
	must.True(t, admitter.Submit(newRequest(16, 1), 4).Hold)
	other := newRequest(16, 1)
	other.Tenant = "u"
	admitter.pool("s").queue = queue{}
	must.NotNil(t, admitter.Submit(other, 5).Admit)
}

func TestDrainingCordonedAndAvoidedRunnersAreNotCandidates(t *testing.T) {
	admitter := newAdmitter("x", "y", "z")
	a, b := testRecord("x"), testRecord("y")
	a.Draining, b.Cordoned = true, true
	admitter.SetService("s", []messages.RunnerRecord{a, b, testRecord("z")}, memory, 2)
	list := admitter.Candidates(newRequest(16, 1), 1)
	must.Len(t, 1, list)
	must.Eq(t, "z", list[0].ID)
	q := newRequest(16, 1)
	q.Avoid = []string{"z"}
	must.SliceEmpty(t, admitter.Candidates(q, 1))
}

func TestCordonExpires(t *testing.T) {
	admitter := newAdmitter("x")
	n := testRecord("x")
	n.Cordoned = true
	admitter.SetService("s", []messages.RunnerRecord{n}, memory, 2)
	must.SliceEmpty(t, admitter.Candidates(newRequest(16, 1), 1))
	must.SliceEmpty(t, admitter.Candidates(newRequest(16, 1), maxCordonUs))
	must.Len(t, 1, admitter.Candidates(newRequest(16, 1), 1+maxCordonUs))
}

func TestNodeStaysWithinItsShareOfRunnerConnections(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.SetLinks("s", 10)
	admitter.SetNodes(4)
	must.NotNil(t, admitter.Submit(newRequest(16, 1), 1).Admit)
	must.NotNil(t, admitter.Submit(newRequest(16, 1), 2).Admit)
	must.True(t, admitter.Submit(newRequest(16, 1), 3).Hold, must.Sprint("nine of ten over four nodes are two"))
	admitter.SetNodes(1)
	must.Len(t, 1, admitter.Tick(4))
}

func TestDrainingRunnersGetLongRequestsOnlyAsLastResort(t *testing.T) {
	admitter := newAdmitter("x", "y")
	e := testRecord("x")
	e.DrainingLong = true
	admitter.SetService("s", []messages.RunnerRecord{e, testRecord("y")}, memory, 2)
	must.Len(t, 2, admitter.Candidates(newRequest(16, 10), 1))
	must.Len(t, 1, admitter.Candidates(newRequest(16, 200), 1))
	admitter.SetService("s", []messages.RunnerRecord{e}, memory, 2)
	must.Len(t, 1, admitter.Candidates(newRequest(16, 200), 1))
}

func TestIsolatedTenantsHaveDistinctSalts(t *testing.T) {
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

func TestRunnerWithFailedConnectionsIsAvoided(t *testing.T) {
	admitter := newAdmitter("x", "y")
	for i := range 3 {
		a := newRequest(16, 1)
		a.Avoid = []string{"y"}
		r := admitter.Submit(a, int64(1+i*3_000_000))
		must.NotNil(t, r.Admit)
		admitter.Done(r.Admit, false, int64(1+i*3_000_000))
		list := admitter.Candidates(newRequest(16, 1), int64(2+i*3_000_000))
		must.Len(t, 1, list)
		must.Eq(t, "y", list[0].ID)
	}
	only := newRequest(16, 1)
	only.Avoid = []string{"y"}
	must.Len(t, 1, admitter.Candidates(only, 6_000_010), must.Sprint("an avoided runner is better than none"))
}

func TestTransfersComeFromSameWeightsOnly(t *testing.T) {
	admitter := newAdmitter("x", "y")
	y := testRecord("y")
	y.Models[0].Version = 2
	admitter.SetService("s", []messages.RunnerRecord{testRecord("x"), y}, memory, 2)
	a := newRequest(16, 1)
	a.Parts = []prefixindex.Part{{ID: "shared", Tokens: 1000}, {ID: "own", Tokens: 16}}
	a.TokensIn = 1016
	admitter.Index.Put("x", prefixindex.Key("w1", "m", "shared"), 1000)
	for _, c := range admitter.Candidates(a, 1) {
		must.Eq(t, "", c.From)
	}
	admitter.SetService("s", []messages.RunnerRecord{testRecord("x"), testRecord("y")}, memory, 2)
	found := false
	for _, c := range admitter.Candidates(a, 1) {
		if c.ID == "y" {
			found = true
			must.Eq(t, "x:1", c.From)
			must.Eq(t, 1000, c.Moved)
		}
	}
	must.True(t, found)
}

func TestLoadReturnsToZeroAfterDone(t *testing.T) {
	admitter := newAdmitter("x", "y")
	var list []*Admission
	for i := range 8 {
		a := newRequest(100+i, 50)
		a.Parts = []prefixindex.Part{{ID: "shared", Tokens: 64}, {ID: fmt.Sprint(i), Tokens: 36 + i}}
		r := admitter.Submit(a, int64(i))
		must.NotNil(t, r.Admit)
		list = append(list, r.Admit)
	}
	for i, a := range list {
		if i%2 == 0 {
			admitter.FirstToken(a, 100)
		}
		admitter.Done(a, i%3 > 0, 200)
	}
	for _, id := range []string{"x", "y"} {
		r := admitter.pool("s").runners[id]
		must.Eq(t, runnerLoad{flow: r.ownLoad.flow, atUs: r.ownLoad.atUs}, r.ownLoad, must.Sprint(id))
		must.MapEmpty(t, r.pins)
	}
	must.Eq(t, 0, admitter.tenants["t"].admitted)
}
