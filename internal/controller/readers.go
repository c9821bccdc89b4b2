// Readers follow the cache events and reports of runners: one controller reads one
// runner, chosen by rendezvous hashing among the live controllers of the runner's
// zone, and sends the others what it has read. Cached blocks come as events; the full
// list is fetched only after a gap, since it delays the runner.

package controller

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"strconv"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
)

// Pauses of a reader.
const (
	eventsEvery  = 300 * time.Millisecond
	reportsEvery = time.Second
	callWait     = 2 * time.Second
)

// learnUs is how long a controller that has just started leaves the runners to the
// others: it goes on from what they have read, without lists.
const learnUs = 2_000_000

func (d *Controller) wantReaders(ctx context.Context) {
	t := d.table.Load()
	if t == nil {
		return
	}
	alive := membership.Core(d.monitor.Alive(messages.Controller))
	if d.clock()-d.startUs < learnUs && len(alive) > 1 {
		return
	}
	want := map[string]messages.RunnerRecord{}
	for _, n := range d.registry.Snapshot().ByID {
		s := t.Service(n.Service)
		if s == nil || s.Engine.CacheTokens == 0 || n.Stale {
			continue
		}
		if readerOf(n, alive) == d.transport.Addr() {
			want[n.ID] = n
		}
	}
	for _, box := range t.Stores {
		n := messages.RunnerRecord{ID: box.CacheStore, Addr: box.CacheStore, Zone: box.Zone}
		if readerOf(n, alive) == d.transport.Addr() {
			want[n.ID] = n
		}
	}
	d.kmu.Lock()
	defer d.kmu.Unlock()
	for id, cancel := range d.readers {
		if _, ok := want[id]; !ok {
			cancel()
			delete(d.readers, id)
			delete(d.heardUs, id)
		}
	}
	for id, n := range want {
		if d.readers[id] == nil {
			cctx, cancel := context.WithCancel(ctx)
			d.readers[id] = cancel
			d.heardUs[id] = d.clock()
			go d.readKept(cctx, n)
			if n.Service != "" {
				go d.readReports(cctx, n)
			}
		}
	}
}

func readerOf(n messages.RunnerRecord, alive []messages.Peer) string {
	best, top := "", uint64(0)
	for pass := range 2 {
		for _, p := range alive {
			if p.Status != messages.Alive || pass == 0 && p.Zone != n.Zone {
				continue
			}
			h := fnv.New64a()
			_, _ = h.Write([]byte(p.Addr + " " + n.ID))
			if v := h.Sum64(); best == "" || v > top {
				best, top = p.Addr, v
			}
		}
		if best != "" {
			break
		}
	}
	return best
}

// readKept follows a runner's events from where the shelf stands, whoever read
// it so far.
func (d *Controller) readKept(ctx context.Context, n messages.RunnerRecord) {
	for ctx.Err() == nil {
		d.kmu.Lock()
		shelf := d.kept.CachedPrefixes(n.ID)
		since, epoch := shelf.Version, shelf.Epoch
		d.kmu.Unlock()
		cctx, cancel := context.WithTimeout(ctx, callWait)
		status, body, err := d.connPool.Ask(cctx, n.Addr, "GET", "/api/kv-events?since="+strconv.FormatInt(since, 10), aimed(n, map[string]string{"Wait-Ms": "1000"}), nil)
		cancel()
		var ev api.PrefixEvents
		if err != nil || status != 200 || json.Unmarshal(body, &ev) != nil {
			loop.Pause(ctx, eventsEvery)
			continue
		}
		d.heard(n.ID)
		if ev.Lost || epoch != 0 && ev.Epoch != epoch {
			d.readList(ctx, n)
		} else if ev.NextPage > since || epoch == 0 {
			d.shelve(n.ID, func(s *prefixindex.CachedPrefixes) messages.KeptChange {
				if epoch == 0 {
					s.Begin(ev.Epoch, since)
				}
				for _, e := range ev.Events {
					if len(e) >= 6 {
						put(s, prefixindex.Key(text(e[2]), text(e[5]), text(e[3])), int32(number(e[4])))
					}
				}
				c := s.Commit(ev.NextPage)
				if epoch == 0 {
					c, _ = s.DeltaSince(0, 0)
				}
				return prefixindex.Encode(n.ID, c)
			})
		}
		loop.Pause(ctx, eventsEvery)
	}
}

func put(s *prefixindex.CachedPrefixes, key uint64, tokens int32) {
	if tokens <= 0 {
		s.Drop(key)
		return
	}
	s.Put(key, tokens)
}

// readList fetches the list after a gap, which the other nodes get as a whole.
func (d *Controller) readList(ctx context.Context, n messages.RunnerRecord) {
	cctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	status, body, err := d.connPool.Ask(cctx, n.Addr, "GET", "/api/kv-list", aimed(n, map[string]string{}), nil)
	var list api.PrefixList
	if err != nil || status != 200 || json.Unmarshal(body, &list) != nil {
		return
	}
	d.shelve(n.ID, func(s *prefixindex.CachedPrefixes) messages.KeptChange {
		if s.Epoch != list.Epoch {
			s.Begin(list.Epoch, 0)
		}
		all := map[uint64]int32{}
		for _, h := range list.Held {
			if len(h) >= 4 {
				if t := int32(number(h[2])); t > 0 {
					all[prefixindex.Key(text(h[0]), text(h[3]), text(h[1]))] = t
				}
			}
		}
		s.Replace(all)
		s.Commit(list.NextPage)
		c, _ := s.DeltaSince(0, 0)
		return prefixindex.Encode(n.ID, c)
	})
}

func (d *Controller) readReports(ctx context.Context, n messages.RunnerRecord) {
	for ctx.Err() == nil {
		if r, ok := d.report(ctx, n); ok {
			d.tellReport(messages.ReportNote{ID: n.ID, Used: r.CacheUsed, Total: r.CacheTotal, Active: r.Active, Queued: r.Queued})
		}
		loop.Pause(ctx, reportsEvery)
	}
}

func (d *Controller) report(ctx context.Context, n messages.RunnerRecord) (api.Report, bool) {
	cctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	status, body, err := d.connPool.Ask(cctx, n.Addr, "GET", "/api/report", aimed(n, map[string]string{}), nil)
	var r api.Report
	return r, err == nil && status == 200 && json.Unmarshal(body, &r) == nil
}

// aimed adds for whom a call is meant; a store has no id.
func aimed(n messages.RunnerRecord, h map[string]string) map[string]string {
	if n.Service != "" {
		h["Beechtide-Target-Instance"] = n.ID
	}
	return h
}

func text(v any) string {
	s, _ := v.(string)
	return s
}

func number(v any) float64 {
	f, _ := v.(float64)
	return f
}
