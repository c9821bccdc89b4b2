package simulation

import "beechtide.org/beechtide/internal/canary"

func (h *versionHistory) termUs() int64 { return versionOrderUs + h.overUs }

// sent is called when a router sends a request to a runner.
func (h *versionHistory) sent(r *versionRouter, fresh bool) {
	nowUs := h.kernel.NowUs()
	if nowUs < versionOrderUs || nowUs > h.termUs() {
		return
	}
	h.counts.VersionRequests++
	h.checks.all++
	if !fresh || !r.inTouch() {
		return
	}
	h.checks.exposed++
	h.checks.lastUs = nowUs
	if h.badness != goodVersion && h.checks.limitUs > 0 && nowUs > h.checks.limitUs+versionRollbackUs {
		h.kernel.Fail("a request goes to a bad version %d us after its %dth bad answer", nowUs-h.checks.limitUs, versionBadLimit)
	}
}

// answered is called when a request ends.
func (h *versionHistory) answered(fresh, bad bool) {
	if !fresh || !bad {
		return
	}
	h.checks.bad++
	if h.checks.bad == versionBadLimit {
		h.checks.limitUs = h.kernel.NowUs()
	}
}

// disturbCore records a controller fault and resets the count of bad responses.
func (h *versionHistory) disturbCore() {
	h.checks.coreUs, h.checks.disturbed = h.kernel.NowUs(), true
	h.checks.bad, h.checks.limitUs = 0, 0
}

// plan schedules the faults of a history at random times.
func (h *versionHistory) plan() {
	k := h.kernel
	for range 1 + k.Below(4) {
		k.After(k.Between(versionOrderUs, h.termUs()), func() { h.fault(k.Between(100*Millisecond, 5*Second)) })
	}
}

func (h *versionHistory) fault(forUs int64) {
	k := h.kernel
	switch k.Below(4) {
	case 0:
		h.strikeHolder(forUs)
	case 1:
		r := h.routers[k.Below(len(h.routers))]
		k.Note("a router is cut off for %d us", forUs)
		r.trouble(forUs, func() { r.cut = true }, func() { r.cut = false; r.learn() })
	case 2:
		r := h.routers[k.Below(len(h.routers))]
		k.Note("a router is killed for %d us", forUs)
		r.trouble(forUs, func() { r.process.Stop(); r.reported = nil }, r.boot)
	default:
		k.Note("answers fail everywhere for %d us", forUs)
		before := h.background
		h.background = max(h.background, 0.25)
		k.After(forUs, func() { h.background = before })
	}
	h.checks.disturbed = true
}

// trouble injects a fault into a router, unless it already has one.
func (r *versionRouter) trouble(forUs int64, begin, end func()) {
	if !r.process.Up() || r.cut {
		return
	}
	r.troubled = r.history.kernel.NowUs()
	begin()
	r.history.kernel.After(forUs, func() {
		r.troubled = r.history.kernel.NowUs()
		end()
	})
}

// strikeHolder kills or freezes the lease holder.
func (h *versionHistory) strikeHolder(forUs int64) {
	k, c := h.kernel, h.holder
	if c == nil || !c.process.Up() || c.process.frozen {
		return
	}
	h.disturbCore()
	if k.Chance(500) {
		k.Note("the holder freezes for %d us", forUs)
		c.process.Freeze()
		k.After(forUs, func() { h.disturbCore(); c.process.Thaw() })
		return
	}
	k.Note("the holder is killed for %d us", forUs)
	c.process.Stop()
	k.After(forUs, func() {
		h.disturbCore()
		c.process.Start()
		c.plan, c.busy = &canary.Plan{}, false
		h.step(c)
	})
}

// end checks the outcome of the rollout.
func (h *versionHistory) end() {
	k := h.kernel
	if k.failure != "" || len(h.register) == 0 {
		return
	}
	stage := canary.Stage(h.register[0].Stage)
	h.counts.VersionExposed += int64(h.checks.exposed)
	if h.badness == goodVersion {
		h.counts.VersionsGood++
		if stage == canary.Settled {
			h.counts.VersionsSettled++
		}
	} else {
		h.counts.VersionsBad++
		if stage == canary.Reverted {
			h.counts.VersionsReverted++
		}
		if allowed := versionExposure*float64(h.checks.all) + versionSlack; float64(h.checks.exposed) > allowed {
			k.Fail("a version that is %s got %d of %d requests, %.0f are allowed", badnessNames[h.badness], h.checks.exposed, h.checks.all, allowed)
		}
	}
	if h.checks.disturbed {
		return
	}
	switch {
	case h.badness == goodVersion && stage != canary.Settled:
		k.Fail("a good version is %s at the end, stage %d", stage, int(stage))
	case h.badness != goodVersion && h.badness != loadedVersion && stage != canary.Reverted:
		k.Fail("a version that is %s is %s at the end", badnessNames[h.badness], stage)
	}
}
