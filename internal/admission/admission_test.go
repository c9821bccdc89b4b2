package admission

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/inflight"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
)

const testMemoryTokens = 16_000 // memory of each runner, in tokens: 1,000 blocks

func testRecord(id string) messages.RunnerRecord {
	return messages.RunnerRecord{ID: id, Service: "s", Addr: id + ":1", Zone: "a", Capacity: 4, Models: []messages.Target{{Model: "m", Version: 1}}}
}

func newAdmitter(ids ...string) *Admitter {
	admitter := New(Defaults, "a", 1)
	var records []messages.RunnerRecord
	for _, id := range ids {
		records = append(records, testRecord(id))
	}
	admitter.SetService("s", records, testMemoryTokens, 2)
	return admitter
}

var refs inflight.Slab[int]

func newRequest(tokensIn, tokensOut int) Request {
	return Request{Ref: refs.Store(func(int) {}), Service: "s", Tenant: "t", TokensIn: tokensIn, TokensOut: tokensOut, Model: "m", Parts: []prefixindex.Part{{ID: "own", Tokens: tokensIn}}, SetpointUs: 400_000, TimeLeftUs: 6_000_000}
}

func TestFreeRunnerAdmits(t *testing.T) {
	admitter := newAdmitter("x")
	decision := admitter.Submit(newRequest(100, 10), 1)
	must.NotNil(t, decision.Admission)
	must.Eq(t, "x", decision.Admission.Runner.ID)
	must.Eq(t, "w1", decision.Admission.CacheSalt)
}

func TestTenantRateIsCheckedBeforeContext(t *testing.T) {
	admitter := newAdmitter("x")
	request := newRequest(testMemoryTokens, testMemoryTokens)
	for range 64 {
		must.Eq(t, RejectContext, admitter.Submit(request, 1).Reason)
	}
	decision := admitter.Submit(request, 1)
	must.Eq(t, RejectRate, decision.Reason)
	must.Eq(t, 429, decision.Status)
	must.Greater(t, 0, decision.RetryAfterUs)
	must.Eq(t, RejectContext, admitter.Submit(request, 10_000_000).Reason, must.Sprint("the token bucket has been refilled"))
}

func TestContextLimitIncludesOutputAndReturns503(t *testing.T) {
	admitter := newAdmitter("x")
	decision := admitter.Submit(newRequest(testMemoryTokens-5, 6), 1)
	must.Eq(t, RejectContext, decision.Reason)
	must.Eq(t, 503, decision.Status)
	must.NotNil(t, admitter.Submit(newRequest(testMemoryTokens-6, 6), 2).Admission)
}

func TestRunnerIsBusyByMemoryIncludingOutput(t *testing.T) {
	admitter := newAdmitter("x")
	first := admitter.Submit(newRequest(400, 13_300), 1).Admission // 25 + 832 blocks
	must.NotNil(t, first)
	admitter.RecordFirstToken(first, 2)
	must.True(t, admitter.Submit(newRequest(16, 1), 3).Queued, must.Sprint("0.857 of the memory is used, nearly all of it by output"))
	admitter.Release(first, true, 4)
	out := admitter.Tick(5)
	must.Len(t, 1, out)
	must.NotNil(t, out[0].Admission)
}

func TestBusyRunnerReturnsBelowLowerThreshold(t *testing.T) {
	admitter := newAdmitter("x")
	report := func(used int, now int64) {
		admitter.RecordRunnerReport(messages.RunnerReport{ID: "x", Used: used, Total: testMemoryTokens, Active: 1}, now)
	}
	report(testMemoryTokens*86/100, 1_000_000)
	must.True(t, admitter.Submit(newRequest(16, 1), 1_000_001).Queued)
	report(testMemoryTokens*82/100, 1_200_000)
	must.SliceEmpty(t, admitter.Tick(1_200_001))
	report(testMemoryTokens*79/100, 1_300_000)
	must.Len(t, 1, admitter.Tick(1_300_001))
}

func TestBusyByPrefillTokens(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.Tuning.InitialRate = 0.02 // 12,000 tokens are 0.6 s
	big := admitter.Submit(newRequest(12_000, 1), 1).Admission
	must.NotNil(t, big)
	must.True(t, admitter.Submit(newRequest(16, 1), 2).Queued)
	admitter.RecordFirstToken(big, 500_000)
	must.Len(t, 1, admitter.Tick(500_001))
}

