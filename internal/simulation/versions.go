// Model "versions": canary rollouts of services under faults. The admission.Admitter of every
// router and the canary.Plan of the lease holder are the production code; the register and its
// lease are one value that changes only while a majority of the controllers is up. New versions
// are good, or bad in one of several ways.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/messages"
)

// Bounds of the deployment and durations of a history.
const (
	versionService         = "s"
	versionTarget          = "v2"
	versionOrderUs         = 5 * Second
	versionExposure        = 0.1
	versionSlack           = 50
	versionRollbackUs      = 5 * Second
	versionBadLimit        = 50
	versionContactUs       = 5 * Second
	versionTakeoverUs      = 3 * Second
	versionStepUs          = 100 * Millisecond
	versionReportUs        = 100 * Millisecond
	versionRecoveryUs      = 5 * Second // after the end of the rollout's duration
	versionRunners         = 24         // of each version
	versionPromptTokens    = 800
	versionFirstTokenUs    = 30 * Millisecond // mean time to the first token
	versionSlowFactor      = 8
	versionLoadedThreshold = 3 // active requests from which a runner counts as loaded
)

// badness is the way in which a version is bad.
type badness int

const (
	goodVersion badness = iota
	failingVersion
	lateVersion // fails from lateUs after the order on
	slowVersion
	oneKindVersion // fails requests of one kind
	loadedVersion  // fails on loaded runners
	badnessKinds
)

var badnessNames = [badnessKinds]string{"good", "failing", "late", "slow", "one kind", "under load"}

// versionHistory is the state of one simulated history.
type versionHistory struct {
	kernel       *Kernel
	defects      Defects
	controllers  []*versionController
	routers      []*versionRouter
	badness      badness
	badShare     float64
	lateUs       int64
	durationUs   int64
	background   float64 // share of responses that fail, whatever the version
	register     []messages.ServiceRollout
	holder       *versionController
	holderDownUs int64 // time since which the holder is down, 0 while it is up
	active       [2]map[string]int
	checks       versionChecks
	counts       Counts
}

// versionController is a controller that may hold the lease.
type versionController struct {
	process *Process
	plan    *canary.Plan
	busy    bool
}

// versionRouter is a router with its own admitter.
type versionRouter struct {
	history     *versionHistory
	process     *Process
	admitter    *admission.Admitter
	reported    map[string]messages.RunnerLoad // loads last received by the controllers
	partitioned bool                           // partitioned from the controllers in both directions
	lastFaultUs int64                          // time at which its last fault started or ended
}

// versionChecks holds the counts and times that the checks need.
type versionChecks struct {
	requests, exposed int // requests since the order; exposed only counts routers in contact
	badResponses      int // bad responses of the new version since the last controller fault
	limitReachedUs    int64
	lastExposedUs     int64 // time of the latest request to the new version
	coreFaultUs       int64 // time of the last controller fault
	hadFault          bool  // there was any fault during the rollout
}

// PlayVersions simulates the canary rollout of a seed.
func PlayVersions(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	h := &versionHistory{kernel: k, defects: options.Defects, badness: badness(k.Below(int(badnessKinds))), durationUs: k.Between(10*Second, 20*Second)}
	h.badShare = float64(k.Between(300, 600)) / 1000
	h.lateUs = k.Between(Second, 5*Second)
	if k.Chance(300) {
		h.background = float64(k.Between(20, 150)) / 1000
	}
	k.Log("a version that is %s, %.2f of its answers, over %d us", badnessNames[h.badness], h.badShare, h.durationUs)
	for i := range h.active {
		h.active[i] = map[string]int{}
	}
	for range 3 {
		c := &versionController{process: NewProcess(k)}
		c.process.Start()
		h.controllers = append(h.controllers, c)
		h.runController(c)
	}
	for range 4 + k.Below(8) {
		r := &versionRouter{history: h, process: NewProcess(k)}
		r.boot()
		h.routers = append(h.routers, r)
	}
	pauseUs := k.Between(2*Millisecond, 8*Millisecond)
	h.generateRequests(pauseUs)
	k.After(versionOrderUs, h.startRollout)
	if k.Chance(600) {
		h.scheduleFaults()
	}
	k.RunUntil(versionOrderUs + h.durationUs + versionRecoveryUs)
	h.checkOutcome()
	h.counts.VersionHistories = 1
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: h.counts}
}

