// Tenant limits: the window, which is the maximum number of a tenant's requests admitted
// at a time and is adjusted by AIMD, and the tenant's rate limit, a token bucket.

package admission

// tenantState holds the window and the token bucket of a tenant. hitTokens and
// promptTokens are decaying sums from which the cache hit share is computed.
type tenantState struct {
	window                  float64
	admitted                int
	hitTokens, promptTokens float64
	bucket                  float64
	bucketUpdatedUs         int64
	windowUpdatedUs         int64
}

// tenant returns the state of a tenant, and creates it at the first request.
func (a *Admitter) tenant(name string, nowUs int64) *tenantState {
	t := a.tenants[name]
	if t == nil {
		t = &tenantState{window: a.Tuning.InitialWindow, bucket: -1, bucketUpdatedUs: nowUs, windowUpdatedUs: nowUs}
		a.tenants[name] = t
	}
	return t
}

// allowRate consumes one token of a tenant's bucket and reports whether there was one.
// The bucket refills from empty in two seconds.
func (a *Admitter) allowRate(t *tenantState, p *pool, nowUs int64) bool {
	burst := max(a.Tuning.TenantBurst*float64(a.totalCapacity(p)), 64)
	if t.bucket < 0 {
		t.bucket = burst
	}
	t.bucket = min(burst, t.bucket+float64(nowUs-t.bucketUpdatedUs)/1e6*burst/2)
	t.bucketUpdatedUs = nowUs
	if t.bucket < 1 {
		return false
	}
	t.bucket--
	return true
}

// Tick processes the passage of time: it rejects queued requests whose time to live has
// elapsed, admits others for which there is capacity, and adjusts the tenants' windows.
func (a *Admitter) Tick(nowUs int64) []Decision {
	var out []Decision
	for _, p := range a.pools {
		if p.queue.count == 0 {
			continue
		}
		for _, w := range p.queue.expired(nowUs) {
			out = append(out, a.reject(w.request, p, RejectTTL, 503))
		}
		noCapacity := false
		p.queue.dequeueAccepted(func(w *queuedRequest) bool {
			if noCapacity {
				return false
			}
			adm := a.admit(w.request, p, a.tenant(w.request.Tenant, nowUs), nowUs)
			if adm == nil {
				// If no runner has capacity for this request, none has for the next, unless
				// this one may use only some of the runners.
				noCapacity = !a.hasCapacity && w.request.Regime == "" && len(w.request.ExcludedRunners) == 0
				return false
			}
			out = append(out, Decision{Ref: w.request.Ref, Admission: adm})
			return true
		})
	}
	a.updateWindows(nowUs)
	return out
}

// updateWindows adjusts the windows that are due and removes idle tenants.
func (a *Admitter) updateWindows(nowUs int64) {
	use, n := 0.0, 0
	for name, t := range a.tenants {
		if nowUs-t.windowUpdatedUs < a.Tuning.WindowIntervalUs {
			continue
		}
		if n == 0 {
			use, n = a.meanUse(nowUs), 1
		}
		t.windowUpdatedUs = nowUs
		hitShare := 1.0
		if t.promptTokens > 0 {
			hitShare = t.hitTokens / t.promptTokens
		}
		t.window = nextWindow(&a.Tuning, t.window, use, hitShare)
		t.hitTokens, t.promptTokens = t.hitTokens/2, t.promptTokens/2
		if t.admitted == 0 && t.promptTokens < 1 && t.window >= a.Tuning.InitialWindow && t.bucket >= 0 && nowUs-t.bucketUpdatedUs > 60_000_000 {
			delete(a.tenants, name)
		}
	}
}

// nextWindow returns a tenant's window after one AIMD step. It grows while the mean
// memory use is low, and is cut when the use is high and the cache hit share is low.
func nextWindow(t *Tuning, window, use, hitShare float64) float64 {
	switch {
	case use < t.LowUse:
		window += t.WindowAdd
	case use > t.HighUse && hitShare < t.LowHitShare:
		window *= t.WindowCut
	}
	return min(max(window, t.MinWindow), t.MaxWindow)
}

// meanUse returns the mean memory use, from 0 to 1, of all runners of known memory.
func (a *Admitter) meanUse(nowUs int64) float64 {
	sum, n := 0.0, 0
	for _, p := range a.pools {
		for _, id := range p.order {
			if r := p.runners[id]; r.blocks > 0 {
				sum += r.updateBusy(&a.Tuning, nowUs, a.nodes, a.peerLoadsCurrent(nowUs))
				n++
			}
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
