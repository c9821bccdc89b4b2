package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const tallyName = "t3"

// Limits of the pages: how long the processes of the core may be away, and a zone without power.
const (
	coreAway = time.Second
	zoneDark = 5500 * time.Millisecond
)

// amend sends one add to a control address and returns the status, 0 for no answer in a second.
func (f *fleet) amend(m *machine, id string) int {
	body, _ := json.Marshal(map[string]any{"id": id, "actor": 1})
	response, err := control.Post("http://"+f.control(m)+"/api/Tallies.Amend/"+tallyName, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode
}

// readTally reads the tally at one machine, again and again until it answers 200.
func (f *fleet) readTally(ctx context.Context, m *machine) (int, bool) {
	for ctx.Err() == nil {
		response, err := control.Get("http://" + f.control(m) + "/api/Tallies.Read/" + tallyName)
		if err == nil {
			var answer struct {
				Total int `json:"total"`
			}
			err = json.NewDecoder(response.Body).Decode(&answer)
			response.Body.Close()
			if response.StatusCode == 200 && err == nil {
				return answer.Total, true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, false
}

// adds are the adds that an application has brought to the tally.
type adds struct {
	f     *fleet
	acked map[string]bool
	may   int // how many may count
}

func newAdds(f *fleet) *adds { return &adds{f: f, acked: map[string]bool{}} }

// send brings new adds to a machine and returns how many it has acknowledged.
func (a *adds) send(m *machine, count int) (acked int) {
	for range count {
		id := newID()
		status := a.f.amend(m, id)
		a.f.rec.add("add %s at %s: %d", id, m.name, status)
		if status == 200 {
			a.acked[id] = true
			acked++
		}
		if status != 503 && status != 429 {
			a.may++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return acked
}

// await waits until a machine acknowledges adds.
func (a *adds) await(m *machine) bool {
	for range 40 {
		if a.send(m, 1) == 1 {
			return true
		}
		time.Sleep(250 * time.Millisecond)
	}
	a.f.rec.add("no add was acknowledged before the disruption")
	return false
}

// check reads the tally at every machine and compares it with the adds.
func (a *adds) check(ctx context.Context) int {
	result := held
	for _, m := range a.f.machines {
		total, ok := a.f.readTally(ctx, m)
		a.f.rec.add("tally at %s: %d (answered: %v); adds acknowledged: %d, adds that may count: %d", m.name, total, ok, len(a.acked), a.may)
		if !ok || total < len(a.acked) || total > a.may {
			result = broken
		}
	}
	return result
}

// killAll kills the processes of machines at once.
func killAll(machines []*machine) {
	var kills sync.WaitGroup
	for _, m := range machines {
		for _, p := range m.procs {
			kills.Go(p.kill)
		}
	}
	kills.Wait()
}

// tallyCase: three machines with a disk, each in a zone of its own. Two of them lose power. An
// application adds to a tally at the third one, which acknowledges some adds. Then that machine
// loses power and its disk, and all three start again.
func tallyCase(rec *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	f, err := newFleet(rec, 3)
	if err != nil {
		rec.add("start: %v", err)
		return cannotRun
	}
	defer f.close()
	f.bounds, f.tolerance = smallBounds(), map[string]any{"machines": 1, "zones": 1, "regions": 0}
	f.bounds["mergeMs"] = 3000
	a, b, c := f.add("gent-a", true, true), f.add("gent-b", true, true), f.add("antw-c", true, true)
	if err := f.startAll(); err != nil {
		rec.add("start: %v", err)
		return cannotRun
	}
	if status, _ := f.replace(ctx, configuration(1), 0); status != 200 {
		return cannotRun
	}
	adds := newAdds(f)
	if !adds.await(a) {
		return cannotRun
	}
	for _, m := range f.machines {
		adds.send(m, 5)
	}
	time.Sleep(5 * time.Second)
	var dark time.Time
	if trouble {
		dark = time.Now()
		killAll([]*machine{b, c})
		rec.add("%s and %s lost power", b.name, c.name)
	}
	alone := 0
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); {
		alone += adds.send(a, 1)
	}
	rec.add("adds acknowledged by %s in this time: %d", a.name, alone)
	if trouble {
		killAll([]*machine{a})
		if err := os.RemoveAll(filepath.Join(f.dir, "data", a.name)); err != nil {
			rec.add("disk: %v", err)
			return cannotRun
		}
		rec.add("%s lost power and its disk", a.name)
		time.Sleep(500 * time.Millisecond)
		for _, m := range f.machines {
			for _, p := range m.procs {
				if err := f.start(p); err != nil {
					rec.add("start: %v", err)
					return cannotRun
				}
			}
			rec.add("%s has power again", m.name)
		}
		if time.Since(dark) > zoneDark {
			rec.add("the zones were dark for too long")
			return cannotRun
		}
	}
	time.Sleep(18 * time.Second) // settlingS and mergeMs
	return adds.check(ctx)
}