// startRollout starts the rollout, as an operator would.
func (h *versionHistory) startRollout() {
	wanted := canary.Order{Service: versionService, Target: versionTarget, DurationUs: h.durationUs}
	bounds := canary.Bounds{Exposure: versionExposure, Slack: versionSlack}
	next, _, err := canary.Begin(h.register, wanted, bounds, h.kernel.NowUs())
	if err != nil {
		h.kernel.Fail("an order is refused: %v", err)
		return
	}
	h.commit(next)
}

// commit stores a new value in the register; routers receive it after a delay.
func (h *versionHistory) commit(next []messages.ServiceRollout) {
	h.register = next
	h.kernel.Log("stage %d, share %d", next[0].Stage, next[0].SharePerMille)
	for _, r := range h.routers {
		h.kernel.After(h.kernel.Between(20*Millisecond, 400*Millisecond), r.applyRegister)
	}
}

// generateRequests delivers requests to random routers at random intervals.
func (h *versionHistory) generateRequests(pauseUs int64) {
	h.kernel.After(h.kernel.Between(0, 2*pauseUs), func() {
		r := h.routers[h.kernel.Below(len(h.routers))]
		r.process.Deliver(r.serve)
		h.generateRequests(pauseUs)
	})
}

// runController periodically runs the lease and rollout logic of a controller.
func (h *versionHistory) runController(c *versionController) {
	c.process.After(h.kernel.Between(versionStepUs/2, versionStepUs), func() {
		h.takeOver(c)
		if h.holder == c && !c.busy && len(h.register) > 0 {
			h.advance(c)
		}
		h.runController(c)
	})
}

// takeOver acquires the lease if its holder has been down for longer than versionTakeoverUs.
func (h *versionHistory) takeOver(c *versionController) {
	nowUs := h.kernel.NowUs()
	switch {
	case h.holder == nil, h.holderDownUs > 0 && nowUs-h.holderDownUs > versionTakeoverUs:
		h.holder, h.holderDownUs = c, 0
		c.plan, c.busy = &canary.Plan{}, false
	case h.holder.process.Up() && !h.holder.process.frozen:
		h.holderDownUs = 0
	case h.holderDownUs == 0:
		h.holderDownUs = nowUs
	}
}

// advance performs the next step of the plan if a majority of the controllers is up.
func (h *versionHistory) advance(c *versionController) {
	current := h.register[0]
	view := h.view(current)
	step := c.plan.Step(view)
	if h.defects.SkipCanary && view.Stage == canary.Trial {
		step = canary.Step{Stage: canary.Shifting, SharePerMille: view.Share}
	}
	if step.Stage == view.Stage && step.SharePerMille == view.Share {
		return
	}
	c.busy = true
	c.process.After(h.kernel.Between(5*Millisecond, 150*Millisecond), func() {
		c.busy = false
		if h.holder != c || !h.hasMajority() {
			return
		}
		if next, changed := canary.Advance(h.register, current, step); changed {
			h.kernel.Log("%q by %v", step.Reason, view.Evidence)
			h.commit(next)
		}
	})
}

func (h *versionHistory) hasMajority() bool {
	up := 0
	for _, c := range h.controllers {
		if c.process.Up() && !c.process.frozen {
			up++
		}
	}
	return 2*up > len(h.controllers)
}

// view returns the plan's input: the sums of the loads that the routers have reported.
func (h *versionHistory) view(r messages.ServiceRollout) canary.View {
	sums := map[string]messages.RunnerLoad{}
	for _, router := range h.routers {
		for id, load := range router.reported {
			sum := sums[id]
			sum.Tried, sum.Failed, sum.Count = sum.Tried+load.Tried, sum.Failed+load.Failed, sum.Count+load.Count
			sums[id] = sum
		}
	}
	view := canary.View{
		TimeUs: h.kernel.NowUs(), BegunAtUs: r.BegunAtUs, DurationUs: r.OverUs, Stage: canary.Stage(r.Stage), Share: r.SharePerMille,
		Evidence: canary.Evidence{}, NewReady: versionRunners, BaselineReady: versionRunners,
		Bounds: canary.Bounds{Exposure: versionExposure, Slack: versionSlack},
	}
	for id, load := range sums {
		canary.Collect(view.Evidence, r, id, load)
	}
	for i := range versionRunners {
		view.BaselineActive += sums[fmt.Sprint("old", i)].Count
	}
	for name, pair := range view.Evidence {
		switch {
		case h.defects.IgnoreOutcomes:
			view.Evidence[name] = canary.Pair{New: canary.Outcome{Answers: pair.New.Answers}, Baseline: pair.Baseline}
		case h.defects.IgnoreBaseline:
			view.Evidence[name] = canary.Pair{New: pair.New}
		}
	}
	return view
}