func TestThresholdsApplyWithoutReports(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.SetNodes(4)
	must.NotNil(t, admitter.Submit(newRequest(3_600, 20), 1).Admission)
	must.True(t, admitter.Submit(newRequest(16, 1), 2).Queued, must.Sprint("without loads of other nodes, this node must stay within its share"))
}

func TestThresholdsApplyWithLateReportsAndPeerLoads(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.SetNodes(2)
	admitter.RecordRunnerReport(messages.RunnerReport{ID: "x", Used: 0, Total: testMemoryTokens}, 1)
	now := int64(1 + admitter.Tuning.ReportValidUs) // the report is no longer valid
	admitter.SetPeerLoads(func(string) messages.RunnerLoad { return messages.RunnerLoad{Blocks: 870, Count: 2} }, now)
	must.True(t, admitter.Submit(newRequest(16, 1), now+1).Queued, must.Sprint("the loads of other nodes must be counted"))
	must.Len(t, 1, admitter.Tick(now+1_000_000), must.Sprint("a queued request must be admitted or rejected"))
	late := now + admitter.Tuning.ReportValidUs + 1
	admitter.SetNodes(4)
	must.NotNil(t, admitter.Submit(newRequest(3_600, 20), late).Admission, must.Sprint("outdated loads of other nodes must expire"))
	must.True(t, admitter.Submit(newRequest(16, 1), late+1).Queued, must.Sprint("without current loads of other nodes, this node must stay within its share"))
}

// Guards against missing a threshold that the node's own requests exceed: the summed loads
// of the other nodes can be negative if the loads of some nodes are missing.
func TestThresholdsApplyWithNegativePeerLoads(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.SetNodes(3)
	admitter.SetPeerLoads(func(string) messages.RunnerLoad { return messages.RunnerLoad{Blocks: -40, Count: -2, Prefill: -5} }, 1)
	must.NotNil(t, admitter.Submit(newRequest(13_600, 20), 2).Admission)
	must.True(t, admitter.Submit(newRequest(16, 1), 3).Queued)
}

func TestSharedPartsUseOneStoreAndAllStoresAreUsed(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.SetService("s", []messages.RunnerRecord{testRecord("x")}, testMemoryTokens, 2)
	admitter.SetStores("s", []Store{{ID: "s1", Addr: "s1"}, {ID: "s2", Addr: "s2"}, {ID: "s3", Addr: "s3"}})
	used := map[string]bool{}
	for i := range 40 {
		var sink string
		for j := range 2 {
			request := newRequest(116, 1)
			request.Parts = []prefixindex.Part{{ID: "top", Tokens: 50}, {ID: fmt.Sprint("deep", i), Tokens: 50}, {ID: fmt.Sprint("own", i, j), Tokens: 16}}
			decision := admitter.Submit(request, int64(1+i)*1_000_000)
			must.NotNil(t, decision.Admission)
			if j == 0 {
				sink = decision.Admission.Sink
			}
			must.Eq(t, sink, decision.Admission.Sink)
			admitter.Release(decision.Admission, true, int64(1+i)*1_000_000)
		}
		used[sink] = true
	}
	must.MapLen(t, 3, used)
}

func TestOwnRequestsAddToLateReport(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.RecordRunnerReport(messages.RunnerReport{ID: "x", Used: testMemoryTokens / 2, Total: testMemoryTokens, Active: 1}, 1_000_000)
	adm := admitter.Submit(newRequest(5_700, 10), 1_000_001).Admission
	must.NotNil(t, adm)
	admitter.RecordFirstToken(adm, 1_100_000)
	must.True(t, admitter.Submit(newRequest(160, 1), 1_100_001).Queued)
}

