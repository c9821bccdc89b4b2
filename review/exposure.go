package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds and doses of the case: those of the site file that claim.txt names.
const (
	exposure      = 0.1
	exposureSlack = 50
	rollbackMs    = 5000
	overS         = 12
	badShare      = 0.3 // of the answers of the bad version fail
	drainedAfter  = 7 * time.Second
)

// rollouts counts what reaches the runners of each version.
type rollouts struct {
	f        *fleet
	mu       sync.Mutex
	arrivals map[string][]arrival // by version
	failed   map[string][]time.Time
	runners  map[string][]*runner
	sent     map[string]sending
}

// startVersion starts runners of a version, some of whose answers fail.
func (r *rollouts) startVersion(version string, failing float64) bool {
	for i, m := range r.f.machines {
		if i%3 == 2 {
			continue
		}
		one, err := r.f.newRunner(service, m.zone, m.ip, model)
		if err != nil {
			return false
		}
		one.software = version
		one.onArrival = func(a arrival) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.arrivals[version] = append(r.arrivals[version], a)
		}
		one.fails = func() bool {
			bad := rand.Float64() < failing
			if bad {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.failed[version] = append(r.failed[version], time.Now())
			}
			return bad
		}
		one.run()
		r.runners[version] = append(r.runners[version], one)
	}
	return true
}

// order orders a rollout.
func (r *rollouts) order(ctx context.Context, version string) (time.Time, bool) {
	body, _ := json.Marshal(map[string]any{"service": service, "targetVersion": version, "overS": overS})
	at := time.Now()
	status, _, addr := r.f.call(ctx, "POST", "/api/Rollouts.Begin", nil, body)
	r.f.rec.add("rollout of %s to %s ordered: %d from %s", service, version, status, addr)
	return at, status == 200
}

// state reads the state of the newest rollout.
func (r *rollouts) state(ctx context.Context) string {
	status, raw, _ := r.f.call(ctx, "GET", "/api/Rollouts.Read/"+service, nil, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status != 200 || json.Unmarshal(raw, &answer) != nil {
		return ""
	}
	return answer.State
}

// exposureCase: a new version of a service is bad and is reverted. The operator orders the next
// version at once, while the runners of the bad one still run; they are drained some seconds after
// the reversion.
func exposureCase(rec *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	f, err := startFleet(rec, map[string]any{
		"exposure": exposure, "exposureSlack": exposureSlack, "rollbackMs": rollbackMs, "contactMs": 5000, "ackMs": 6000, "drainMs": 3000, "convergeMs": 3000, "stretchMs": 8000,
	})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		rec.add("start: %v", err)
		return cannotRun
	}
	if status, _ := f.replace(ctx, configuration(1), 0); status != 200 {
		return cannotRun
	}
	r := &rollouts{f: f, arrivals: map[string][]arrival{}, failed: map[string][]time.Time{}, runners: map[string][]*runner{}, sent: map[string]sending{}}
	defer func() {
		for _, list := range r.runners {
			for _, one := range list {
				one.end()
			}
		}
	}()
	if !r.startVersion("v1", 0) || !f.awaitReady(ctx) {
		return cannotRun
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	for _, m := range f.machines {
		for range 3 {
			load.Go(func() {
				for loadCtx.Err() == nil {
					id := newID()
					at := time.Now()
					r.mu.Lock()
					r.sent[id] = sending{m: m, at: at}
					r.mu.Unlock()
					status, _ := ask(f.front(m), routeHost, routePath+"x", id, tenantKey, 3*time.Second, nil, "hello")
					rec.add("request %s sent to %s at %.3f: %d", id, m.name, rec.at(at), status)
					time.Sleep(70 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(8 * time.Second) // all machines are in touch

	if !r.startVersion("v2", badShare) {
		return cannotRun
	}
	ordered, ok := r.order(ctx, "v2")
	if !ok {
		return cannotRun
	}
	term := ordered.Add(overS * time.Second)
	state := ""
	for state != "reverted" && state != "settled" && time.Now().Before(term) {
		time.Sleep(100 * time.Millisecond)
		state = r.state(ctx)
	}
	reverted := rec.add("rollout to v2: %s", state)
	if trouble {
		if !r.startVersion("v3", 0) {
			return cannotRun
		}
		if _, ok := r.order(ctx, "v3"); !ok {
			return cannotRun
		}
	}
	time.Sleep(time.Until(reverted.Add(drainedAfter)))
	for _, one := range r.runners["v2"] {
		load.Go(func() { one.drain(3 * time.Second) })
	}
	rec.add("the runners of v2 drain")
	time.Sleep(time.Until(term.Add(500 * time.Millisecond)))
	if trouble {
		time.Sleep(4 * time.Second)
		rec.add("rollout to v3: %s", r.state(ctx))
	}
	stopLoad()
	load.Wait()
	return r.judge(ordered, term)
}

// judge applies the rule to the version v2.
func (r *rollouts) judge(ordered, term time.Time) int {
	rec := r.f.rec
	r.mu.Lock()
	defer r.mu.Unlock()
	all, bad := 0, 0
	for version, list := range r.arrivals {
		for _, a := range list {
			if version == "v2" {
				rec.add("runner %s of v2 got request %s at %.3f", a.runner, a.id, rec.at(a.at))
			}
			if a.at.Before(ordered) || a.at.After(term) {
				continue
			}
			all++
			if version == "v2" {
				bad++
			}
		}
	}
	limit := exposure*float64(all) + exposureSlack
	late := 0
	if failed := r.failed["v2"]; len(failed) >= 50 {
		from := failed[49].Add(rollbackMs * time.Millisecond)
		for _, a := range r.arrivals["v2"] {
			if s := r.sent[a.id]; s.at.After(from) {
				late++
			}
		}
		rec.add("the 50th bad answer of v2 was at %.3f; requests sent later than rollbackMs after it that v2 got: %d", rec.at(failed[49]), late)
	}
	rec.add("between the order (%.3f) and its term (%.3f): %d requests at the service, %d at v2, %.0f allowed; %d bad answers of v2", rec.at(ordered), rec.at(term), all, bad, limit, len(r.failed["v2"]))
	if float64(bad) > limit || late > 0 {
		return broken
	}
	return held
}
