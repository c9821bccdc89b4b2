// Absent runners. One that answers 421 leaves the candidates (package admission says
// how); its idle connections are closed, and probes check whether it is there after
// all, so that a response that meant something else removes no runner for good.

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

// statusWrongInstance is what a runner answers that is not the one named, or
// whose weights have another version; it has not run the request.
const statusWrongInstance = http.StatusMisdirectedRequest

// Probes of runners that may be gone.
const (
	missingEvery = 100 * time.Millisecond // how often due probes are looked for while a runner is missing
	missingWait  = time.Second            // for one answer
)

// otherWeights tells whether the 421 of a runner says that it is about the weights:
// it names a version, and not the one that was asked for.
func otherWeights(adm *admission.Admission, r *protocol.Response) bool {
	version, err := strconv.ParseInt(r.Header.Get(hWeights), 10, 64)
	return err == nil && adm.WeightsVersion > 0 && version != adm.WeightsVersion
}

// wrongInstance notes that a runner answered 421. One that only has other weights
// is there; it has no place for a short while, until its new version is known.
func (r *Router) wrongInstance(adm *admission.Admission, otherWeights bool) {
	expected := adm.WeightsVersion > 0
	left := false
	r.admissionMu.Lock()
	if otherWeights {
		r.admission.RecordRejection(adm, r.clock())
	} else {
		left = r.admission.RecordWrongInstance(adm, expected, r.clock())
	}
	r.admissionMu.Unlock()
	if !left {
		return
	}
	if !expected {
		r.confirmAbsent(adm.Runner)
	}
	signal(r.missing)
}

// confirmAbsent closes the connections to the address of a runner that is not
// there, and has the others told.
func (r *Router) confirmAbsent(n messages.RunnerRecord) {
	r.log.Info("a runner is not at its address", "runner", n.ID, "address", n.Addr)
	r.connPool.Drop(n.Addr)
	signal(r.loadsChanged)
}

// probeAbsent probes missing runners for as long as there are any.
func (r *Router) probeAbsent(ctx context.Context) {
	for {
		select {
		case <-r.missing:
		case <-ctx.Done():
			return
		}
		for r.probeDue(ctx) {
			loop.Pause(ctx, missingEvery)
		}
	}
}

// probeDue makes the probes that are due and tells whether a runner is missing.
func (r *Router) probeDue(ctx context.Context) bool {
	r.admissionMu.Lock()
	due, missing := r.admission.DueProbes(r.clock())
	r.admissionMu.Unlock()
	var wg sync.WaitGroup
	for _, n := range due {
		wg.Go(func() { r.probe(ctx, n) })
	}
	wg.Wait()
	return missing && ctx.Err() == nil
}

// probe looks which instance answers at a runner's address.
func (r *Router) probe(ctx context.Context, n messages.RunnerRecord) {
	t := r.table.Load()
	if t == nil {
		return
	}
	s := t.Service(n.Service)
	if s == nil {
		return
	}
	what := admission.PresenceUnprobed
	if s.Probe != "" {
		what = r.identifyInstance(ctx, n, s.Probe)
	}
	r.admissionMu.Lock()
	sure := r.admission.RecordProbe(n, what, r.clock())
	r.admissionMu.Unlock()
	if sure {
		r.confirmAbsent(n)
	}
	r.wakeQueue()
}

// identifyInstance asks at a runner's address whether it is there.
func (r *Router) identifyInstance(ctx context.Context, n messages.RunnerRecord, path string) admission.Presence {
	ctx, cancel := context.WithTimeout(ctx, missingWait)
	defer cancel()
	status, found, err := r.connPool.Probe(ctx, n.Addr, path, hInstance, map[string]string{hTarget: n.ID})
	switch {
	case err != nil:
		return admission.PresenceUnknown
	case found == n.ID:
		return admission.PresenceConfirmed
	case status == statusWrongInstance || found != "":
		return admission.PresenceMismatch
	}
	return admission.PresenceUnknown
}
