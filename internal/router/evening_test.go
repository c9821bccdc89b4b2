package router

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/inflight"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/routeconfig"
)

// evening plays a busy evening against the machines that decide: runners join,
// leave, lose and regain certificates by new configurations, nodes die and come
// back with nothing, links are cut so that news comes late. Time is an argument;
// the order of events comes from a seed.
type evening struct {
	t       *testing.T
	rnd     *rand.Rand
	nowUs   int64
	nodes   []*deskNode
	runners map[string]messages.RunnerRecord
	certs   map[string]bool
	retired int64 // weights below this version are retired
	newest  int64 // version of the weights that runners get
	version int64
	menus   []api.Configuration
	ends    map[string]int
	count   int
	sent    map[string]int // regulated requests by runner
	open    []*guest
	older   int // requests that went to weights that are not the newest
}

type deskNode struct {
	name      string
	table     *routeconfig.Table
	registry  *registry.Registry
	admission *admission.Admitter
	slab      inflight.Slab[admission.Decision]
	trail     *compliance.Trail
	cut       bool
	up        bool
}

type guest struct {
	id     string
	node   *deskNode
	ask    admission.Request
	adm    *admission.Admission
	endsUs int64
}

func (e *evening) configuration() api.Configuration {
	m := api.Configuration{Version: e.version, Services: []api.Service{{Name: "s", Engine: api.Engine{CacheTokens: 16000}}}, Regimes: []api.Regime{{Name: "allergen"}}, Tenants: []api.Tenant{{Name: "directorate", Regime: "allergen"}, {Name: "taxi"}}}
	if e.retired > 0 {
		m.Retired = []api.Retirement{{Model: "m", Before: e.retired}}
	}
	var ids []string
	for id := range e.certs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if len(ids) > 0 {
		m.Certificates = []api.Certificate{{Regime: "allergen", Runners: ids}}
	}
	return m
}

// publish brings a new configuration to the nodes that are not cut off.
func (e *evening) publish() {
	e.version++
	e.menus = append(e.menus, e.configuration())
	e.tell()
}

func (e *evening) tell() {
	for _, n := range e.nodes {
		if n.up && !n.cut {
			n.hear(e)
		}
	}
}

func (n *deskNode) hear(e *evening) {
	n.table = routeconfig.Compile(e.menus[len(e.menus)-1])
	for _, r := range e.runners {
		n.registry.Merge(r, e.nowUs)
	}
	notes := n.registry.Snapshot().ByService["s"]
	n.admission.SetService("s", notes, 16000, 2)
	n.admission.SetRetired(n.table.MinWeightsVersionByModel)
	n.admission.SetCertified("s", certified(n.table, notes))
}

func (n *deskNode) start(e *evening) {
	n.registry, n.admission, n.up = registry.New(), admission.New(admission.Defaults, "a", 1), true
	n.hear(e)
}

func (n *deskNode) note(step compliance.Step, g *guest, r *messages.RunnerRecord, cert int) {
	x := compliance.Entry{Node: n.name, Step: step, Attempt: g.id, Tenant: g.ask.Tenant, Regime: g.ask.Regime, Certificate: cert, Version: n.table.Version}
	if r != nil {
		x.Runner, x.Service, x.Zone = r.ID, r.Service, r.Zone
	}
	n.trail.Append(x)
}

func (e *evening) arrive() {
	n := e.nodes[e.rnd.IntN(len(e.nodes))]
	if !n.up {
		return
	}
	e.count++
	g := &guest{id: fmt.Sprint(e.count), node: n}
	g.ask = admission.Request{Service: "s", Tenant: "taxi", TokensIn: 200, TokensOut: 50, Model: "m", Parts: []prefixindex.Part{{ID: "own", Tokens: 200}}, SetpointUs: 400_000, TimeLeftUs: 6_000_000}
	if e.rnd.IntN(2) == 0 {
		g.ask.Tenant = "directorate"
		g.ask.Regime = n.table.RegimeOf("directorate")
		n.note(compliance.Received, g, nil, -1)
	}
	e.open = append(e.open, g)
	e.offer(g)
}

func (e *evening) offer(g *guest) {
	n := g.node
	g.ask.Ref = n.slab.Store(func(r admission.Decision) { e.ruled(g, r) })
	r := n.admission.Submit(g.ask, e.nowUs)
	if !r.Queued {
		n.slab.Resume(g.ask.Ref, r)
	}
}

