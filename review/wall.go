package main

import (
	"context"
	"sync"
	"time"
)

// wallCase: a tenant becomes isolated by a change of the configuration. Another tenant then sends a
// prompt with a part that the first one's request made before.
func wallCase(rec *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	f, err := startFleet(rec, nil)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return cannotRun
	}
	if status, _ := f.replace(ctx, configuration(1), 0); status != 200 {
		return cannotRun
	}
	var mu sync.Mutex
	foreign := 0
	changed := false
	for i, m := range f.machines {
		if i%3 != 0 {
			continue
		}
		r, err := f.newRunner(service, m.zone, m.ip, model)
		if err != nil {
			return cannotRun
		}
		r.onKept = func(runner, tenant, maker, salt, part, attempt string) {
			rec.add("runner %s: request %s of %s uses part %s, made by %s under %q", runner, attempt, tenant, part, maker, salt)
			mu.Lock()
			defer mu.Unlock()
			if changed && tenant != maker && (tenant == "nowu640" || maker == "nowu640") {
				foreign++
			}
		}
		r.run()
		defer r.end()
	}
	if !f.awaitReady(ctx) {
		return cannotRun
	}
	time.Sleep(6 * time.Second)
	send := func(key, own string) {
		for _, m := range f.machines {
			id := newID()
			status, _ := ask(f.front(m), routeHost, routePath+"x", id, key, 3*time.Second, map[string]string{
				"Beechtide-Model": model, "Beechtide-Token-Count": "1460,8", "Beechtide-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + own + ":250",
			}, "hello")
			rec.add("request %s with key %s at %s: %d", id, key, m.name, status)
		}
	}
	send(tenantKey, "e4402b7d")
	next := configuration(2)
	if trouble {
		next["tenants"].([]any)[0].(map[string]any)["isolated"] = true
	}
	if status, _ := f.replace(ctx, next, 1); status != 200 {
		return cannotRun
	}
	time.Sleep(3 * time.Second) // longer than convergeMs
	mu.Lock()
	changed = trouble
	mu.Unlock()
	send(otherKey, "77aa77aa")
	mu.Lock()
	defer mu.Unlock()
	rec.add("uses of memory across the wall: %d", foreign)
	if foreign > 0 {
		return broken
	}
	return held
}
