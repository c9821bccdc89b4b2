package simulation

import "beechtide.org/beechtide/internal/canary"

func (h *versionHistory) rolloutEndUs() int64 { return versionOrderUs + h.durationUs }

// recordSent is called when a router sends a request to a runner.
func (h *versionHistory) recordSent(r *versionRouter, isNew bool) {
	nowUs := h.kernel.NowUs()
	if nowUs < versionOrderUs || nowUs > h.rolloutEndUs() {
		return
	}
	h.counts.VersionRequests++
	h.checks.requests++
	if !isNew || !r.inContact() {
		return
	}
	h.checks.exposed++
	h.checks.lastExposedUs = nowUs
	if h.badness != goodVersion && h.checks.limitReachedUs > 0 && nowUs > h.checks.limitReachedUs+versionRollbackUs {
		h.kernel.Fail("a request goes to a bad version %d us after its %dth bad answer", nowUs-h.checks.limitReachedUs, versionBadLimit)
	}
}

// recordAnswered is called when a request ends.
func (h *versionHistory) recordAnswered(isNew, bad bool) {
	if !isNew || !bad {
		return
	}
	h.checks.badResponses++
	if h.checks.badResponses == versionBadLimit {
		h.checks.limitReachedUs = h.kernel.NowUs()
	}
}

// recordCoreFault records a controller fault and resets the count of bad responses.
func (h *versionHistory) recordCoreFault() {
	h.checks.coreFaultUs, h.checks.hadFault = h.kernel.NowUs(), true
	h.checks.badResponses, h.checks.limitReachedUs = 0, 0
}

// scheduleFaults schedules the faults of a history at random times.
func (h *versionHistory) scheduleFaults() {
	k := h.kernel
	for range 1 + k.Below(4) {
		k.After(k.Between(versionOrderUs, h.rolloutEndUs()), func() { h.injectFault(k.Between(100*Millisecond, 5*Second)) })
	}
}

func (h *versionHistory) injectFault(forUs int64) {
	k := h.kernel
	switch k.Below(4) {
	case 0:
		h.injectHolderFault(forUs)
	case 1:
		r := h.routers[k.Below(len(h.routers))]
		k.Log("a router is cut off for %d us", forUs)
		r.injectFault(forUs, func() { r.partitioned = true }, func() { r.partitioned = false; r.applyRegister() })
	case 2:
		r := h.routers[k.Below(len(h.routers))]
		k.Log("a router is killed for %d us", forUs)
		r.injectFault(forUs, func() { r.process.Stop(); r.reported = nil }, r.boot)
	default:
		k.Log("answers fail everywhere for %d us", forUs)
		before := h.background
		h.background = max(h.background, 0.25)
		k.After(forUs, func() { h.background = before })
	}
	h.checks.hadFault = true
}

// injectFault injects a fault into a router, unless it already has one.
func (r *versionRouter) injectFault(forUs int64, begin, end func()) {
	if !r.process.Up() || r.partitioned {
		return
	}
	r.lastFaultUs = r.history.kernel.NowUs()
	begin()
	r.history.kernel.After(forUs, func() {
		r.lastFaultUs = r.history.kernel.NowUs()
		end()
	})
}

// injectHolderFault kills or freezes the lease holder.
func (h *versionHistory) injectHolderFault(forUs int64) {
	k, c := h.kernel, h.holder
	if c == nil || !c.process.Up() || c.process.frozen {
		return
	}
	h.recordCoreFault()
	if k.Chance(500) {
		k.Log("the holder freezes for %d us", forUs)
		c.process.Freeze()
		k.After(forUs, func() { h.recordCoreFault(); c.process.Thaw() })
		return
	}
	k.Log("the holder is killed for %d us", forUs)
	c.process.Stop()
	k.After(forUs, func() {
		h.recordCoreFault()
		c.process.Start()
		c.plan, c.busy = &canary.Plan{}, false
		h.runController(c)
	})
}

// checkOutcome checks the outcome of the rollout.
func (h *versionHistory) checkOutcome() {
	k := h.kernel
	if k.failure != "" || len(h.register) == 0 {
		return
	}
	stage := canary.Stage(h.register[0].Stage)
	h.counts.NewVersionRequests += int64(h.checks.exposed)
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
		if allowed := versionExposure*float64(h.checks.requests) + versionSlack; float64(h.checks.exposed) > allowed {
			k.Fail("a version that is %s got %d of %d requests, %.0f are allowed", badnessNames[h.badness], h.checks.exposed, h.checks.requests, allowed)
		}
	}
	if h.checks.hadFault {
		return
	}
	switch {
	case h.badness == goodVersion && stage != canary.Settled:
		k.Fail("a good version is %s at the end, stage %d", stage, int(stage))
	case h.badness != goodVersion && h.badness != loadedVersion && stage != canary.Reverted:
		k.Fail("a version that is %s is %s at the end", badnessNames[h.badness], stage)
	}
}