func (e *evening) ruled(g *guest, r admission.Decision) {
	if r.Admission == nil {
		e.end(g, compliance.Rejected)
		return
	}
	_, cert, ok := g.node.table.Allows(g.ask.Tenant, sightOf(r.Admission.Runner))
	if !ok {
		g.node.admission.Release(r.Admission, true, e.nowUs)
		g.ask.ExcludedRunners = append(g.ask.ExcludedRunners, r.Admission.Runner.ID)
		if len(g.ask.ExcludedRunners) > attempt.MaxUnsent {
			e.end(g, compliance.Rejected)
			return
		}
		e.offer(g)
		return
	}
	must.False(e.t, r.Admission.WeightsVersion < g.node.table.MinWeightsVersionByModel["m"], must.Sprintf("%s is sent to weights %d in version %d", g.id, r.Admission.WeightsVersion, g.node.table.Version))
	must.Eq(e.t, admission.CacheSalt(g.ask.Tenant, false, g.ask.Regime, r.Admission.WeightsVersion), r.Admission.CacheSalt)
	if r.Admission.WeightsVersion < e.newest {
		e.older++
	}
	g.adm, g.endsUs = r.Admission, e.nowUs+200_000+int64(e.rnd.IntN(1_500_000))
	if g.ask.Regime != "" {
		g.node.note(compliance.Sent, g, &r.Admission.Runner, cert)
		e.sent[r.Admission.Runner.ID]++
		must.True(e.t, e.certifiedAt(g.node.table.Version, r.Admission.Runner.ID), must.Sprintf("%s in version %d", r.Admission.Runner.ID, g.node.table.Version))
	}
}

func (e *evening) certifiedAt(version int64, id string) bool {
	for _, m := range e.menus {
		if m.Version == version && len(m.Certificates) > 0 {
			for _, r := range m.Certificates[0].Runners {
				if r == id {
					return true
				}
			}
		}
	}
	return false
}

func (e *evening) end(g *guest, step compliance.Step) {
	e.ends[g.id]++
	if g.ask.Regime != "" {
		g.node.note(step, g, nil, -1)
	}
	g.endsUs = -1
}

// step is 20 ms of the evening: what is due ends, requests arrive, and now and then
// something changes.
func (e *evening) step() {
	e.tick()
	e.endDue(func(runner string) bool { _, alive := e.runners[runner]; return alive })
	for range e.rnd.IntN(4) {
		e.arrive()
	}
	if i := e.rnd.IntN(60); i < len(changes) {
		changes[i](e)
	}
}

// tick lets time pass at the nodes.
func (e *evening) tick() {
	e.nowUs += 20_000
	for _, n := range e.nodes {
		if !n.up {
			continue
		}
		for _, r := range n.admission.Tick(e.nowUs) {
			n.slab.Resume(r.Ref, r)
		}
	}
}

// endDue ends the requests whose time has come: answered, or cut where the runner is gone.
func (e *evening) endDue(alive func(runner string) bool) {
	left := []*guest{}
	for _, g := range e.open {
		if g.adm != nil && g.endsUs > 0 && g.endsUs <= e.nowUs {
			step := compliance.Answered
			if !alive(g.adm.Runner.ID) {
				step = compliance.Cut
			}
			e.end(g, step)
			g.node.admission.Release(g.adm, true, e.nowUs)
		}
		if g.endsUs >= 0 {
			left = append(left, g)
		}
	}
	e.open = left
}

// changes are what happens now and then.
var changes = []func(e *evening){
	(*evening).joinRunner, (*evening).leaveRunner, (*evening).certify, (*evening).revokeCertificate, (*evening).cutNode,
	(*evening).killOrStartNode, (*evening).nameWeights, (*evening).renew, (*evening).renew, (*evening).renew, (*evening).retireWeights,
}

func (e *evening) joinRunner() {
	id := fmt.Sprintf("r%d", e.rnd.IntN(1_000_000))
	e.runners[id] = messages.RunnerRecord{ID: id, Service: "s", Addr: id + ":1", Zone: "a", Capacity: 4, Seq: 1, Models: []messages.Target{{Model: "m", Version: 1}}}
	e.tell()
}

func (e *evening) leaveRunner() {
	id := e.anyRunner()
	if id == "" || len(e.runners) <= 2 {
		return
	}
	r := e.runners[id]
	r.Gone = true
	for _, n := range e.nodes {
		if n.up && !n.cut {
			n.registry.Merge(r, e.nowUs)
		}
	}
	delete(e.runners, id)
	e.tell()
}

