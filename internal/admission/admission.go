// Doorman holds all of admission's state of one node. Checks run cheapest
// first; load is counted in blocks of runner memory, output blocks included,
// and in prompt tokens waiting to be read; a runner past a threshold gets no
// new request; what cannot go now waits within caps and a time to live, or is
// denied at once with a time to come back.
package admission

import (
	"math"
	"slices"
	"sort"

	"beechtide.org/beechtide/internal/inflight"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/placement"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/statesync"
)

// Ask is a request at the door.
type Ask struct {
	Ref        inflight.Ref
	Service    string
	Tenant     string
	Rank       int // band: the tenant's rank goes before the route's
	TokensIn   int
	TokensOut  int
	Model      string
	Parts      []prefixindex.Part
	Isolated   bool
	Regime     string // only runners certified for it are candidates
	SetpointUs int64
	LeftUs     int64
	Avoid      []string // runners tried before
}

// Reason says which check denied a request.
type Reason string

// Reasons of a denial.
const (
	DenyRate    Reason = "tenant-rate"
	DenyContext Reason = "context"
	DenyPending Reason = "pending-requests"
	DenyTokens  Reason = "pending-tokens"
	DenyShed    Reason = "shed"
	DenyTTL     Reason = "ttl"
)

// Ruling is what the admission control says of one request.
type Ruling struct {
	Ref     inflight.Ref
	Admit   *Admission
	Hold    bool
	Deny    Reason
	Status  int
	AgainUs int64
}

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
	tokensIn int
	Keys     []uint64
	Parts    []prefixindex.Part
	coming   []uint64
}

type pin struct {
	key    uint64
	blocks int
}

type tenantState struct {
	window   float64
	admitted int
	hit, all float64
	bucket   float64
	bucketUs int64
	windowUs int64
}

type pool struct {
	runners map[string]*runner
	order   []string
	queue   pending
	stores  []Store
	links   int                        // connections a runner takes from all nodes together; 0: no limit
	allowed map[string]map[string]bool // by regime, the ids of runners and stores let in
	tokens  int                        // memory of a runner, in tokens
	moveUs  float64                    // to move the memory of one token between runners; 0: not moved
}

// Store is a box that keeps parts for the runners of a service.
type Store struct {
	ID     string
	Addr   string
	Zone   string
	MoveUs float64 // to move the memory of one token
}

// Doorman is not safe for concurrent use.
type Doorman struct {
	T       Tuning
	Zone    string
	Index   *prefixindex.Index
	nodes   int
	pools   map[string]*pool
	tenants map[string]*tenantState
	oldUs   map[string]int64 // by model: since when the newest version is known
	newest  map[string]int64 // by model
	calmUs  int64
	left    map[string]relinquished // by zone
	list    []placement.Candidate   // kept from one look for candidates to the next
	who     []*runner
	turn    int                 // whose turn it is among equals
	free    bool                // the last look for candidates found a runner with a place
	toldUs  int64               // when the others' loads last came
	fresh   []messages.KeptNote // parts that this node has sent somewhere to be read
	absent  []string            // runners that are not at their address, for others to hear of
	MarkUs  int64               // after how long an older version is out of bounds
	Salt    func(tenant string, isolated bool, regime string, version int64) string
}

// New makes a admission control for a node at a zone.
func New(t Tuning, zone string) *Doorman {
	return &Doorman{T: t, Zone: zone, Index: prefixindex.NewIndex(), nodes: 1, pools: map[string]*pool{}, tenants: map[string]*tenantState{}, oldUs: map[string]int64{}, newest: map[string]int64{}, MarkUs: 6_000_000, Salt: Salt}
}

// Salt keeps weight versions apart, isolated tenants from all others, and the
// tenants of a regime from those outside it, whose requests may go anywhere.
func Salt(tenant string, isolated bool, regime string, version int64) string {
	b := []byte{'w'}
	b = appendInt(b, version)
	if regime != "" {
		b = append(append(b, '~'), regime...)
	}
	if isolated {
		b = append(append(b, '/'), tenant...)
	}
	return string(b)
}