func TestCapacityAndPendingCap(t *testing.T) {
	admitter := newAdmitter("x")
	for i := range 4 {
		must.NotNil(t, admitter.Submit(newRequest(16, 1), int64(i)).Admission)
	}
	queued := 0
	for i := range 40 {
		decision := admitter.Submit(newRequest(16, 1), int64(10+i))
		if decision.Queued {
			queued++
			continue
		}
		must.Eq(t, RejectQueue, decision.Reason)
		must.Eq(t, 503, decision.Status)
		must.Greater(t, 0, decision.RetryAfterUs)
	}
	must.Eq(t, 4+admitter.Tuning.BufferRequests, queued, must.Sprint("the limit is runners x capacity plus the buffer"))
}

func TestPendingTokensStayWithinSetpointTimesRate(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.Tuning.InitialRate = 0.01 // 0.4 s x 10 tokens per ms = 4,000 tokens
	for i := range 4 {
		admitter.Submit(newRequest(16, 1), int64(i))
	}
	must.True(t, admitter.Submit(newRequest(3_000, 1), 10).Queued)
	must.Eq(t, RejectTokens, admitter.Submit(newRequest(1_500, 1), 11).Reason)
	must.True(t, admitter.Submit(newRequest(900, 1), 12).Queued)
}

func TestQueueTTLIsBelowTimeLeft(t *testing.T) {
	admitter := newAdmitter()
	request := newRequest(16, 1)
	request.TimeLeftUs = 300_000
	must.True(t, admitter.Submit(request, 1).Queued)
	must.SliceEmpty(t, admitter.Tick(98_000))
	out := admitter.Tick(100_000)
	must.Len(t, 1, out)
	must.Eq(t, RejectTTL, out[0].Reason)
	must.Eq(t, 503, out[0].Status)
}

func TestBandsAreStrictWithRoundRobinBetweenTenants(t *testing.T) {
	admitter := newAdmitter("x")
	var running *Admission
	for i := range 4 {
		running = admitter.Submit(newRequest(16, 1), int64(i)).Admission
	}
	order := []string{}
	tenantByRef := map[inflight.Ref]string{}
	for i, c := range []struct {
		tenant string
		rank   int
	}{{"a", 1}, {"a", 1}, {"a", 1}, {"b", 1}, {"b", 1}, {"z", 0}} {
		request := newRequest(16, 1)
		request.Tenant, request.Rank = c.tenant, c.rank
		tenantByRef[request.Ref] = c.tenant
		must.True(t, admitter.Submit(request, int64(10+i)).Queued)
	}
	for i := range 6 {
		admitter.Release(running, true, int64(100+i))
		out := admitter.Tick(int64(100 + i))
		must.Len(t, 1, out)
		order = append(order, tenantByRef[out[0].Ref])
		running = out[0].Admission
	}
	must.Eq(t, []string{"z", "a", "b", "a", "b", "a"}, order)
}

func TestLowestBandIsShedFirst(t *testing.T) {
	admitter := newAdmitter("x")
	for i := range 4 {
		admitter.Submit(newRequest(16, 1), int64(i))
	}
	var last inflight.Ref
	for i := range 4 + admitter.Tuning.BufferRequests {
		request := newRequest(16, 1)
		request.Rank = 1
		last = request.Ref
		must.True(t, admitter.Submit(request, int64(10+i)).Queued)
	}
	high := newRequest(16, 1)
	must.Eq(t, RejectQueue, admitter.Submit(high, 50).Reason)
	shed, ok := admitter.ShedLowerPriority(high, 51)
	must.True(t, ok)
	must.Eq(t, last, shed.Ref)
	must.Eq(t, RejectShed, shed.Reason)
	must.True(t, admitter.Submit(high, 52).Queued)
	low := newRequest(16, 1)
	low.Rank = 1
	_, ok = admitter.ShedLowerPriority(low, 53)
	must.False(t, ok, must.Sprint("no band has a lower priority"))
}

func TestWindowFollowsUseAndHits(t *testing.T) {
	tuning := Defaults
	must.Eq(t, 50.0, nextWindow(&tuning, 48, 0.1, 1))
	must.Eq(t, 24.0, nextWindow(&tuning, 48, 0.6, 0.1))
	must.Eq(t, 48.0, nextWindow(&tuning, 48, 0.6, 0.5), must.Sprint("memory use is high, but so is the cache hit share"))
	must.Eq(t, 48.0, nextWindow(&tuning, 48, 0.3, 0.1))
	must.Eq(t, tuning.MinWindow, nextWindow(&tuning, 5, 0.9, 0))
	must.Eq(t, tuning.MaxWindow, nextWindow(&tuning, tuning.MaxWindow, 0, 1))
}

