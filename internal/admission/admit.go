// Capacity at runners: a request is admitted, its first token comes, it is done.

package admission

import (
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/placement"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/statesync"
)

// Admission is a request's place at a runner; it is given back with Done.
type Admission struct {
	Runner   messages.RunnerRecord
	Salt     string
	Version  int64
	Kept     int
	Source   string // address of the runner or store to take kept parts from
	Sink     string // address of the store to send parts to once they are read
	atUs     int64
	blocks   int
	pins     []pin
	prefill  int
	ahead    int
	reading  bool
	tenant   string
	service  string
	model    string
	tokensIn int
	Keys     []uint64
	Parts    []prefixindex.Part
	coming   []uint64
}

type pin struct {
	key    uint64
	blocks int
}

func (a *Admitter) admit(request Request, p *pool, t *tenantState, nowUs int64) *Admission {
	a.free = true
	if float64(t.admitted) >= t.window {
		return nil
	}
	list, who := a.candidates(request, p, nowUs)
	prompt := placement.Prompt{Tokens: request.TokensIn, Out: request.TokensOut}
	if n := len(request.Parts); n > 1 {
		prompt.Shared = prefixindex.Key("", request.Model, request.Parts[n-2].ID)
	}
	i := placement.Match(prompt, list)
	if i < 0 {
		return nil
	}
	r, c := who[i], list[i]
	version := weightsVersion(r.note, request.Model)
	salt := a.Salt(request.Tenant, request.Isolated, request.Regime, version)
	adm := &Admission{Runner: r.note, Salt: salt, Version: version, Kept: c.Kept, Source: c.From, atUs: nowUs, tenant: request.Tenant, service: request.Service, model: request.Model, tokensIn: request.TokensIn, Parts: request.Parts, Keys: prefixindex.Keys(salt, request.Model, request.Parts), reading: true}
	bt := a.T.BlockTokens
	inParts := 0
	for j, k := range adm.Keys {
		n := (request.Parts[j].Tokens + bt - 1) / bt
		inParts += request.Parts[j].Tokens
		adm.pins = append(adm.pins, pin{k, n})
		if r.pins[k]++; r.pins[k] == 1 {
			r.own.blocks += n
		}
	}
	adm.blocks = (max(request.TokensIn-inParts, 0) + request.TokensOut + bt - 1) / bt
	r.own.blocks += adm.blocks
	if a.expect(adm, len(request.Parts)-1) && c.Moved < moveMin {
		adm.Sink = p.sink(request, adm.Keys)
	}
	adm.ahead = c.Prefill
	adm.prefill = max(request.TokensIn-c.Kept-c.Moved, 0)
	r.own.prefill += adm.prefill
	r.sent(adm.prefill, nowUs)
	r.own.count++
	r.recent = append(r.recent, recentShot{nowUs, adm.blocks + adm.prefill/bt})
	r.trim(nowUs)
	t.admitted++
	t.hit += float64(c.Kept + c.Moved)
	t.all += float64(request.TokensIn)
	return adm
}

// sink is the store for a prompt's shared parts: by the deepest of them, so that
// what hangs together lies in one, and all stores are used.
func (p *pool) sink(request Request, keys []uint64) string {
	best, top := "", uint64(0)
	for _, s := range p.stores {
		if v := statesync.Mix(keys[max(len(keys)-2, 0)] ^ statesync.HashText(s.ID, "")); p.lets(request, s.ID) && (best == "" || v > top) {
			best, top = s.Addr, v
		}
	}
	return best
}

// expect notes the shared parts that a runner is about to read, here and for
// the other nodes.
func (a *Admitter) expect(adm *Admission, shared int) bool {
	note := messages.KeptNote{ID: adm.Runner.ID, Parts: []messages.KeptPart{}}
	for i := range max(shared, 0) {
		k, n := adm.Keys[i], int32(adm.Parts[i].Tokens)
		if a.Index.Cached(note.ID, adm.Keys[i:i+1], adm.Parts[i:i+1]) < int(n) {
			a.Index.Expect(note.ID, k, n)
			adm.coming = append(adm.coming, k)
			note.Parts = append(note.Parts, messages.KeptPart{Key: k, Tokens: n})
		}
	}
	if len(note.Parts) > 0 {
		a.fresh = append(a.fresh, note)
	}
	return len(note.Parts) > 0
}

// HasFresh tells whether there is something that the other nodes should hear
// soon.
func (a *Admitter) HasFresh() bool { return len(a.fresh) > 0 }

// FirstToken notes that a runner has read a prompt, which also tells how fast
// it reads and what it keeps now.
func (a *Admitter) FirstToken(adm *Admission, nowUs int64) {
	r := a.pool(adm.service).runners[adm.Runner.ID]
	if r == nil || !adm.reading {
		return
	}
	adm.reading = false
	r.own.prefill -= adm.prefill
	if took := nowUs - adm.atUs; took > 0 && adm.prefill >= 512 && adm.ahead*4 <= adm.prefill {
		sample := float64(adm.prefill) / float64(took)
		if r.rate <= 0 {
			r.rate = sample
		} else {
			r.rate += (sample - r.rate) * 0.2
		}
	}
	for i, k := range adm.Keys {
		a.Index.Put(r.note.ID, k, int32(adm.Parts[i].Tokens))
	}
}

// Done gives the place back. ok tells whether the runner behaved; a runner
// whose links fail is passed over for a while.
func (a *Admitter) Done(adm *Admission, ok bool, nowUs int64) {
	p := a.pool(adm.service)
	r := p.runners[adm.Runner.ID]
	a.tenant(adm.tenant, nowUs).admitted--
	if r == nil {
		return
	}
	if adm.reading {
		adm.reading = false
		r.own.prefill -= adm.prefill
		for _, k := range adm.coming {
			a.Index.Forget(r.note.ID, k)
		}
	}
	for _, k := range adm.pins {
		if r.pins[k.key]--; r.pins[k.key] <= 0 {
			delete(r.pins, k.key)
			r.own.blocks -= k.blocks
		}
	}
	r.own.blocks -= adm.blocks
	r.own.count--
	if ok {
		r.pauseUs, r.avoidUntilUs = 0, 0
		return
	}
	r.pauseUs = min(max(2*r.pauseUs, a.T.UnsoundUs), a.T.UnsoundMaxUs)
	r.avoidUntilUs = nowUs + r.pauseUs
}

// Ended notes how a request that ran at a runner ended there.
func (a *Admitter) Ended(adm *Admission, good bool, nowUs int64) {
	p := a.pool(adm.service)
	if r := p.runners[adm.Runner.ID]; r != nil {
		r.health.note(good, nowUs)
		if !good {
			p.eject(nowUs)
		} else if !r.absence.out {
			r.absence.pauseUs = 0
		}
	}
}

// Full notes that a runner turned a request away: for a short while it counts
// as having no place.
func (a *Admitter) Full(adm *Admission, nowUs int64) {
	if r := a.pool(adm.service).runners[adm.Runner.ID]; r != nil {
		r.avoidUntilUs = max(r.avoidUntilUs, nowUs+turnedAwayUs)
	}
}

// TakeFresh gives the parts that this node has sent to be read since the last
// call.
func (a *Admitter) TakeFresh() []messages.KeptNote {
	out := a.fresh
	a.fresh = nil
	return out
}