func appendInt(b []byte, n int64) []byte {
	if n >= 10 {
		b = appendInt(b, n/10)
	}
	return append(b, byte('0'+n%10))
}

// SetNodes tells how many nodes share the runners.
func (d *Doorman) SetNodes(n int) { d.nodes = max(n, 1) }

// SetNewest tells the newest version named for a model.
func (d *Doorman) SetNewest(model string, version, nowUs int64) {
	if version > d.newest[model] {
		d.newest[model] = version
		d.oldUs[model] = nowUs
	}
}

// Calm tells since when the core has been calm. The time in which runners are
// to be brought to new weights counts in one calm stretch.
func (d *Doorman) Calm(sinceUs int64) { d.calmUs = max(d.calmUs, sinceUs) }

// SetService tells the runners of a service, the memory of each in tokens, and
// how long moving the memory of a token takes.
func (d *Doorman) SetService(service string, notes []messages.RunnerRecord, tokens int, moveUs float64) {
	p := d.pool(service)
	p.tokens, p.moveUs = tokens, moveUs
	keep := map[string]bool{}
	p.order = p.order[:0]
	for _, n := range notes {
		r := p.runners[n.ID]
		if r == nil {
			r = newRunner()
			p.runners[n.ID] = r
		}
		r.note, r.capacity, r.blocks = n, n.Capacity, tokens/d.T.BlockTokens
		r.absence.hear(n)
		keep[n.ID] = true
		p.order = append(p.order, n.ID)
	}
	for id, r := range p.runners {
		if !keep[id] && r.own.count == 0 {
			delete(p.runners, id)
			d.Index.Reset(id)
		}
	}
}

// linkPart is the part of a runner's connections that requests may take; the
// rest is for reports, events and orders.
const linkPart = 0.9

// SetLinks tells how many connections a runner of a service takes in all.
func (d *Doorman) SetLinks(service string, limit int) { d.pool(service).links = limit }

// linkShare is how many requests this node may have at one runner at a time,
// each on a connection of its own; 0 means any number.
func (d *Doorman) linkShare(p *pool) int {
	if p.links <= 0 {
		return 0
	}
	return max(int(linkPart*float64(p.links))/d.nodes, 1)
}

// SetCertified tells which runners and stores of a service each regime lets in.
func (d *Doorman) SetCertified(service string, allowed map[string]map[string]bool) {
	d.pool(service).allowed = allowed
}

// lets tells whether a request may have to do with a runner or store. Without
// sure knowledge the answer is no.
func (p *pool) lets(a Ask, id string) bool { return a.Regime == "" || p.allowed[a.Regime][id] }

// SetStores tells the stores that runners of a service may use.
func (d *Doorman) SetStores(service string, stores []Store) { d.pool(service).stores = stores }

// Services lists those with requests waiting.
func (d *Doorman) Services() []string {
	var out []string
	for name := range d.pools {
		out = append(out, name)
	}
	return out
}

func (d *Doorman) pool(service string) *pool {
	p := d.pools[service]
	if p == nil {
		p = &pool{runners: map[string]*runner{}}
		d.pools[service] = p
	}
	return p
}

func (d *Doorman) tenant(name string, nowUs int64) *tenantState {
	t := d.tenants[name]
	if t == nil {
		t = &tenantState{window: d.T.WindowStart, bucket: -1, bucketUs: nowUs, windowUs: nowUs}
		d.tenants[name] = t
	}
	return t
}

func (d *Doorman) places(p *pool) int {
	n := 0
	for _, id := range p.order {
		n += p.runners[id].capacity
	}
	return n
}

func (d *Doorman) rate(p *pool) float64 {
	sum := 0.0
	for _, id := range p.order {
		sum += p.runners[id].readRate(&d.T)
	}
	return max(sum, d.T.RateFloor)
}

