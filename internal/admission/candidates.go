// Candidates: the runners that may get a request now, and from which other runner or
// store each could transfer cached blocks of its prompt.

package admission

import (
	"slices"

	"beechtide.org/beechtide/internal/placement"
	"beechtide.org/beechtide/internal/prefixindex"
)

// Candidates lists the runners that a request may go to now.
func (a *Admitter) Candidates(request Request, nowUs int64) []placement.Candidate {
	list, _ := a.candidates(request, a.pool(request.Service), nowUs)
	return slices.Clone(list)
}

// candidates gives the runners that a request may go to; the result holds until
// the next call.
func (a *Admitter) candidates(request Request, p *pool, nowUs int64) ([]placement.Candidate, []*runner) {
	out, who := a.list[:0], a.who[:0]
	defer func() { a.list, a.who = out, who }()
	a.free = false
	share := a.linkShare(p)
	a.forgetOthers(nowUs)
	told := a.told(nowUs)
	keysOf := a.keysOf(request)
	near, leaving := a.Zone, false
	if len(a.left) > 0 {
		if home := a.home(request, p); home != "" {
			leaving = true // there is where to go
			if a.Leaves(request, a.Zone, nowUs) {
				near = home
			}
		}
	}
	need := (request.TokensIn + request.TokensOut + a.T.BlockTokens - 1) / a.T.BlockTokens
	for pass := range 3 {
		for _, id := range p.order {
			r := p.runners[id]
			if r.absence.out || r.note.Draining || r.barred(nowUs) || !p.lets(request, id) || avoided(request.Avoid, id) || pass != a.preference(request, r, nowUs) {
				continue
			}
			if !a.weightsAllowed(request.Model, r, nowUs) || leaving && a.Leaves(request, r.note.Zone, nowUs) {
				continue
			}
			use := r.settle(&a.T, nowUs, a.nodes, told)
			active := r.active(&a.T, nowUs)
			if r.busyKV || r.busyRead || r.capacity > 0 && active >= r.capacity || share > 0 && r.own.count >= share {
				continue
			}
			kept := a.Index.Expected(id, keysOf(weightsVersion(r.note, request.Model)), request.Parts)
			a.free = true
			if r.blocks > 0 && active > 0 {
				if after := use + float64(need-kept/a.T.BlockTokens)/float64(r.blocks); after > 0.98 {
					continue
				}
			}
			out = append(out, placement.Candidate{ID: id, NearSite: r.note.Zone == near, Kept: kept, Prefill: r.prefill(), Active: active, Capacity: r.capacity, Used: use, Rate: r.readRate(&a.T), Reading: r.reading(&a.T, nowUs), DoubtUs: r.health.doubtUs(nowUs)})
			who = append(who, r)
		}
		if len(out) > 0 {
			break
		}
	}
	if p.moveUs > 0 && len(request.Parts) > 0 {
		a.findMoves(request, p, out, who, keysOf, nowUs)
	}
	return out, who
}

// keysOf gives the keys of a request's parts under each version, each worked out
// once.
func (a *Admitter) keysOf(request Request) func(version int64) []uint64 {
	var versions []int64
	var keys [][]uint64
	return func(version int64) []uint64 {
		for i, m := range versions {
			if m == version {
				return keys[i]
			}
		}
		versions = append(versions, version)
		keys = append(keys, prefixindex.Keys(a.Salt(request.Tenant, request.Isolated, request.Regime, version), request.Model, request.Parts))
		return keys[len(keys)-1]
	}
}

// Costs of a move of kept parts: its start, and how much longer it takes
// between zones. Fewer tokens than moveMin are not worth one.
const (
	moveStartUs = 3_000
	moveFar     = 2
	moveMin     = 48
)

// holder is a runner or store that keeps some of a prompt.
type holder struct {
	addr    string
	zone    string
	version int64
	kept    int
	moveUs  float64
	equals  int
}

// findMoves finds for every candidate the runner with the same weights that
// keeps more of the prompt and from where it comes soonest.
func (a *Admitter) findMoves(request Request, p *pool, out []placement.Candidate, who []*runner, keysOf func(version int64) []uint64, nowUs int64) {
	shared := 0
	for _, part := range request.Parts[:len(request.Parts)-1] {
		shared += part.Tokens
	}
	known := map[int64]int{}
	var holders []holder
	// of several with the same weights, zone and speed the one with most is
	// enough; among equals they take turns
	add := func(h holder) {
		if h.kept < moveMin {
			return
		}
		for i := range holders {
			o := &holders[i]
			if o.version != h.version || o.zone != h.zone || o.moveUs != h.moveUs {
				continue
			}
			switch {
			case h.kept > o.kept:
				*o = h
			case h.kept == o.kept:
				o.equals++
				if a.turn++; a.turn%(o.equals+1) == 0 {
					h.equals = o.equals
					*o = h
				}
			}
			return
		}
		holders = append(holders, h)
	}
	for _, id := range p.order {
		r := p.runners[id]
		if r.absence.out || r.note.Stale || r.avoidUntilUs > nowUs || !p.lets(request, id) {
			continue
		}
		version := weightsVersion(r.note, request.Model)
		kept, expected := a.Index.CachedAndExpected(id, keysOf(version), request.Parts)
		add(holder{addr: r.note.Addr, zone: r.note.Zone, version: version, kept: kept, moveUs: p.moveUs})
		known[version] = max(known[version], min(shared, expected))
	}
	for _, s := range p.stores {
		if !p.lets(request, s.ID) {
			continue
		}
		for version := range known {
			if kept := a.Index.Cached(s.ID, keysOf(version), request.Parts); kept >= moveMin {
				add(holder{addr: s.Addr, zone: s.Zone, version: version, kept: kept, moveUs: s.MoveUs})
				known[version] = max(known[version], min(shared, kept))
			}
		}
	}
	for i := range out {
		c := &out[i]
		version := weightsVersion(who[i].note, request.Model)
		best := 0.0
		for _, h := range holders {
			more := h.kept - c.Kept
			if h.addr == who[i].note.Addr || h.version != version || more < moveMin {
				continue
			}
			us := moveStartUs + float64(more)*h.moveUs
			if h.zone != who[i].note.Zone {
				us *= moveFar
			}
			if gain := float64(more)*(1/c.Rate+placement.AgainUs) - us; gain > best {
				best = gain
				c.Moved, c.MoveUs, c.From = more, us, h.addr
			}
		}
		c.Again = max(known[version]-c.Kept-c.Moved, 0)
	}
}

// preference sorts runners into three: those to be used, those that are about
// to get an order and should not begin a long request, and those that are
// silent or whose links fail.
func (a *Admitter) preference(request Request, r *runner, nowUs int64) int {
	switch {
	case r.note.Stale || r.avoidUntilUs > nowUs || r.health.out(nowUs):
		return 2
	case r.note.Easing && request.TokensOut > a.T.LongOut:
		return 1
	}
	return 0
}

func avoided(list []string, id string) bool {
	for _, a := range list {
		if a == id {
			return true
		}
	}
	return false
}