func TestWindowLimitsAdmittedRequestsOfTenant(t *testing.T) {
	admitter := newAdmitter("x", "y")
	admitter.Tuning.InitialWindow = 3
	for i := range 3 {
		must.NotNil(t, admitter.Submit(newRequest(16, 1), int64(i)).Admission)
	}
	must.True(t, admitter.Submit(newRequest(16, 1), 4).Queued)
	other := newRequest(16, 1)
	other.Tenant = "u"
	admitter.pool("s").queue = queue{}
	must.NotNil(t, admitter.Submit(other, 5).Admission)
}

func TestDrainingCordonedAndAvoidedRunnersAreNotCandidates(t *testing.T) {
	admitter := newAdmitter("x", "y", "z")
	draining, cordoned := testRecord("x"), testRecord("y")
	draining.Draining, cordoned.Cordoned = true, true
	admitter.SetService("s", []messages.RunnerRecord{draining, cordoned, testRecord("z")}, testMemoryTokens, 2)
	list := admitter.Candidates(newRequest(16, 1), 1)
	must.Len(t, 1, list)
	must.Eq(t, "z", list[0].ID)
	request := newRequest(16, 1)
	request.ExcludedRunners = []string{"z"}
	must.SliceEmpty(t, admitter.Candidates(request, 1))
}

func TestCordonExpires(t *testing.T) {
	admitter := newAdmitter("x")
	n := testRecord("x")
	n.Cordoned = true
	admitter.SetService("s", []messages.RunnerRecord{n}, testMemoryTokens, 2)
	must.SliceEmpty(t, admitter.Candidates(newRequest(16, 1), 1))
	must.SliceEmpty(t, admitter.Candidates(newRequest(16, 1), maxCordonUs))
	must.Len(t, 1, admitter.Candidates(newRequest(16, 1), 1+maxCordonUs))
}

func TestNodeStaysWithinItsShareOfRunnerConnections(t *testing.T) {
	admitter := newAdmitter("x")
	admitter.SetConnectionLimit("s", 10)
	admitter.SetNodes(4)
	must.NotNil(t, admitter.Submit(newRequest(16, 1), 1).Admission)
	must.NotNil(t, admitter.Submit(newRequest(16, 1), 2).Admission)
	must.True(t, admitter.Submit(newRequest(16, 1), 3).Queued, must.Sprint("9 of 10 connections for four nodes are 2 for each"))
	admitter.SetNodes(1)
	must.Len(t, 1, admitter.Tick(4))
}

func TestDrainingRunnersGetLongRequestsOnlyAsLastResort(t *testing.T) {
	admitter := newAdmitter("x", "y")
	drainingLong := testRecord("x")
	drainingLong.DrainingLong = true
	admitter.SetService("s", []messages.RunnerRecord{drainingLong, testRecord("y")}, testMemoryTokens, 2)
	must.Len(t, 2, admitter.Candidates(newRequest(16, 10), 1))
	must.Len(t, 1, admitter.Candidates(newRequest(16, 200), 1))
	admitter.SetService("s", []messages.RunnerRecord{drainingLong}, testMemoryTokens, 2)
	must.Len(t, 1, admitter.Candidates(newRequest(16, 200), 1))
}

func TestIsolatedTenantsHaveDistinctSalts(t *testing.T) {
	seen := map[string]bool{}
	for _, version := range []int64{1, 2, 12} {
		for _, tenant := range []string{"a", "b"} {
			seen[CacheSalt(&Request{Tenant: tenant, Isolation: Isolation{Isolated: true}}, version)] = true
		}
		seen[CacheSalt(&Request{Tenant: "a", Regime: "r"}, version)] = true
		seen[CacheSalt(&Request{Tenant: "a", Isolation: Isolation{Isolated: true}, Regime: "r"}, version)] = true
		must.Eq(t, CacheSalt(&Request{Tenant: "a"}, version), CacheSalt(&Request{Tenant: "b"}, version))
		seen[CacheSalt(&Request{Tenant: "a"}, version)] = true
	}
	must.MapLen(t, 15, seen)
}

