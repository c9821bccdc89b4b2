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

// fleetSimulation simulates a fleet under load with the real admission control, registry,
// configuration and audit trail: runners join and leave, new configurations grant and revoke
// certificates, nodes crash and restart without state, and partitions delay updates. Time is
// simulated; the order of events is derived from a seed.
type fleetSimulation struct {
	t                  *testing.T
	rnd                *rand.Rand
	nowUs              int64
	nodes              []*simulatedNode
	runners            map[string]messages.RunnerRecord
	certified          map[string]bool
	retiredBelow       int64 // weights below this version are retired
	newestWeights      int64 // newest version of the weights
	version            int64
	configurations     []api.Configuration
	endCounts          map[string]int
	requestCount       int
	sentRegulated      map[string]int // regulated requests by runner
	openRequests       []*simulatedRequest
	sentToOlderWeights int // requests sent to weights that are not the newest
}

type simulatedNode struct {
	name      string
	table     *routeconfig.Table
	registry  *registry.Registry
	admission *admission.Admitter
	slab      inflight.Slab[admission.Decision]
	trail     *compliance.Trail
	cut       bool
	up        bool
}

type simulatedRequest struct {
	id       string
	node     *simulatedNode
	request  admission.Request
	admitted *admission.Admission
	endsUs   int64
}

