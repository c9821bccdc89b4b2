// Absent runners. A runner that answers 421 is removed from the candidates (see package admission)
// and its idle connections are closed. Probes then check whether it is present after all, so that
// a 421 with another cause does not remove a runner permanently.

package router

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
)

// statusWrongInstance is the status of a runner that is not the one addressed, or whose weights
// have another version than expected. It has not run the request.
const statusWrongInstance = http.StatusMisdirectedRequest

// Timing of probes of runners that may be absent.
const (
	probeCheckInterval = 100 * time.Millisecond // interval of checks for due probes while a runner is missing
	probeTimeout       = time.Second            // timeout of one probe
)

// hasOtherWeights reports whether a 421 was caused by the weights: the response names a version other
// than the expected one.
func hasOtherWeights(adm *admission.Admission, r *protocol.Response) bool {
	version, err := strconv.ParseInt(r.Header.Get(hWeights), 10, 64)
	return err == nil && adm.WeightsVersion > 0 && version != adm.WeightsVersion
}

// handleMisdirected records that a runner answered 421. A runner that only has other weights is
// present; it is treated as full for a short time, until its new version has been received.
func (r *Router) handleMisdirected(adm *admission.Admission, otherWeights bool) {
	hasExpectedVersion := adm.WeightsVersion > 0
	removed := false
	r.admissionMu.Lock()
	if otherWeights {
		r.admission.RecordRejection(adm, r.clock())
	} else {
		removed = r.admission.RecordWrongInstance(adm, hasExpectedVersion, r.clock())
	}
	r.admissionMu.Unlock()
	if !removed {
		return
	}
	if !hasExpectedVersion {
		r.confirmAbsent(adm.Runner)
	}
	signal(r.probesPending)
}

// confirmAbsent closes the connections to the address of an absent runner and schedules a load
// report, which carries the absence to the other nodes.
func (r *Router) confirmAbsent(runner messages.RunnerRecord) {
	r.log.Info("runner is not at its address", "runner", runner.ID, "address", runner.Addr)
	r.connPool.CloseIdle(runner.Addr)
	signal(r.loadsChanged)
}

// probeAbsent probes missing runners while there are any, until ctx ends.
func (r *Router) probeAbsent(ctx context.Context) {
	for {
		select {
		case <-r.probesPending:
		case <-ctx.Done():
			return
		}
		for r.probeDue(ctx) {
			loop.Pause(ctx, probeCheckInterval)
		}
	}
}

// probeDue runs the probes that are due and reports whether a runner is still missing.
func (r *Router) probeDue(ctx context.Context) bool {
	r.admissionMu.Lock()
	due, missing := r.admission.DueProbes(r.clock())
	r.admissionMu.Unlock()
	var wg sync.WaitGroup
	for _, runner := range due {
		wg.Go(func() { r.probe(ctx, runner) })
	}
	wg.Wait()
	return missing && ctx.Err() == nil
}

// probe checks which instance answers at a runner's address and passes the result to the admission
// control.
func (r *Router) probe(ctx context.Context, runner messages.RunnerRecord) {
	table := r.table.Load()
	if table == nil {
		return
	}
	service := table.Service(runner.Service)
	if service == nil {
		return
	}
	presence := admission.PresenceUnprobed
	if service.Probe != "" {
		presence = r.identifyInstance(ctx, runner, service.Probe)
	}
	r.admissionMu.Lock()
	absent := r.admission.RecordProbe(runner, presence, r.clock())
	r.admissionMu.Unlock()
	if absent {
		r.confirmAbsent(runner)
	}
	r.wakeQueue()
}

// identifyInstance sends a probe to a runner's address and evaluates which instance has answered.
func (r *Router) identifyInstance(ctx context.Context, runner messages.RunnerRecord, path string) admission.Presence {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, instance, err := r.connPool.Probe(ctx, runner.Addr, path, hInstance, map[string]string{hTarget: runner.ID})
	switch {
	case err != nil:
		return admission.PresenceUnknown
	case instance == runner.ID:
		return admission.PresenceConfirmed
	case status == statusWrongInstance || instance != "":
		return admission.PresenceMismatch
	}
	return admission.PresenceUnknown
}