func (e *evening) certify() {
	if id := e.anyRunner(); id != "" {
		e.certs[id] = true
		e.publish()
	}
}

func (e *evening) revokeCertificate() {
	for id := range e.certs {
		delete(e.certs, id)
		break
	}
	e.publish()
}

// cutNode cuts a node off, or ends that.
func (e *evening) cutNode() {
	n := e.nodes[e.rnd.IntN(len(e.nodes))]
	n.cut = !n.cut
	e.tell()
}

// killOrStartNode kills a node, with its clients' connections, or starts it again.
func (e *evening) killOrStartNode() {
	n := e.nodes[e.rnd.IntN(len(e.nodes))]
	if !n.up {
		n.cut = false
		n.start(e)
		return
	}
	n.up = false
	for _, g := range e.open {
		if g.node == n {
			e.end(g, compliance.Cut)
		}
	}
}

// nameWeights names new weights, and a runner gets them.
func (e *evening) nameWeights() {
	e.newest++
	e.renew()
}

// retireWeights retires all weights but the newest.
func (e *evening) retireWeights() {
	if e.newest > e.retired {
		e.retired = e.newest
		e.publish()
	}
}

// renew has a runner load the newest weights. Nodes that are cut off hear of it late, or
// never.
func (e *evening) renew() {
	id := e.anyRunner()
	if id == "" {
		return
	}
	r := e.runners[id]
	r.Seq++
	r.Models = []messages.Target{{Model: "m", Version: e.newest}}
	e.runners[id] = r
	e.tell()
}

func (e *evening) anyRunner() string {
	var ids []string
	for id := range e.runners {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return ""
	}
	slices.Sort(ids)
	return ids[e.rnd.IntN(len(ids))]
}

func play(t *testing.T, seed uint64) *evening {
	e := &evening{t: t, rnd: rand.New(rand.NewPCG(seed, 3)), nowUs: 1, newest: 1, runners: map[string]messages.RunnerRecord{}, certs: map[string]bool{}, ends: map[string]int{}, sent: map[string]int{}}
	for i := range 6 {
		id := fmt.Sprintf("r%d", i)
		e.runners[id] = messages.RunnerRecord{ID: id, Service: "s", Addr: id + ":1", Zone: "a", Capacity: 4, Seq: 1, Models: []messages.Target{{Model: "m", Version: 1}}}
		if i < 2 {
			e.certs[id] = true
		}
	}
	e.version, e.menus = 1, nil
	e.menus = append(e.menus, e.configuration())
	for i := range 4 {
		n := &deskNode{name: fmt.Sprint("n", i), trail: &compliance.Trail{}}
		n.start(e)
		e.nodes = append(e.nodes, n)
	}
	for range 900 {
		e.step()
	}
	for _, n := range e.nodes { // the evening ends: everything waits out its time
		n.cut = false
	}
	e.rnd = rand.New(rand.NewPCG(seed, 4))
	for len(e.open) > 0 {
		e.tick()
		e.endDue(func(string) bool { return true })
	}
	return e
}

func (e *evening) trail() []compliance.Entry {
	var out []compliance.Entry
	for _, n := range e.nodes {
		var b bytes.Buffer
		must.NoError(e.t, n.trail.Write(&b))
		list, err := compliance.ReadTrail(&b)
		must.NoError(e.t, err)
		out = append(out, list...)
	}
	return out
}

func TestBusyEveningKeepsRegulatedRequestsOnCertifiedRunners(t *testing.T) {
	regulated, older := 0, 0
	for seed := range uint64(40) {
		e := play(t, seed)
		must.Greater(t, 100, e.count)
		for id := 1; id <= e.count; id++ {
			must.Eq(t, 1, e.ends[fmt.Sprint(id)], must.Sprintf("seed %d: request %d ended %d times", seed, id, e.ends[fmt.Sprint(id)]))
		}
		list := e.trail()
		bad := compliance.CheckTrail(list, e.menus)
		must.SliceEmpty(t, bad, must.Sprint(seed, bad))
		older += e.older
		for _, n := range e.sent {
			regulated += n
		}
		// a planted violation is found
		for i := range list {
			if list[i].Step == compliance.Sent {
				list[i].Runner = "nobody"
				break
			}
		}
		must.SliceNotEmpty(t, compliance.CheckTrail(list, e.menus), must.Sprint(seed))
	}
	must.Positive(t, older, must.Sprint("nothing ever ran on older weights"))
	must.Greater(t, 2000, regulated, must.Sprint("too few regulated requests were sent to show anything"))
}
