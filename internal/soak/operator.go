// The operator: submits configuration changes and target weights versions, and reads the
// configuration back.

package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/loop"
)

const (
	changeTimeout    = 5 * time.Second  // for one request
	changeRetryTime  = 20 * time.Second // for a definite outcome, over all retries
	changePause      = 200 * time.Millisecond
	readTimeout      = 5 * time.Second
	weightsRetryTime = 60 * time.Second // longer than all faults of a short soak
	maxVersionSteps  = 3
)

type operator struct {
	cluster     *cluster
	recorder    *recorder
	random      *rand.Rand
	client      http.Client
	newestSent  atomic.Int64 // newest version submitted
	baseVersion int64        // last known current version, the base of the next change
}

func newOperator(c *cluster, r *recorder, seed uint64) *operator {
	return &operator{
		cluster: c, recorder: r, random: rand.New(rand.NewPCG(seed, 1)),
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// play submits the planned changes in order, each at its planned time or once the change before
// it has ended.
func (o *operator) play(ctx context.Context, changes []PlannedChange, begin time.Time) {
	for _, planned := range changes {
		loop.Pause(ctx, time.Until(begin.Add(planned.At)))
		if ctx.Err() != nil {
			return
		}
		o.change(ctx, planned.Kind)
	}
}

// change performs one planned change and reads the current version back.
func (o *operator) change(ctx context.Context, kind ChangeKind) {
	switch kind {
	case SetTargetWeights:
		o.setTargetWeights(ctx)
		return
	case LargeChange:
		o.submit(ctx, o.nextVersion(), largeChangeRoutes, "")
	case RacingChange:
		var both sync.WaitGroup
		base, first := o.baseVersion, o.nextVersion()
		second := first + int64(o.random.IntN(2)) // two operators may choose the same version
		o.recordSentVersion(second)
		both.Go(func() { o.send(ctx, base, first, 0, "-one", false) })
		both.Go(func() { o.send(ctx, base, second, 0, "-two", false) })
		both.Wait()
	case RepeatChange:
		base, version := o.baseVersion, o.nextVersion()
		if o.send(ctx, base, version, 0, "", false) == ChangeAcknowledged {
			o.send(ctx, base, version, 0, "", true)
		}
	default:
		o.submit(ctx, o.nextVersion(), 0, "")
	}
	o.readBaseVersion(ctx)
}

func (o *operator) nextVersion() int64 {
	version := max(o.newestSent.Load(), o.baseVersion) + 1 + int64(o.random.IntN(maxVersionSteps))
	o.recordSentVersion(version)
	return version
}

func (o *operator) recordSentVersion(version int64) {
	o.newestSent.Store(max(o.newestSent.Load(), version))
}

// submit submits one change based on the current version.
func (o *operator) submit(ctx context.Context, version int64, extraRoutes int, variant string) ChangeOutcome {
	outcome := o.send(ctx, o.baseVersion, version, extraRoutes, variant, false)
	if outcome == ChangeAcknowledged {
		o.baseVersion = version
	}
	return outcome
}

// send retries a change at random controllers until the outcome is known, and records it.
func (o *operator) send(ctx context.Context, base, version int64, extraRoutes int, variant string, repeat bool) ChangeOutcome {
	raw, err := buildConfiguration(version, extraRoutes, variant)
	if err != nil {
		return ChangeUnknown
	}
	_, sum := configurationDigest(raw)
	change := Change{Version: version, Base: base, Digest: sum, Sent: time.Now(), Outcome: ChangeUnknown, Repeat: repeat}
	for giveUp := change.Sent.Add(changeRetryTime); change.Outcome == ChangeUnknown && time.Now().Before(giveUp) && ctx.Err() == nil; {
		change.Calls++
		change.Outcome = o.replaceConfiguration(ctx, raw, base)
		if change.Outcome == ChangeUnknown {
			loop.Pause(ctx, changePause)
		}
	}
	change.Ended = time.Now()
	o.recorder.update(func(e *Evidence) { e.Changes = append(e.Changes, change) })
	return change.Outcome
}

// replaceConfiguration makes one attempt at a change and derives the outcome from the status.
func (o *operator) replaceConfiguration(ctx context.Context, raw []byte, base int64) ChangeOutcome {
	status := o.post(ctx, "/api/Config.Replace", raw, base)
	switch {
	case status/100 == 2:
		return ChangeAcknowledged
	case status == http.StatusPreconditionFailed:
		return ChangeConflict
	case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		return ChangeRefused
	default:
		return ChangeUnknown
	}
}

// post sends a request to a random controller and returns the status; 0 if there is no complete
// response.
func (o *operator) post(ctx context.Context, path string, raw []byte, base int64) (status int) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	address := o.cluster.controllerProxies[rand.IntN(len(o.cluster.controllerProxies))].address()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Beechtide-Base-Version", strconv.FormatInt(base, 10))
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// setTargetWeights sets the next version of the model's weights as the target, with retries
// until it is acknowledged.
func (o *operator) setTargetWeights(ctx context.Context) {
	target := WeightsTarget{Version: o.cluster.latestWeights.Add(1), Sent: time.Now()}
	raw, err := json.Marshal(api.WeightsVersion{Model: modelName, Version: target.Version})
	if err != nil {
		return
	}
	for ctx.Err() == nil && !target.Acknowledged && time.Since(target.Sent) < weightsRetryTime {
		target.Acknowledged = o.post(ctx, "/api/version-put", raw, 0)/100 == 2
		if !target.Acknowledged {
			loop.Pause(ctx, changePause)
		}
	}
	target.Ended = time.Now()
	o.recorder.update(func(e *Evidence) { e.Namings = append(e.Namings, target) })
}

// readBaseVersion reads the current version from random controllers until one returns it.
func (o *operator) readBaseVersion(ctx context.Context) {
	for ctx.Err() == nil {
		read := o.read(ctx, rand.IntN(len(o.cluster.controllerProxies)), false)
		if read.Status == http.StatusOK {
			o.baseVersion = read.Version
			return
		}
		loop.Pause(ctx, changePause)
	}
}

// read reads the configuration from one controller and records the result.
func (o *operator) read(ctx context.Context, controller int, final bool) Read {
	read := Read{Node: o.cluster.controllers[controller].name(), Sent: time.Now(), Final: final}
	read.Status, read.Version, read.Digest = o.fetch(ctx, controller)
	o.recorder.update(func(e *Evidence) { e.Reads = append(e.Reads, read) })
	return read
}

func (o *operator) fetch(ctx context.Context, controller int) (status int, version int64, sum string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	address := o.cluster.controllerProxies[controller].address()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/Config.Read", nil)
	if err != nil {
		return 0, 0, ""
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, 0, ""
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, 0, ""
	}
	if response.StatusCode == http.StatusOK {
		version, sum = configurationDigest(raw)
	}
	return response.StatusCode, version, sum
}
