package main

import (
	"context"
	"time"
)

// memoryCase: six zones with a counted machine and one without a disk each, all of which serve
// controller. Every process of the core is killed; adds are brought to the machines without a disk,
// which are then lost as well. The core is back within a second, with its disks.
func memoryCase(rec *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	f, err := newFleet(rec, 12)
	if err != nil {
		rec.add("start: %v", err)
		return cannotRun
	}
	defer f.close()
	f.bounds, f.tolerance = smallBounds(), map[string]any{"machines": 2, "zones": 1, "regions": 0}
	for name, value := range map[string]any{"mergeMs": 3000, "contactMs": 5000, "ackMs": 6000, "drainMs": 3000, "convergeMs": 3000, "stretchMs": 8000} {
		f.bounds[name] = value
	}
	var core, others []*machine
	for _, zone := range []string{"gent-a", "gent-b", "antw-c", "brugge-d", "leuven-e", "kortrijk-f"} {
		core = append(core, f.add(zone, true, true))
		others = append(others, f.add(zone, false, true))
	}
	if err := f.startAll(); err != nil {
		rec.add("start: %v", err)
		return cannotRun
	}
	if status, _ := f.replace(ctx, configuration(1), 0); status != 200 {
		return cannotRun
	}
	adds := newAdds(f)
	if !adds.await(others[0]) {
		return cannotRun
	}
	for _, m := range f.machines {
		adds.send(m, 5)
	}
	time.Sleep(5 * time.Second)
	var killed time.Time
	if trouble {
		killAll(core)
		killed = rec.add("every process of the core killed")
	}
	alone := 0
	for until := time.Now().Add(400 * time.Millisecond); time.Now().Before(until); {
		alone += adds.send(others[0], 1)
	}
	rec.add("adds acknowledged by %s in this time: %d", others[0].name, alone)
	if trouble {
		killAll(others)
		rec.add("the machines without a disk are lost")
		if !f.startThese(core) {
			return cannotRun
		}
		away := time.Since(killed)
		rec.add("the core started again, %.2f s after it was killed", away.Seconds())
		if away > coreAway {
			return cannotRun // the pages allow no longer
		}
		if !f.startThese(others) {
			return cannotRun
		}
		rec.add("the machines without a disk started again")
	}
	time.Sleep(18 * time.Second) // settlingS and mergeMs
	return adds.check(ctx)
}
