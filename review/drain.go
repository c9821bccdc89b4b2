package main

import (
	"context"
	"sync"
	"time"
)

// Bounds of the deployment, as in the site file that claim.txt names.
const (
	contactMs = 4000
	drainMs   = 2500
)

func smallBounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": contactMs, "ackMs": 5000, "catchUpS": 6, "drainMs": drainMs, "graceS": 8, "lossSlackMs": 200,
		"convergeMs": 2500, "revertSlackMs": 250, "stretchMs": 6000, "revokeGlobal": false, "revokeMs": 5000, "retryRatio": 0.2,
		"retryWindowS": 10, "retrySlack": 166, "settlingS": 15, "transitMs": 200, "retryAfterS": 0, "fenced": true, "leaseMs": 3000,
		"thawSlackMs": 300, "versionMs": 10000, "fleetConvergeMs": 0,
	}
}

const (
	routeHost = "ficu95.example"
	routePath = "/pufi791/"
	tenantKey = "3d3zji9n73hh2b9wu3fe"
	otherKey  = "xd9dnn2ctnfzs989anu6"
	service   = "huvo11a"
	model     = "daka510000"
)

// configuration returns a configuration with one idempotent route and two tenants.
func configuration(version int) map[string]any { return configurationOf(version, "idempotent") }

func configurationOf(version int, kind string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-da9rgy3", "host": routeHost, "prefix": routePath, "kind": kind, "cutoffMs": 5000, "setpointMs": 800, "rank": 0,
			"service": service, "tries": 2, "unkeyed": false, "pinned": true, "resumable": false,
		}},
		"services": []any{map[string]any{
			"name": service, "probe": "/health", "connLimit": 600, "protocol": "h1", "tls": false,
			"engine": map[string]any{"capacity": 48, "cacheTokens": 100000, "tokenBytes": 327680, "linkMbps": 1100000.0, "stride": 4, "concurrency": 12, "models": []any{map[string]any{"name": model}}},
		}},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
		"tenants": []any{map[string]any{"name": "nowu640", "apiKeys": []string{tenantKey}, "rank": 1, "isolated": false}, map[string]any{"name": "huka270", "apiKeys": []string{otherKey}, "rank": 1, "isolated": false}},
	}
}

// startFleet starts three zones with two counted machines each, which form the core, and one edge
// machine without a disk each.
func startFleet(rec *record, bounds map[string]any) (*fleet, error) {
	f, err := newFleet(rec, 9)
	if err != nil {
		return nil, err
	}
	f.bounds, f.tolerance = smallBounds(), map[string]any{"machines": 2, "zones": 0, "regions": 0}
	for name, value := range bounds {
		f.bounds[name] = value
	}
	for _, zone := range []string{"gent-a", "gent-b", "antw-c"} {
		f.add(zone, true, true)
		f.add(zone, true, true)
		f.add(zone, false, false)
	}
	return f, f.startAll()
}

// drainCase: a runner that never says draining sends its leave call first, which is acknowledged,
// and serves on for some seconds. Right after the acknowledgement every process of the core is
// killed; all are back within a second, with their disks.
func drainCase(rec *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	f, err := startFleet(rec, nil)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		rec.add("start: %v", err)
		return cannotRun
	}
	if status, _ := f.replace(ctx, configurationOf(1, "effectful"), 0); status != 200 {
		return cannotRun
	}
	var mu sync.Mutex
	arrivals := map[string][]arrival{}
	var runners []*runner
	for i, m := range f.machines {
		if i%3 == 2 {
			continue
		}
		r, err := f.newRunner(service, m.zone, m.ip, model)
		if err != nil {
			rec.add("runner: %v", err)
			return cannotRun
		}
		r.onArrival = func(a arrival) {
			mu.Lock()
			arrivals[a.runner] = append(arrivals[a.runner], a)
			mu.Unlock()
		}
		r.work = 200 * time.Millisecond
		r.run()
		defer r.end()
		runners = append(runners, r)
	}
	if !f.awaitReady(ctx) {
		rec.add("not ready")
		return cannotRun
	}
	rec.add("all machines are ready")

	sent := map[string]sending{}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	for _, m := range f.machines {
		for range clientsPerMachine {
			load.Go(func() {
				for loadCtx.Err() == nil {
					id := newID()
					s := sending{m: m, at: time.Now()}
					mu.Lock()
					sent[id] = s
					mu.Unlock()
					s.status, _ = ask(f.front(m), routeHost, routePath+"x", id, tenantKey, 3*time.Second, nil, "hello")
					rec.add("request %s sent to %s at %.3f: %d", id, m.name, rec.at(s.at), s.status)
					mu.Lock()
					sent[id] = s
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(10 * time.Second) // all machines are in touch, and the copies of the registry are on disk

	leaving := runners[0]
	acked, by := leaving.leave(20)
	if acked.IsZero() {
		rec.add("the leave call was not acknowledged")
		return cannotRun
	}
	rec.add("leave of runner %s acknowledged by %s; the runner serves on", leaving.id, by)
	inTouchFrom := acked
	if trouble {
		time.Sleep(100 * time.Millisecond)
		var kills sync.WaitGroup
		for _, m := range f.machines {
			if m.disk {
				for _, p := range m.procs {
					kills.Go(p.kill)
				}
			}
		}
		kills.Wait()
		killed := rec.add("every process of the core killed")
		time.Sleep(600 * time.Millisecond)
		for _, m := range f.machines {
			if m.disk {
				for _, p := range m.procs {
					if err := f.start(p); err != nil {
						rec.add("start: %v", err)
						return cannotRun
					}
				}
			}
		}
		back := rec.add("every process of the core started again")
		if back.Sub(killed) > coreAway {
			return cannotRun // the pages allow no longer
		}
		inTouchFrom = back.Add(contactMs * time.Millisecond)
	}
	time.Sleep(time.Until(acked.Add(servesOn)))
	leaving.end()
	rec.add("runner %s ends", leaving.id)
	time.Sleep(time.Second)
	stopLoad()
	load.Wait()

	mu.Lock()
	defer mu.Unlock()
	late, lost := 0, 0
	for _, a := range arrivals[leaving.id] {
		s := sent[a.id]
		rec.add("runner %s: request %s arrived at %.3f, sent to %s at %.3f: %d", leaving.id, a.id, rec.at(a.at), s.m.name, rec.at(s.at), s.status)
		if s.at.After(inTouchFrom) && a.at.After(acked.Add(drainMs*time.Millisecond)) {
			late++
			if s.status != 200 {
				lost++
			}
		}
	}
	rec.add("machines are in touch from %.3f; the acknowledgement binds from %.3f", rec.at(inTouchFrom), rec.at(acked.Add(drainMs*time.Millisecond)))
	rec.add("requests that machines in touch sent on to the runner after that: %d; %d of them got no success, since the runner ended", late, lost)
	if late > 0 {
		return broken
	}
	return held
}

// sending is a request that a client sent.
type sending struct {
	m      *machine
	at     time.Time
	status int
}

const (
	clientsPerMachine = 6
	servesOn          = 5800 * time.Millisecond // after the acknowledgement
)