// Arrive rules on a new request.
func (d *Doorman) Arrive(a Ask, nowUs int64) Ruling {
	p := d.pool(a.Service)
	t := d.tenant(a.Tenant, nowUs)
	if !d.allowRate(t, p, nowUs) {
		return d.deny(a, p, DenyRate, 429)
	}
	if p.tokens > 0 && a.TokensIn+a.TokensOut > p.tokens {
		return d.deny(a, p, DenyContext, 503)
	}
	if p.queue.count == 0 || p.queue.bands[0].rank > a.Rank || d.nothingAhead(p, a.Rank) {
		if adm := d.admit(a, p, t, nowUs); adm != nil {
			return Ruling{Ref: a.Ref, Admit: adm}
		}
	}
	return d.hold(a, p, nowUs)
}

func (d *Doorman) nothingAhead(p *pool, rank int) bool {
	for _, b := range p.queue.bands {
		if b.rank <= rank && len(b.turn) > 0 {
			return false
		}
	}
	return true
}

func (d *Doorman) hold(a Ask, p *pool, nowUs int64) Ruling {
	share := func(total float64) float64 {
		if d.nodes > 2 {
			return 2 * total / float64(d.nodes)
		}
		return total
	}
	if float64(p.queue.count+1) > share(float64(d.places(p)+d.T.BufferRequests)) {
		return d.deny(a, p, DenyPending, 503)
	}
	setpoint := max(a.SetpointUs, 100_000)
	if p.queue.count > 0 && float64(p.queue.tokens+a.TokensIn) > share(float64(setpoint)*d.rate(p)) {
		return d.deny(a, p, DenyTokens, 503)
	}
	ttl := min(int64(float64(a.LeftUs)*d.T.TTLPart), int64(float64(setpoint)*d.T.TTLSetpoints))
	p.queue.put(&waiting{ask: a, untilUs: nowUs + max(ttl, 50_000)})
	return Ruling{Ref: a.Ref, Hold: true}
}

// ShedFor makes room for a request of a higher band that was denied for a full
// queue: the newest of the lowest band goes instead.
func (d *Doorman) ShedFor(a Ask, nowUs int64) (Ruling, bool) {
	p := d.pool(a.Service)
	w := p.queue.shed(a.Rank)
	if w == nil {
		return Ruling{}, false
	}
	return d.deny(w.ask, p, DenyShed, 503), true
}

func (d *Doorman) deny(a Ask, p *pool, why Reason, status int) Ruling {
	again := int64(float64(p.queue.tokens)/d.rate(p)) + 60_000
	return Ruling{Ref: a.Ref, Deny: why, Status: status, AgainUs: min(max(again, 60_000), 1_000_000)}
}

func (d *Doorman) allowRate(t *tenantState, p *pool, nowUs int64) bool {
	most := max(d.T.TenantBurst*float64(d.places(p)), 64)
	if t.bucket < 0 {
		t.bucket = most
	}
	t.bucket = min(most, t.bucket+float64(nowUs-t.bucketUs)/1e6*most/2)
	t.bucketUs = nowUs
	if t.bucket < 1 {
		return false
	}
	t.bucket--
	return true
}

// Candidates lists the runners that a request may go to now.
func (d *Doorman) Candidates(a Ask, nowUs int64) []placement.Candidate {
	list, _ := d.candidates(a, d.pool(a.Service), nowUs)
	return slices.Clone(list)
}