func (e *fleetSimulation) configuration() api.Configuration {
	config := api.Configuration{Version: e.version, Services: []api.Service{{Name: "s", Engine: api.Engine{CacheTokens: 16000}}}, Regimes: []api.Regime{{Name: "regime-1"}}, Tenants: []api.Tenant{{Name: "regulated-tenant", Regime: "regime-1"}, {Name: "other-tenant"}}}
	if e.retiredBelow > 0 {
		config.Retired = []api.Retirement{{Model: "m", Before: e.retiredBelow}}
	}
	var ids []string
	for id := range e.certified {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if len(ids) > 0 {
		config.Certificates = []api.Certificate{{Regime: "regime-1", Runners: ids}}
	}
	return config
}

// publish creates a new version of the configuration and delivers it to the connected nodes.
func (e *fleetSimulation) publish() {
	e.version++
	e.configurations = append(e.configurations, e.configuration())
	e.updateNodes()
}

// updateNodes updates the nodes that are up and not cut off.
func (e *fleetSimulation) updateNodes() {
	for _, n := range e.nodes {
		if n.up && !n.cut {
			n.update(e)
		}
	}
}

func (n *simulatedNode) update(e *fleetSimulation) {
	n.table = routeconfig.Compile(e.configurations[len(e.configurations)-1])
	for _, r := range e.runners {
		n.registry.Merge(r, e.nowUs)
	}
	records := n.registry.Snapshot().ByService["s"]
	n.admission.SetService("s", records, 16000, 2)
	n.admission.SetRetired(n.table.MinWeightsVersionByModel)
	n.admission.SetCertified("s", certifiedByRegime(n.table, records))
}

func (n *simulatedNode) start(e *fleetSimulation) {
	n.registry, n.admission, n.up = registry.New(), admission.New(admission.Defaults, "a", 1), true
	n.update(e)
}

func (n *simulatedNode) recordStep(step compliance.Step, g *simulatedRequest, r *messages.RunnerRecord, cert int) {
	entry := compliance.Entry{Node: n.name, Step: step, Attempt: g.id, Tenant: g.request.Tenant, Regime: g.request.Regime, Certificate: cert, Version: n.table.Version}
	if r != nil {
		entry.Runner, entry.Service, entry.Zone = r.ID, r.Service, r.Zone
	}
	n.trail.Append(entry)
}

func (e *fleetSimulation) arrive() {
	n := e.nodes[e.rnd.IntN(len(e.nodes))]
	if !n.up {
		return
	}
	e.requestCount++
	g := &simulatedRequest{id: fmt.Sprint(e.requestCount), node: n}
	g.request = admission.Request{Service: "s", Tenant: "other-tenant", TokensIn: 200, TokensOut: 50, Model: "m", Parts: []prefixindex.Part{{ID: "own", Tokens: 200}}, SetpointUs: 400_000, TimeLeftUs: 6_000_000}
	if e.rnd.IntN(2) == 0 {
		g.request.Tenant = "regulated-tenant"
		g.request.Regime = n.table.RegimeOf("regulated-tenant")
		n.recordStep(compliance.Received, g, nil, -1)
	}
	e.openRequests = append(e.openRequests, g)
	e.submit(g)
}

func (e *fleetSimulation) submit(g *simulatedRequest) {
	n := g.node
	g.request.Ref = n.slab.Store(func(decision admission.Decision) { e.decided(g, decision) })
	decision := n.admission.Submit(g.request, e.nowUs)
	if !decision.Queued {
		n.slab.Resume(g.request.Ref, decision)
	}
}

func (e *fleetSimulation) decided(g *simulatedRequest, decision admission.Decision) {
	if decision.Admission == nil {
		e.end(g, compliance.Rejected)
		return
	}
	_, cert, ok := g.node.table.Allows(g.request.Tenant, complianceRunner(decision.Admission.Runner))
	if !ok {
		g.node.admission.Release(decision.Admission, true, e.nowUs)
		g.request.ExcludedRunners = append(g.request.ExcludedRunners, decision.Admission.Runner.ID)
		if len(g.request.ExcludedRunners) > attempt.MaxUnsent {
			e.end(g, compliance.Rejected)
			return
		}
		e.submit(g)
		return
	}
	must.False(e.t, decision.Admission.WeightsVersion < g.node.table.MinWeightsVersionByModel["m"], must.Sprintf("%s was sent to weights %d under configuration %d", g.id, decision.Admission.WeightsVersion, g.node.table.Version))
	must.Eq(e.t, admission.CacheSalt(&admission.Request{Tenant: g.request.Tenant, Regime: g.request.Regime}, decision.Admission.WeightsVersion), decision.Admission.CacheSalt)
	if decision.Admission.WeightsVersion < e.newestWeights {
		e.sentToOlderWeights++
	}
	g.admitted, g.endsUs = decision.Admission, e.nowUs+200_000+int64(e.rnd.IntN(1_500_000))
	if g.request.Regime != "" {
		g.node.recordStep(compliance.Sent, g, &decision.Admission.Runner, cert)
		e.sentRegulated[decision.Admission.Runner.ID]++
		must.True(e.t, e.certifiedAt(g.node.table.Version, decision.Admission.Runner.ID), must.Sprintf("runner %s is not certified in configuration %d", decision.Admission.Runner.ID, g.node.table.Version))
	}
}

func (e *fleetSimulation) certifiedAt(version int64, id string) bool {
	for _, config := range e.configurations {
		if config.Version == version && len(config.Certificates) > 0 {
			for _, r := range config.Certificates[0].Runners {
				if r == id {
					return true
				}
			}
		}
	}
	return false
}

func (e *fleetSimulation) end(g *simulatedRequest, step compliance.Step) {
	e.endCounts[g.id]++
	if g.request.Regime != "" {
		g.node.recordStep(step, g, nil, -1)
	}
	g.endsUs = -1
}

// step simulates 20 ms: requests that are due end, new ones arrive, and a random event may occur.
func (e *fleetSimulation) step() {
	e.tick()
	e.endDue(func(runner string) bool { _, alive := e.runners[runner]; return alive })
	for range e.rnd.IntN(4) {
		e.arrive()
	}
	if i := e.rnd.IntN(60); i < len(randomEvents) {
		randomEvents[i](e)
	}
}

// tick advances the time at the nodes that are up.
func (e *fleetSimulation) tick() {
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

// endDue ends the requests that are due: answered, or cut if the runner is gone.
func (e *fleetSimulation) endDue(alive func(runner string) bool) {
	remaining := []*simulatedRequest{}
	for _, g := range e.openRequests {
		if g.admitted != nil && g.endsUs > 0 && g.endsUs <= e.nowUs {
			step := compliance.Answered
			if !alive(g.admitted.Runner.ID) {
				step = compliance.Cut
			}
			e.end(g, step)
			g.node.admission.Release(g.admitted, true, e.nowUs)
		}
		if g.endsUs >= 0 {
			remaining = append(remaining, g)
		}
	}
	e.openRequests = remaining
}

// randomEvents are the events from which step chooses; an event listed several times is more likely.
var randomEvents = []func(e *fleetSimulation){
	(*fleetSimulation).joinRunner, (*fleetSimulation).leaveRunner, (*fleetSimulation).grantCertificate, (*fleetSimulation).revokeCertificate, (*fleetSimulation).cutNode,
	(*fleetSimulation).killOrStartNode, (*fleetSimulation).addWeightsVersion, (*fleetSimulation).loadNewestWeights, (*fleetSimulation).loadNewestWeights, (*fleetSimulation).loadNewestWeights, (*fleetSimulation).retireWeights,
}

func (e *fleetSimulation) joinRunner() {
	id := fmt.Sprintf("r%d", e.rnd.IntN(1_000_000))
	e.runners[id] = messages.RunnerRecord{ID: id, Service: "s", Addr: id + ":1", Zone: "a", Capacity: 4, Seq: 1, Models: []messages.Target{{Model: "m", Version: 1}}}
	e.updateNodes()
}

func (e *fleetSimulation) leaveRunner() {
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
	e.updateNodes()
}

func (e *fleetSimulation) grantCertificate() {
	if id := e.anyRunner(); id != "" {
		e.certified[id] = true
		e.publish()
	}
}

func (e *fleetSimulation) revokeCertificate() {
	for id := range e.certified {
		delete(e.certified, id)
		break
	}
	e.publish()
}

// cutNode begins or ends the partition of a node.
func (e *fleetSimulation) cutNode() {
	n := e.nodes[e.rnd.IntN(len(e.nodes))]
	n.cut = !n.cut
	e.updateNodes()
}

// killOrStartNode crashes a node, which cuts its open requests, or starts it again.
func (e *fleetSimulation) killOrStartNode() {
	n := e.nodes[e.rnd.IntN(len(e.nodes))]
	if !n.up {
		n.cut = false
		n.start(e)
		return
	}
	n.up = false
	for _, g := range e.openRequests {
		if g.node == n {
			e.end(g, compliance.Cut)
		}
	}
}

// addWeightsVersion adds a new version of the weights, which one runner loads.
func (e *fleetSimulation) addWeightsVersion() {
	e.newestWeights++
	e.loadNewestWeights()
}

// retireWeights retires all weights but the newest.
func (e *fleetSimulation) retireWeights() {
	if e.newestWeights > e.retiredBelow {
		e.retiredBelow = e.newestWeights
		e.publish()
	}
}

// loadNewestWeights makes a runner load the newest weights. Nodes that are cut off learn of it late
// or never.
func (e *fleetSimulation) loadNewestWeights() {
	id := e.anyRunner()
	if id == "" {
		return
	}
	r := e.runners[id]
	r.Seq++
	r.Models = []messages.Target{{Model: "m", Version: e.newestWeights}}
	e.runners[id] = r
	e.updateNodes()
}

func (e *fleetSimulation) anyRunner() string {
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

func simulateFleet(t *testing.T, seed uint64) *fleetSimulation {
	e := &fleetSimulation{t: t, rnd: rand.New(rand.NewPCG(seed, 3)), nowUs: 1, newestWeights: 1, runners: map[string]messages.RunnerRecord{}, certified: map[string]bool{}, endCounts: map[string]int{}, sentRegulated: map[string]int{}}
	for i := range 6 {
		id := fmt.Sprintf("r%d", i)
		e.runners[id] = messages.RunnerRecord{ID: id, Service: "s", Addr: id + ":1", Zone: "a", Capacity: 4, Seq: 1, Models: []messages.Target{{Model: "m", Version: 1}}}
		if i < 2 {
			e.certified[id] = true
		}
	}
	e.version, e.configurations = 1, nil
	e.configurations = append(e.configurations, e.configuration())
	for i := range 4 {
		n := &simulatedNode{name: fmt.Sprint("n", i), trail: &compliance.Trail{}}
		n.start(e)
		e.nodes = append(e.nodes, n)
	}
	for range 900 {
		e.step()
	}
	for _, n := range e.nodes { // no more events: the open requests complete
		n.cut = false
	}
	e.rnd = rand.New(rand.NewPCG(seed, 4))
	for len(e.openRequests) > 0 {
		e.tick()
		e.endDue(func(string) bool { return true })
	}
	return e
}

func (e *fleetSimulation) trail() []compliance.Entry {
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

func TestRegulatedRequestsStayOnCertifiedRunnersUnderFaults(t *testing.T) {
	regulated, older := 0, 0
	for seed := range uint64(40) {
		simulation := simulateFleet(t, seed)
		must.Greater(t, 100, simulation.requestCount)
		for id := 1; id <= simulation.requestCount; id++ {
			must.Eq(t, 1, simulation.endCounts[fmt.Sprint(id)], must.Sprintf("seed %d: request %d ended %d times", seed, id, simulation.endCounts[fmt.Sprint(id)]))
		}
		list := simulation.trail()
		violations := compliance.CheckTrail(list, simulation.configurations)
		must.SliceEmpty(t, violations, must.Sprint(seed, violations))
		older += simulation.sentToOlderWeights
		for _, n := range simulation.sentRegulated {
			regulated += n
		}
		// a violation inserted into the trail must be detected
		for i := range list {
			if list[i].Step == compliance.Sent {
				list[i].Runner = "nobody"
				break
			}
		}
		must.SliceNotEmpty(t, compliance.CheckTrail(list, simulation.configurations), must.Sprint(seed))
	}
	must.Positive(t, older, must.Sprint("no request was sent to older weights"))
	must.Greater(t, 2000, regulated, must.Sprint("too few regulated requests for a meaningful result"))
}