// Guards against WALL: prefixes that a tenant made before it became isolated were used by others after.
func TestSharedPrefixesAreSeparatedBySetOfIsolatedTenants(t *testing.T) {
	seen := map[string]bool{}
	for _, isolated := range []string{"", "one set", "another"} {
		for _, regime := range []string{"", "r"} {
			shared := CacheSalt(&Request{Tenant: "a", Regime: regime, Isolation: Isolation{IsolatedTenants: isolated}}, 1)
			must.Eq(t, shared, CacheSalt(&Request{Tenant: "b", Regime: regime, Isolation: Isolation{IsolatedTenants: isolated}}, 1))
			seen[shared] = true
		}
		own := CacheSalt(&Request{Tenant: "a", Isolation: Isolation{Isolated: true, IsolatedTenants: isolated}}, 1)
		must.Eq(t, CacheSalt(&Request{Tenant: "a", Isolation: Isolation{Isolated: true}}, 1), own, must.Sprint("an isolated tenant keeps its own prefixes"))
	}
	must.MapLen(t, 6, seen)
}

func TestRunnerWithFailedConnectionsIsAvoided(t *testing.T) {
	admitter := newAdmitter("x", "y")
	for i := range 3 {
		request := newRequest(16, 1)
		request.ExcludedRunners = []string{"y"}
		decision := admitter.Submit(request, int64(1+i*3_000_000))
		must.NotNil(t, decision.Admission)
		admitter.Release(decision.Admission, false, int64(1+i*3_000_000))
		list := admitter.Candidates(newRequest(16, 1), int64(2+i*3_000_000))
		must.Len(t, 1, list)
		must.Eq(t, "y", list[0].ID)
	}
	only := newRequest(16, 1)
	only.ExcludedRunners = []string{"y"}
	must.Len(t, 1, admitter.Candidates(only, 6_000_010), must.Sprint("an avoided runner must be used if there is no other"))
}

func TestTransfersComeFromSameWeightsOnly(t *testing.T) {
	admitter := newAdmitter("x", "y")
	y := testRecord("y")
	y.Models[0].Version = 2
	admitter.SetService("s", []messages.RunnerRecord{testRecord("x"), y}, testMemoryTokens, 2)
	request := newRequest(16, 1)
	request.Parts = []prefixindex.Part{{ID: "shared", Tokens: 1000}, {ID: "own", Tokens: 16}}
	request.TokensIn = 1016
	admitter.Index.RecordPrefilled("x", prefixindex.Key("w1", "m", "shared"), 1000)
	for _, c := range admitter.Candidates(request, 1) {
		must.Eq(t, "", c.TransferFrom)
	}
	admitter.SetService("s", []messages.RunnerRecord{testRecord("x"), testRecord("y")}, testMemoryTokens, 2)
	found := false
	for _, c := range admitter.Candidates(request, 1) {
		if c.ID == "y" {
			found = true
			must.Eq(t, "x:1", c.TransferFrom)
			must.Eq(t, 1000, c.TransferableTokens)
		}
	}
	must.True(t, found)
}

func TestLoadReturnsToZeroAfterRelease(t *testing.T) {
	admitter := newAdmitter("x", "y")
	var admissions []*Admission
	for i := range 8 {
		request := newRequest(100+i, 50)
		request.Parts = []prefixindex.Part{{ID: "shared", Tokens: 64}, {ID: fmt.Sprint(i), Tokens: 36 + i}}
		r := admitter.Submit(request, int64(i))
		must.NotNil(t, r.Admission)
		admissions = append(admissions, r.Admission)
	}
	for i, request := range admissions {
		if i%2 == 0 {
			admitter.RecordFirstToken(request, 100)
		}
		admitter.Release(request, i%3 > 0, 200)
	}
	for _, id := range []string{"x", "y"} {
		r := admitter.pool("s").runners[id]
		must.Eq(t, runnerLoad{promptRate: r.ownLoad.promptRate, updatedUs: r.ownLoad.updatedUs}, r.ownLoad, must.Sprint(id))
		must.MapEmpty(t, r.pins)
	}
	must.Eq(t, 0, admitter.tenants["t"].admitted)
}
