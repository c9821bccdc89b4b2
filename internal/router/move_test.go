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

// gate lets a scripted runner hold its answer back until it is told to go on.
type gate struct {
	mu   sync.Mutex
	open map[string]chan bool
}

func (g *gate) at(name string) chan bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = map[string]chan bool{}
	}
	if g.open[name] == nil {
		g.open[name] = make(chan bool)
	}
	return g.open[name]
}

func relinquishing(version int64, zones string) string {
	s := strings.Replace(configText, `"version":3`, fmt.Sprintf(`"version":%d`, version), 1)
	return strings.Replace(s, `"limits"`, `"relinquish":[`+zones+`],"limits"`, 1)
}

// sited puts runner i at zones[i].
func (r *Router) sited(t *testing.T, zones ...string) {
	t.Helper()
	snap := r.registry.Snapshot()
	var notes []messages.RunnerRecord
	for i, zone := range zones {
		n := snap.ByID[fmt.Sprint("r", i)]
		n.Zone, n.Seq, n.Capacity = zone, 2, 9
		notes = append(notes, n)
	}
	must.True(t, r.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, notes...)}}))
	r.syncAdmission()
}

// A live stream that may be resumed goes on at the other zone from its last
// whole event on; its old link is closed before the new request goes out, and
// the client sees one answer, whole.
func TestALiveStreamMovesToTheOtherSite(t *testing.T) {
	for name, dies := range map[string]bool{"under ordinary load": false, "the zone fails": true} {
		t.Run(name, func(t *testing.T) { moveStream(t, dies) })
	}
}

// moveStream has a stream move while its runner would go on, or as it dies.
func moveStream(t *testing.T, dies bool) {
	t.Helper()
	var g gate
	a, b := newRunner(t), newRunner(t)
	a.stream = func(write func(string), closed <-chan struct{}) {
		write(streamHead + chunk("id: 1\ndata: a\n\n"))
		<-g.at("declared")
		if dies {
			return
		}
		write(chunk("id: 2\ndata: b\n\nid: 3\nda"))
		<-closed // the router hangs up first
		close(g.at("left"))
	}
	b.stream = func(write func(string), _ <-chan struct{}) {
		if !dies {
			<-g.at("left")
		}
		rest := chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n"
		if b.last().Header.Get(hLastEvent) == "1" { // it may leave before the second event
			rest = chunk("id: 2\ndata: b\n\n") + rest
		}
		write(streamHead + rest)
	}
	c, front, _ := start(t, a, b)
	c.sited(t, "a", "b")
	c.admissionMu.Lock() // the first choice is r0: it keeps the prompt
	for _, p := range []string{"ab", "cd"} {
		c.admission.Index.Put("r0", prefixindex.Key("w4/t1", "m", p), 15)
	}
	c.admissionMu.Unlock()
	go func() {
		for a.count() == 0 {
			runtime.Gosched()
		}
		c.adopt(t, 2, 4, relinquishing(4, `{"zone":"a"}`))
		close(g.at("declared"))
	}()
	ans, body, err := say(t, front, request("/sort/", "x"))
	must.NoError(t, err)
	must.Eq(t, 200, ans.StatusCode)
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", body)
	must.Eq(t, 1, a.count())
	must.Eq(t, 1, b.count())
	must.NotEq(t, "", b.seen[0].Header.Get(hLastEvent))
	must.Eq(t, "r1", b.seen[0].Header.Get(hTarget))
	for c.inFlight.Load() > 0 {
		runtime.Gosched()
	}
	c.holdsNothing(t)
}

// holdsNothing checks that no capacity is reserved at any runner.
func (r *Router) holdsNothing(t *testing.T) {
	t.Helper()
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	for id, l := range r.admission.OwnLoads(r.clock()) {
		must.Eq(t, 0, l.Count, must.Sprint(id))
	}
}

// A stream that may not be resumed ends where it runs; its session's next
// request goes to the new home.
func TestARunOnceStreamEndsWhereItRuns(t *testing.T) {
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
	c, front, _ := start(t, a, b)
	c.sited(t, "a", "b")
	c.admissionMu.Lock()
	for _, p := range []string{"ab", "cd"} {
		c.admission.Index.Put("r0", prefixindex.Key("w4/t1", "m", p), 15)
	}
	c.admissionMu.Unlock()
	go func() {
		for a.count() == 0 {
			runtime.Gosched()
		}
		c.adopt(t, 2, 4, relinquishing(4, `{"zone":"a"}`))
		close(declared)
	}()
	_, body, err := say(t, front, request("/chat/", "x"))
	must.NoError(t, err)
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
	must.Eq(t, 0, b.count())
	_, body, err = say(t, front, request("/chat/", "x"))
	must.NoError(t, err)
	must.Eq(t, "id: 1\ndata: z\n\n", body)
	must.Eq(t, 1, a.count())
	must.Eq(t, 1, b.count())
}

// The context goes along: the new home takes the kept parts from the old one, as
// many tokens as would have been found there, and reads only what is new.
func TestTheContextGoesAlong(t *testing.T) {
	d := admission.New(admission.Defaults, "b", 1)
	notes := []messages.RunnerRecord{}
	for i := range 6 {
		notes = append(notes, messages.RunnerRecord{ID: fmt.Sprint("r", i), Service: "s", Addr: fmt.Sprint("r", i, ":1"), Zone: []string{"a", "b", "c"}[i%3], Capacity: 8, Models: []messages.Target{{Model: "m", Version: 1}}})
	}
	d.SetService("s", notes, 100_000, 0.01)
	ask := admission.Request{
		Service: "s", Tenant: "t", Model: "m", TokensIn: 6200, TokensOut: 20, SetpointUs: 800_000, TimeLeftUs: 5_000_000,
		Parts: []prefixindex.Part{{ID: "top", Tokens: 2500}, {ID: "deep", Tokens: 3500}, {ID: "own", Tokens: 200}},
	}
	keys := prefixindex.Keys(d.CacheSalt("t", false, "", 1), "m", ask.Parts)
	for i, k := range keys[:2] {
		d.Index.Put("r0", k, int32(ask.Parts[i].Tokens))
	}
	before := d.Submit(ask, 1_000_000).Admission
	must.Eq(t, "r0", before.Runner.ID)
	must.Eq(t, 6000, before.CachedTokens)
	d.Release(before, true, 1_500_000)
	d.SetRelinquished(map[string]int64{"a": 0}, 2_000_000)
	after := d.Submit(ask, 2_000_000).Admission
	must.NotEq(t, "a", after.Runner.Zone)
	must.Eq(t, "r0:1", after.Source, must.Sprint("taken over from the old runner"))
	d.RecordFirstToken(after, 2_100_000)
	d.Release(after, true, 2_200_000)
	again := d.Submit(ask, 3_000_000).Admission
	must.Eq(t, after.Runner.ID, again.Runner.ID, must.Sprint("it stays at its new home"))
	must.Eq(t, "", again.Source)
	must.Eq(t, 6200, again.CachedTokens, must.Sprint("and finds all of it there"))
}
