package router

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
)

// signals synchronises a test with its scripted runners through channels that are created on first
// use.
type signals struct {
	mu       sync.Mutex
	channels map[string]chan bool
}

func (g *signals) at(name string) chan bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.channels == nil {
		g.channels = map[string]chan bool{}
	}
	if g.channels[name] == nil {
		g.channels[name] = make(chan bool)
	}
	return g.channels[name]
}

func relinquishConfig(version int64, zones string) string {
	s := strings.Replace(configText, `"version":3`, fmt.Sprintf(`"version":%d`, version), 1)
	return strings.Replace(s, `"limits"`, `"relinquish":[`+zones+`],"limits"`, 1)
}

// setRunnerZones sets the zone of runner i to zones[i].
func (r *Router) setRunnerZones(t *testing.T, zones ...string) {
	t.Helper()
	snap := r.registry.Snapshot()
	var records []messages.RunnerRecord
	for i, zone := range zones {
		n := snap.ByID[fmt.Sprint("r", i)]
		n.Zone, n.Seq, n.Capacity = zone, 2, 9
		records = append(records, n)
	}
	must.True(t, r.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, records...)}}))
	r.syncAdmission()
}

// A resumable live stream continues in the other zone after its last complete event. Its old
// connection is closed before the new request is sent, and the client receives one complete
// response.
func TestLiveStreamMovesWhenItsZoneIsRelinquished(t *testing.T) {
	for name, runnerFails := range map[string]bool{"under ordinary load": false, "the zone fails": true} {
		t.Run(name, func(t *testing.T) { testStreamMove(t, runnerFails) })
	}
}

// testStreamMove moves a stream whose zone is relinquished, while its runner works or as it fails.
func testStreamMove(t *testing.T, runnerFails bool) {
	t.Helper()
	var events signals
	a, b := newRunner(t), newRunner(t)
	a.stream = func(write func(string), closed <-chan struct{}) {
		write(streamHead + chunk("id: 1\ndata: a\n\n"))
		<-events.at("declared")
		if runnerFails {
			return
		}
		write(chunk("id: 2\ndata: b\n\nid: 3\nda"))
		<-closed // the router closes the old connection first
		close(events.at("left"))
	}
	b.stream = func(write func(string), _ <-chan struct{}) {
		if !runnerFails {
			<-events.at("left")
		}
		rest := chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n"
		if b.lastRequest().Header.Get(hLastEvent) == "1" { // the stream may move before the second event
			rest = chunk("id: 2\ndata: b\n\n") + rest
		}
		write(streamHead + rest)
	}
	router, front, _ := start(t, a, b)
	router.setRunnerZones(t, "a", "b")
	router.admissionMu.Lock() // r0 is preferred, as it has the prompt cached
	for _, p := range []string{"ab", "cd"} {
		router.admission.Index.RecordPrefilled("r0", prefixindex.Key("w4/t1", "m", p), 15)
	}
	router.admissionMu.Unlock()
	go func() {
		for a.requestCount() == 0 {
			runtime.Gosched()
		}
		router.receiveConfigVersion(t, 2, 4, relinquishConfig(4, `{"zone":"a"}`))
		close(events.at("declared"))
	}()
	ans, body, err := roundTrip(t, front, request("/sort/", "x"))
	must.NoError(t, err)
	must.Eq(t, 200, ans.StatusCode)
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", body)
	must.Eq(t, 1, a.requestCount())
	must.Eq(t, 1, b.requestCount())
	must.NotEq(t, "", b.seen[0].Header.Get(hLastEvent))
	must.Eq(t, "r1", b.seen[0].Header.Get(hTarget))
	for router.inFlight.Load() > 0 {
		runtime.Gosched()
	}
	router.requireNoCapacityHeld(t)
}

// requireNoCapacityHeld checks that no capacity is reserved at any runner.
func (r *Router) requireNoCapacityHeld(t *testing.T) {
	t.Helper()
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	for id, l := range r.admission.OwnLoads(r.clock()) {
		must.Eq(t, 0, l.Count, must.Sprint(id))
	}
}

