// Probes for the version that a router serves: requests to each router on the route that only
// one version has.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/loop"
)

const (
	probeTimeout    = 4 * time.Second
	probeEvery      = 250 * time.Millisecond
	convergeTimeout = 30 * time.Second // in calm; far above the bound, to allow for loaded machines
	steadyProbes    = 4                // sent after the version is served
)

type prober struct {
	cluster  *cluster
	recorder *recorder
	operator *operator
	client   http.Client
}

func newProber(c *cluster, r *recorder, o *operator) *prober {
	return &prober{cluster: c, recorder: r, operator: o, client: http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// watch probes one router for the newest version until ctx ends.
func (p *prober) watch(ctx context.Context, router int) {
	for ctx.Err() == nil {
		if version := p.operator.newestSent.Load(); version > 0 {
			p.probe(router, version)
		}
		loop.Pause(ctx, probeEvery)
	}
}

// probe sends one request on the route of a version and records the status.
func (p *prober) probe(router int, version int64) (status int) {
	node := p.cluster.routers[router]
	probe := Probe{Node: node.name(), Life: node.currentIncarnation(), Attempt: fmt.Sprintf("%016x", rand.Uint64()), Version: version, Sent: time.Now()}
	probe.Status = p.sendProbe(router, probe.Attempt, version)
	probe.Ended, probe.Newest = time.Now(), p.operator.newestSent.Load()
	if node.currentIncarnation() != probe.Life {
		probe.Status = 0 // the process restarted meanwhile: the answering incarnation is unknown
	}
	p.recorder.update(func(e *Evidence) { e.Probes = append(e.Probes, probe) })
	return probe.Status
}

func (p *prober) sendProbe(router int, attempt string, version int64) int {
	address := p.cluster.routerProxies[router].address()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+versionPrefix(version), strings.NewReader("probe"))
	if err != nil {
		return 0
	}
	request.Host = hostName
	request.Header.Set("Beechtide-Attempt-Id", attempt)
	request.Header.Set("Beechtide-Time-Left", "3000")
	request.Header.Set("Authorization", "Token "+tenantKey)
	response, err := p.client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// awaitConvergence waits until every router serves a version and no longer serves the one
// before it, then sends further probes.
func (p *prober) awaitConvergence(ctx context.Context, version, before int64) {
	var routers sync.WaitGroup
	for router := range p.cluster.routers {
		routers.Go(func() { p.awaitRouterConvergence(ctx, router, version, before) })
	}
	routers.Wait()
}

func (p *prober) awaitRouterConvergence(ctx context.Context, router int, version, before int64) {
	begin := time.Now()
	result := Convergence{Node: p.cluster.routers[router].name(), Version: version}
	for !result.Complete && time.Since(begin) < convergeTimeout && ctx.Err() == nil {
		result.Complete = p.probe(router, version) == http.StatusOK && p.probe(router, before) == http.StatusNotFound
		if !result.Complete {
			loop.Pause(ctx, pollEvery)
		}
	}
	result.Took = time.Since(begin)
	p.recorder.update(func(e *Evidence) { e.Convergences = append(e.Convergences, result) })
	for range steadyProbes {
		p.probe(router, version)
		loop.Pause(ctx, probeEvery)
	}
}
