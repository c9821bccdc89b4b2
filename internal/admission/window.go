// Windows: how many requests of a tenant are admitted at once, adjusted by AIMD, and
// the tenant's rate limit.

package admission

type tenantState struct {
	window   float64
	admitted int
	hit, all float64
	bucket   float64
	bucketUs int64
	windowUs int64
}

func (a *Admitter) tenant(name string, nowUs int64) *tenantState {
	t := a.tenants[name]
	if t == nil {
		t = &tenantState{window: a.T.WindowStart, bucket: -1, bucketUs: nowUs, windowUs: nowUs}
		a.tenants[name] = t
	}
	return t
}

func (a *Admitter) allowRate(t *tenantState, p *pool, nowUs int64) bool {
	most := max(a.T.TenantBurst*float64(a.totalCapacity(p)), 64)
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

// Tick advances the time: queued requests whose time to live is over are rejected, others
// that fit are admitted, and the tenants' windows are adjusted.
func (a *Admitter) Tick(nowUs int64) []Decision {
	var out []Decision
	for _, p := range a.pools {
		if p.queue.count == 0 {
			continue
		}
		for _, w := range p.queue.expired(nowUs) {
			out = append(out, a.reject(w.request, p, RejectTTL, 503))
		}
		full := false
		p.queue.walk(func(w *waiting) bool {
			if full {
				return false
			}
			adm := a.admit(w.request, p, a.tenant(w.request.Tenant, nowUs), nowUs)
			if adm == nil {
				// if no runner has capacity for this one, none has for the next
				full = !a.hasCapacity && w.request.Regime == "" && len(w.request.Avoid) == 0
				return false
			}
			out = append(out, Decision{Ref: w.request.Ref, Admit: adm})
			return true
		})
	}
	a.moveWindows(nowUs)
	return out
}

func (a *Admitter) moveWindows(nowUs int64) {
	use, n := 0.0, 0
	for name, t := range a.tenants {
		if nowUs-t.windowUs < a.T.WindowEveryUs {
			continue
		}
		if n == 0 {
			use, n = a.meanUse(nowUs), 1
		}
		t.windowUs = nowUs
		hits := 1.0
		if t.all > 0 {
			hits = t.hit / t.all
		}
		t.window = Window(&a.T, t.window, use, hits)
		t.hit, t.all = t.hit/2, t.all/2
		if t.admitted == 0 && t.all < 1 && t.window >= a.T.WindowStart && t.bucket >= 0 && nowUs-t.bucketUs > 60_000_000 {
			delete(a.tenants, name)
		}
	}
}

// Window returns a tenant's window after one AIMD step.
func Window(t *Tuning, w, use, hits float64) float64 {
	switch {
	case use < t.LowUse:
		w += t.WindowAdd
	case use > t.HighUse && hits < t.LowHits:
		w *= t.WindowCut
	}
	return min(max(w, t.WindowMin), t.WindowMax)
}

func (a *Admitter) meanUse(nowUs int64) float64 {
	sum, n := 0.0, 0
	for _, p := range a.pools {
		for _, id := range p.order {
			if r := p.runners[id]; r.blocks > 0 {
				sum += r.updateBusy(&a.T, nowUs, a.nodes, a.peerLoadsCurrent(nowUs))
				n++
			}
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