// candidates gives the runners that a request may go to; the result holds until
// the next call.
func (d *Doorman) candidates(a Ask, p *pool, nowUs int64) ([]placement.Candidate, []*runner) {
	out, who := d.list[:0], d.who[:0]
	defer func() { d.list, d.who = out, who }()
	d.free = false
	share := d.linkShare(p)
	d.forgetOthers(nowUs)
	told := d.told(nowUs)
	keysOf := d.keysOf(a)
	near, leaving := d.Zone, false
	if len(d.left) > 0 {
		if home := d.home(a, p); home != "" {
			leaving = true // there is where to go
			if d.Leaves(a, d.Zone, nowUs) {
				near = home
			}
		}
	}
	need := (a.TokensIn + a.TokensOut + d.T.BlockTokens - 1) / d.T.BlockTokens
	for pass := range 3 {
		for _, id := range p.order {
			r := p.runners[id]
			if r.absence.out || r.note.Draining || r.barred(nowUs) || !p.lets(a, id) || avoided(a.Avoid, id) || pass != d.preference(a, r, nowUs) {
				continue
			}
			if !d.markAllowed(a.Model, r, nowUs) || leaving && d.Leaves(a, r.note.Zone, nowUs) {
				continue
			}
			use := r.settle(&d.T, nowUs, d.nodes, told)
			active := r.active(&d.T, nowUs)
			if r.busyKV || r.busyRead || r.capacity > 0 && active >= r.capacity || share > 0 && r.own.count >= share {
				continue
			}
			kept := d.Index.Expected(id, keysOf(markOf(r.note, a.Model)), a.Parts)
			d.free = true
			if r.blocks > 0 && active > 0 {
				if after := use + float64(need-kept/d.T.BlockTokens)/float64(r.blocks); after > 0.98 {
					continue
				}
			}
			out = append(out, placement.Candidate{ID: id, NearSite: r.note.Zone == near, Kept: kept, Prefill: r.prefill(), Active: active, Capacity: r.capacity, Used: use, Rate: r.readRate(&d.T), Reading: r.reading(&d.T, nowUs), DoubtUs: r.health.doubtUs(nowUs)})
			who = append(who, r)
		}
		if len(out) > 0 {
			break
		}
	}
	if p.moveUs > 0 && len(a.Parts) > 0 {
		d.findMoves(a, p, out, who, keysOf, nowUs)
	}
	return out, who
}