// A stream that is not resumable ends where it runs; the next request of its session goes to the
// new home zone.
func TestNonResumableStreamEndsAtItsRunner(t *testing.T) {
	declared := make(chan bool)
	a, b := newRunner(t), newRunner(t)
	a.stream = func(write func(string), _ <-chan struct{}) {
		write(streamHead + chunk("id: 1\ndata: a\n\n"))
		<-declared
		write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
	}
	b.stream = func(write func(string), _ <-chan struct{}) {
		write(streamHead + chunk("id: 1\ndata: z\n\n") + "0\r\n\r\n")
	}
	router, front, _ := start(t, a, b)
	router.setRunnerZones(t, "a", "b")
	router.admissionMu.Lock()
	for _, p := range []string{"ab", "cd"} {
		router.admission.Index.RecordPrefilled("r0", prefixindex.Key("w4/t1", "m", p), 15)
	}
	router.admissionMu.Unlock()
	go func() {
		for a.requestCount() == 0 {
			runtime.Gosched()
		}
		router.receiveConfigVersion(t, 2, 4, relinquishConfig(4, `{"zone":"a"}`))
		close(declared)
	}()
	_, body, err := roundTrip(t, front, request("/chat/", "x"))
	must.NoError(t, err)
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
	must.Eq(t, 0, b.requestCount())
	_, body, err = roundTrip(t, front, request("/chat/", "x"))
	must.NoError(t, err)
	must.Eq(t, "id: 1\ndata: z\n\n", body)
	must.Eq(t, 1, a.requestCount())
	must.Eq(t, 1, b.requestCount())
}

// When a zone is relinquished, the runner at the new home copies the cached prefix from the old
// runner and prefills only the rest.
func TestNewHomeCopiesCachedPrefixFromOldRunner(t *testing.T) {
	d := admission.New(admission.Defaults, "b", 1)
	records := []messages.RunnerRecord{}
	for i := range 6 {
		records = append(records, messages.RunnerRecord{ID: fmt.Sprint("r", i), Service: "s", Addr: fmt.Sprint("r", i, ":1"), Zone: []string{"a", "b", "c"}[i%3], Capacity: 8, Models: []messages.Target{{Model: "m", Version: 1}}})
	}
	d.SetService("s", records, 100_000, 0.01)
	ask := admission.Request{
		Service: "s", Tenant: "t", Model: "m", TokensIn: 6200, TokensOut: 20, SetpointUs: 800_000, TimeLeftUs: 5_000_000,
		Parts: []prefixindex.Part{{ID: "top", Tokens: 2500}, {ID: "deep", Tokens: 3500}, {ID: "own", Tokens: 200}},
	}
	keys := prefixindex.Keys(d.CacheSalt(&admission.Request{Tenant: "t"}, 1), "m", ask.Parts)
	for i, k := range keys[:2] {
		d.Index.RecordPrefilled("r0", k, int32(ask.Parts[i].Tokens))
	}
	before := d.Submit(ask, 1_000_000).Admission
	must.Eq(t, "r0", before.Runner.ID)
	must.Eq(t, 6000, before.CachedTokens)
	d.Release(before, true, 1_500_000)
	d.SetRelinquished(map[string]int64{"a": 0}, 2_000_000)
	after := d.Submit(ask, 2_000_000).Admission
	must.NotEq(t, "a", after.Runner.Zone)
	must.Eq(t, "r0:1", after.Source, must.Sprint("copied from the old runner"))
	d.RecordFirstToken(after, 2_100_000)
	d.Release(after, true, 2_200_000)
	again := d.Submit(ask, 3_000_000).Admission
	must.Eq(t, after.Runner.ID, again.Runner.ID, must.Sprint("the session must stay at its new home"))
	must.Eq(t, "", again.Source)
	must.Eq(t, 6200, again.CachedTokens, must.Sprint("the whole prefix must be cached there"))
}
