package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/messages"
)

// boot starts the router's process.
func (r *versionRouter) boot() {
	r.process.Start()
	r.admitter = admission.New(admission.Defaults, "a", uint64(r.history.kernel.Between(0, 1<<40)))
	r.setRunners()
	r.admitter.SetRollouts(r.history.register, nil) // a router serves only after it has received the register
	r.report()
}

// setRunners sets the runners. Those of the new version exist from the order on.
func (r *versionRouter) setRunners() {
	records := runnersOfVersion("old", "v1")
	if len(r.history.register) > 0 {
		records = append(records, runnersOfVersion("new", versionTarget)...)
	}
	r.admitter.SetService(versionService, records, 100_000, 0)
}

func runnersOfVersion(name, version string) (records []messages.RunnerRecord) {
	for i := range versionRunners {
		id := fmt.Sprint(name, i)
		records = append(records, messages.RunnerRecord{ID: id, Service: versionService, Addr: id, Zone: "a", Capacity: 16, Version: version})
	}
	return records
}

// applyRegister applies the register's value and the runner list.
func (r *versionRouter) applyRegister() {
	r.process.Deliver(func() {
		if r.partitioned {
			return
		}
		r.setRunners()
		r.admitter.SetRollouts(r.history.register, nil)
	})
}

// report periodically sends loads and outcomes to the controllers.
func (r *versionRouter) report() {
	k := r.history.kernel
	r.process.After(versionReportUs, func() {
		if !r.partitioned {
			loads := r.admitter.OwnLoads(k.NowUs())
			k.After(k.Between(20*Millisecond, 250*Millisecond), func() {
				if r.process.Up() {
					r.reported = loads
				}
			})
		}
		r.report()
	})
}

// inContact reports whether the router has been in contact with the controllers for long enough
// that the bounds apply to it.
func (r *versionRouter) inContact() bool {
	return !r.partitioned && !r.process.frozen && (r.lastFaultUs == 0 || r.history.kernel.NowUs()-r.lastFaultUs > versionContactUs)
}

// serve sends a request to a runner.
func (r *versionRouter) serve() {
	h, k := r.history, r.history.kernel
	kind := k.Below(2)
	request := admission.Request{Service: versionService, TokensIn: versionPromptTokens, Class: fmt.Sprint("kind ", kind), TimeLeftUs: 5 * Second}
	request.Canary = r.admitter.DrawCanary(versionService)
	decision := r.admitter.Submit(request, k.NowUs())
	if decision.Admission == nil {
		return
	}
	adm := decision.Admission
	isNew := adm.Runner.Version == versionTarget
	h.recordSent(r, isNew)
	h.active[versionIndex(isNew)][adm.Runner.ID]++
	failed, tookUs := h.answer(adm, isNew, kind)
	r.process.After(tookUs, func() {
		if !failed {
			r.admitter.RecordFirstToken(adm, k.NowUs())
		}
	})
	streamUs := tookUs + k.Between(0, 400*Millisecond)
	k.After(streamUs, func() {
		h.active[versionIndex(isNew)][adm.Runner.ID]--
		h.recordAnswered(isNew, failed || tookUs > versionFirstTokenUs*versionSlowFactor/2)
	})
	r.process.After(streamUs, func() {
		r.admitter.RecordOutcome(adm, !failed, k.NowUs())
		r.admitter.Release(adm, true, k.NowUs())
	})
}

func versionIndex(isNew bool) int {
	if isNew {
		return 1
	}
	return 0
}

// answer chooses a runner's response at random: whether it fails, and its time to first token.
func (h *versionHistory) answer(adm *admission.Admission, isNew bool, kind int) (failed bool, tookUs int64) {
	k := h.kernel
	chance := func(share float64) bool { return k.Chance(int(share * 1000)) }
	tookUs = k.Between(versionFirstTokenUs/2, versionFirstTokenUs*3/2)
	failed = chance(h.background)
	if !isNew || !chance(h.badShare) {
		return failed, tookUs
	}
	switch h.badness {
	case failingVersion:
		failed = true
	case lateVersion:
		failed = failed || k.NowUs() > versionOrderUs+h.lateUs
	case slowVersion:
		tookUs *= versionSlowFactor
	case oneKindVersion:
		failed = failed || kind == 0
	case loadedVersion:
		failed = failed || h.active[1][adm.Runner.ID] >= versionLoadedThreshold
	}
	return failed, tookUs
}