// keysOf gives the keys of a request's parts under each version, each worked out
// once.
func (d *Doorman) keysOf(a Ask) func(version int64) []uint64 {
	var versions []int64
	var keys [][]uint64
	return func(version int64) []uint64 {
		for i, m := range versions {
			if m == version {
				return keys[i]
			}
		}
		versions = append(versions, version)
		keys = append(keys, prefixindex.Keys(d.Salt(a.Tenant, a.Isolated, a.Regime, version), a.Model, a.Parts))
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
func (d *Doorman) findMoves(a Ask, p *pool, out []placement.Candidate, who []*runner, keysOf func(version int64) []uint64, nowUs int64) {
	shared := 0
	for _, part := range a.Parts[:len(a.Parts)-1] {
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
				if d.turn++; d.turn%(o.equals+1) == 0 {
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
		if r.absence.out || r.note.Stale || r.unsoundUs > nowUs || !p.lets(a, id) {
			continue
		}
		version := markOf(r.note, a.Model)
		kept, expected := d.Index.Both(id, keysOf(version), a.Parts)
		add(holder{addr: r.note.Addr, zone: r.note.Zone, version: version, kept: kept, moveUs: p.moveUs})
		known[version] = max(known[version], min(shared, expected))
	}
	for _, s := range p.stores {
		if !p.lets(a, s.ID) {
			continue
		}
		for version := range known {
			if kept := d.Index.Kept(s.ID, keysOf(version), a.Parts); kept >= moveMin {
				add(holder{addr: s.Addr, zone: s.Zone, version: version, kept: kept, moveUs: s.MoveUs})
				known[version] = max(known[version], min(shared, kept))
			}
		}
	}
	for i := range out {
		c := &out[i]
		version := markOf(who[i].note, a.Model)
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
func (d *Doorman) preference(a Ask, r *runner, nowUs int64) int {
	switch {
	case r.note.Stale || r.unsoundUs > nowUs || r.health.out(nowUs):
		return 2
	case r.note.Easing && a.TokensOut > d.T.LongOut:
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

func markOf(n messages.RunnerRecord, model string) int64 {
	for _, m := range n.Models {
		if m.Model == model {
			return m.Version
		}
	}
	return 0
}

func (d *Doorman) markAllowed(model string, r *runner, nowUs int64) bool {
	want := d.newest[model]
	if want == 0 || nowUs-max(d.oldUs[model], d.calmUs) < d.MarkUs {
		return true
	}
	have := markOf(r.note, model)
	return have == 0 || have >= want
}

func (d *Doorman) admit(a Ask, p *pool, t *tenantState, nowUs int64) *Admission {
	d.free = true
	if float64(t.admitted) >= t.window {
		return nil
	}
	list, who := d.candidates(a, p, nowUs)
	prompt := placement.Prompt{Tokens: a.TokensIn, Out: a.TokensOut}
	if n := len(a.Parts); n > 1 {
		prompt.Shared = prefixindex.Key("", a.Model, a.Parts[n-2].ID)
	}
	i := placement.Match(prompt, list)
	if i < 0 {
		return nil
	}
	r, c := who[i], list[i]
	version := markOf(r.note, a.Model)
	salt := d.Salt(a.Tenant, a.Isolated, a.Regime, version)
	adm := &Admission{Runner: r.note, Salt: salt, Version: version, Kept: c.Kept, Source: c.From, atUs: nowUs, tenant: a.Tenant, service: a.Service, tokensIn: a.TokensIn, Parts: a.Parts, Keys: prefixindex.Keys(salt, a.Model, a.Parts), reading: true}
	bt := d.T.BlockTokens
	inParts := 0
	for j, k := range adm.Keys {
		n := (a.Parts[j].Tokens + bt - 1) / bt
		inParts += a.Parts[j].Tokens
		adm.pins = append(adm.pins, pin{k, n})
		if r.pins[k]++; r.pins[k] == 1 {
			r.own.blocks += n
		}
	}
	adm.blocks = (max(a.TokensIn-inParts, 0) + a.TokensOut + bt - 1) / bt
	r.own.blocks += adm.blocks
	if d.expect(adm, len(a.Parts)-1) && c.Moved < moveMin {
		adm.Sink = p.sink(a, adm.Keys)
	}
	adm.ahead = c.Prefill
	adm.prefill = max(a.TokensIn-c.Kept-c.Moved, 0)
	r.own.prefill += adm.prefill
	r.sent(adm.prefill, nowUs)
	r.own.count++
	r.recent = append(r.recent, recentShot{nowUs, adm.blocks + adm.prefill/bt})
	r.trim(nowUs)
	t.admitted++
	t.hit += float64(c.Kept + c.Moved)
	t.all += float64(a.TokensIn)
	return adm
}

// sink is the store for a prompt's shared parts: by the deepest of them, so that
// what hangs together lies in one, and all stores are used.
func (p *pool) sink(a Ask, keys []uint64) string {
	best, top := "", uint64(0)
	for _, s := range p.stores {
		if v := statesync.Mix(keys[max(len(keys)-2, 0)] ^ statesync.HashText(s.ID, "")); p.lets(a, s.ID) && (best == "" || v > top) {
			best, top = s.Addr, v
		}
	}
	return best
}

// expect notes the shared parts that a runner is about to read, here and for
// the other nodes.
func (d *Doorman) expect(adm *Admission, shared int) bool {
	note := messages.KeptNote{ID: adm.Runner.ID, Parts: []messages.KeptPart{}}
	for i := range max(shared, 0) {
		k, n := adm.Keys[i], int32(adm.Parts[i].Tokens)
		if d.Index.Kept(note.ID, adm.Keys[i:i+1], adm.Parts[i:i+1]) < int(n) {
			d.Index.Expect(note.ID, k, n)
			adm.coming = append(adm.coming, k)
			note.Parts = append(note.Parts, messages.KeptPart{Key: k, Tokens: n})
		}
	}
	if len(note.Parts) > 0 {
		d.fresh = append(d.fresh, note)
	}
	return len(note.Parts) > 0
}

// HasFresh tells whether there is something that the other nodes should hear
// soon.
func (d *Doorman) HasFresh() bool { return len(d.fresh) > 0 }

// FirstToken notes that a runner has read a prompt, which also tells how fast
// it reads and what it keeps now.
func (d *Doorman) FirstToken(adm *Admission, nowUs int64) {
	r := d.pool(adm.service).runners[adm.Runner.ID]
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
		d.Index.Put(r.note.ID, k, int32(adm.Parts[i].Tokens))
	}
}

// Done gives the place back. ok tells whether the runner behaved; a runner
// whose links fail is passed over for a while.
func (d *Doorman) Done(adm *Admission, ok bool, nowUs int64) {
	p := d.pool(adm.service)
	r := p.runners[adm.Runner.ID]
	d.tenant(adm.tenant, nowUs).admitted--
	if r == nil {
		return
	}
	if adm.reading {
		adm.reading = false
		r.own.prefill -= adm.prefill
		for _, k := range adm.coming {
			d.Index.Forget(r.note.ID, k)
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
		r.pauseUs, r.unsoundUs = 0, 0
		return
	}
	r.pauseUs = min(max(2*r.pauseUs, d.T.UnsoundUs), d.T.UnsoundMaxUs)
	r.unsoundUs = nowUs + r.pauseUs
}

// Ended notes how a request that ran at a runner ended there.
func (d *Doorman) Ended(adm *Admission, good bool, nowUs int64) {
	p := d.pool(adm.service)
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
func (d *Doorman) Full(adm *Admission, nowUs int64) {
	if r := d.pool(adm.service).runners[adm.Runner.ID]; r != nil {
		r.unsoundUs = max(r.unsoundUs, nowUs+turnedAwayUs)
	}
}

// Report takes a runner's own word.
func (d *Doorman) Report(n messages.ReportNote, nowUs int64) {
	for _, p := range d.pools {
		if r := p.runners[n.ID]; r != nil {
			r.report = word{blocks: n.Used / d.T.BlockTokens, count: n.Active + n.Pending, atUs: nowUs}
			r.reported = true
			if n.Total > 0 {
				r.blocks = n.Total / d.T.BlockTokens
			}
		}
	}
}

// Coming takes other nodes' word on the parts that they have sent to be read.
func (d *Doorman) Coming(notes []messages.KeptNote) {
	for _, n := range notes {
		for _, part := range n.Parts {
			d.Index.Expect(n.ID, part.Key, part.Tokens)
		}
	}
}

// Others takes what the other nodes have at the runners, added up; a runner
// that is not named has nothing of theirs.
func (d *Doorman) Others(loads func(id string) messages.RunnerLoad, nowUs int64) {
	for _, p := range d.pools {
		for id, r := range p.runners {
			r.other(loads(id))
		}
	}
	d.Told(nowUs)
}

// Other takes it for one runner.
func (d *Doorman) Other(id string, l messages.RunnerLoad) {
	for _, p := range d.pools {
		if r := p.runners[id]; r != nil {
			r.other(l)
		}
	}
}

// Told notes that what is known of the others is of now.
func (d *Doorman) Told(nowUs int64) {
	d.toldUs = nowUs
	for _, p := range d.pools {
		p.eject(nowUs)
	}
}

// forgetOthers lets go of what the others said once it is too old.
func (d *Doorman) forgetOthers(nowUs int64) {
	if d.toldUs == 0 || d.told(nowUs) {
		return
	}
	d.toldUs = 0
	for _, p := range d.pools {
		for _, r := range p.runners {
			r.others = word{}
		}
	}
}

// told tells whether the others' loads are fresh enough to go by.
func (d *Doorman) told(nowUs int64) bool {
	return d.toldUs > 0 && nowUs-d.toldUs < d.T.ReportFreshUs
}

// Blind lists the runners whose thresholds cannot fire as they should: memory
// that is not known, or no report within three times the time one is believed.
func (d *Doorman) Blind(nowUs int64) []string {
	var out []string
	for _, p := range d.pools {
		for _, id := range p.order {
			r := p.runners[id]
			if r.blocks == 0 || !r.reported || nowUs-r.report.atUs > 3*d.T.ReportFreshUs {
				out = append(out, id)
			}
		}
	}
	sort.Strings(out)
	return out
}

// flowStep is to what the flow of prompt tokens is rounded where it is told, so
// that it is no change with every moment.
const flowStep = 250

// Own is what this node has at the runners.
func (d *Doorman) Own(nowUs int64) map[string]messages.RunnerLoad {
	out := map[string]messages.RunnerLoad{}
	for _, p := range d.pools {
		for id, r := range p.runners {
			flow := int(r.ownFlow(nowUs)/flowStep+0.5) * flowStep
			seen := r.health.own(nowUs)
			if r.own.count > 0 || flow > 0 || seen.tried > 0 {
				out[id] = messages.RunnerLoad{ID: id, Tried: seen.tried, Failed: seen.failed, Blocks: r.own.blocks, Prefill: r.own.prefill, Count: r.own.count, Rate: math.Round(r.rate*1e4) / 1e4, Flow: flow}
			}
		}
	}
	return out
}

// TakeFresh gives the parts that this node has sent to be read since the last
// call.
func (d *Doorman) TakeFresh() []messages.KeptNote {
	out := d.fresh
	d.fresh = nil
	return out
}

// Tick lets time pass: requests whose wait is over are denied, others that
// find room are admitted, and the tenants' windows move.
func (d *Doorman) Tick(nowUs int64) []Ruling {
	var out []Ruling
	for _, p := range d.pools {
		if p.queue.count == 0 {
			continue
		}
		for _, w := range p.queue.expired(nowUs) {
			out = append(out, d.deny(w.ask, p, DenyTTL, 503))
		}
		full := false
		p.queue.walk(func(w *waiting) bool {
			if full {
				return false
			}
			adm := d.admit(w.ask, p, d.tenant(w.ask.Tenant, nowUs), nowUs)
			if adm == nil {
				// no place anywhere for this one means none for the next
				full = !d.free && w.ask.Regime == "" && len(w.ask.Avoid) == 0
				return false
			}
			out = append(out, Ruling{Ref: w.ask.Ref, Admit: adm})
			return true
		})
	}
	d.moveWindows(nowUs)
	return out
}

func (d *Doorman) moveWindows(nowUs int64) {
	use, n := 0.0, 0
	for name, t := range d.tenants {
		if nowUs-t.windowUs < d.T.WindowEveryUs {
			continue
		}
		if n == 0 {
			use, n = d.meanUse(nowUs), 1
		}
		t.windowUs = nowUs
		hits := 1.0
		if t.all > 0 {
			hits = t.hit / t.all
		}
		t.window = Window(&d.T, t.window, use, hits)
		t.hit, t.all = t.hit/2, t.all/2
		if t.admitted == 0 && t.all < 1 && t.window >= d.T.WindowStart && t.bucket >= 0 && nowUs-t.bucketUs > 60_000_000 {
			delete(d.tenants, name)
		}
	}
}

// Window is the AIMD step of a tenant's window.
func Window(t *Tuning, w, use, hits float64) float64 {
	switch {
	case use < t.LowUse:
		w += t.WindowAdd
	case use > t.HighUse && hits < t.LowHits:
		w *= t.WindowCut
	}
	return min(max(w, t.WindowMin), t.WindowMax)
}

func (d *Doorman) meanUse(nowUs int64) float64 {
	sum, n := 0.0, 0
	for _, p := range d.pools {
		for _, id := range p.order {
			if r := p.runners[id]; r.blocks > 0 {
				sum += r.settle(&d.T, nowUs, d.nodes, d.told(nowUs))
				n++
			}
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
