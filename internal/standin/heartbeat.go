// Heartbeats to controllers, and the call that deregisters a runner.

package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/loop"
)

const (
	callTimeout     = time.Second // a later acknowledgement counts as none
	maxCallResponse = 4096        // bytes
	leaveRetryPause = 200 * time.Millisecond
	contentTypeJSON = "application/json"
)

// errNotAcknowledged is returned if no controller acknowledged a heartbeat or a leave.
var errNotAcknowledged = errors.New("standin: no controller acknowledged the call")

// callClient opens a connection for each call, so that a broken one isn't reused.
var callClient = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

func (r *Runner) sendHeartbeats(ctx context.Context) {
	loop.Every(ctx, r.config.HeartbeatInterval, func() {
		r.announcing.Lock()
		defer r.announcing.Unlock()
		if !r.left {
			_ = r.sendHeartbeat(ctx)
		}
	})
}

// announceLeave sends the leave call. It first waits for a periodic heartbeat in progress,
// and no periodic heartbeat is sent after it.
func (r *Runner) announceLeave(ctx context.Context) error {
	r.announcing.Lock()
	defer r.announcing.Unlock()
	r.left = true
	for _, address := range r.controllerAddresses() {
		if _, err := post(ctx, r.config.TranslateAddress(address), "/api/Runners.Leave/"+r.id, nil); err == nil {
			return nil
		}
	}
	return errNotAcknowledged
}

// sendHeartbeat sends one heartbeat: first to the controller that the last response
// named, then to the configured ones in random order until one acknowledges it.
func (r *Runner) sendHeartbeat(ctx context.Context) error {
	for _, address := range r.controllerAddresses() {
		body, err := json.Marshal(r.heartbeat())
		if err != nil {
			return errors.Wrap(err, "standin: encode heartbeat")
		}
		raw, err := post(ctx, r.config.TranslateAddress(address), "/api/Runners.Heartbeat/"+r.id, body)
		if err == nil {
			r.setHeartbeatTarget(address, raw)
			return nil
		}
		r.setHeartbeatTarget("", nil)
	}
	return errNotAcknowledged
}

// controllerAddresses returns the addresses of the controllers in the order of the attempts:
// first the heartbeat target named by a controller, then the configured ones at random.
func (r *Runner) controllerAddresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	if r.heartbeatTarget != "" {
		addresses = append(addresses, r.heartbeatTarget)
	}
	for _, i := range rand.Perm(len(r.config.Controllers)) {
		addresses = append(addresses, r.config.Controllers[i])
	}
	return addresses
}

func (r *Runner) heartbeat() api.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	state := api.Ready
	if r.draining {
		state = api.Draining
	}
	return api.Heartbeat{
		Address: r.config.Advertise, Capacity: r.config.Capacity, Service: r.config.Service,
		Zone: r.config.Zone, Version: r.config.SoftwareVersion, State: state, Sequence: r.sequence,
		Models: []api.HeartbeatModel{{Name: r.config.Model, Version: r.weights.activeVersion()}},
	}
}

// setHeartbeatTarget sets the target of later heartbeats: the address in the response, or else
// the controller that responded. An empty address and a nil response clear the target.
func (r *Runner) setHeartbeatTarget(address string, raw []byte) {
	var response api.HeartbeatResponse
	if len(raw) > 0 && json.Unmarshal(raw, &response) == nil && response.BeatTo != "" {
		address = response.BeatTo
	}
	r.mu.Lock()
	r.heartbeatTarget = address
	r.mu.Unlock()
}

func post(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "standin: create request to controller")
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	response, err := callClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "standin: call controller")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxCallResponse))
	if err != nil {
		return nil, errors.Wrap(err, "standin: read response of controller")
	}
	if response.StatusCode/100 != 2 {
		return nil, errors.Errorf("standin: call %s: controller returned status %d", path, response.StatusCode)
	}
	return raw, nil
}
