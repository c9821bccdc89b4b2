// Heartbeats to controllers, and the announcement that a runner leaves.

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
	callTimeout     = time.Second // an acknowledgement that comes later doesn't count
	maxCallResponse = 4096        // bytes
	leaveRetryPause = 200 * time.Millisecond
	contentTypeJSON = "application/json"
)

// errNotAcknowledged says that no controller took a heartbeat.
var errNotAcknowledged = errors.New("standin: no controller acknowledged")

// callClient opens a connection for each call, so that a broken one isn't used twice.
var callClient = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

func (r *Runner) sendHeartbeats(ctx context.Context) {
	loop.Every(ctx, r.config.HeartbeatEvery, func() {
		r.announcing.Lock()
		defer r.announcing.Unlock()
		if !r.left {
			_ = r.sendHeartbeat(ctx)
		}
	})
}

// announceLeave sends the leave, after a periodic heartbeat that is under way; none
// follows it.
func (r *Runner) announceLeave(ctx context.Context) {
	r.announcing.Lock()
	defer r.announcing.Unlock()
	r.left = true
	_ = r.sendLeave(ctx)
}

// sendHeartbeat sends one heartbeat: to the controller named last, else to the others in
// random order until one acknowledges.
func (r *Runner) sendHeartbeat(ctx context.Context) error {
	for _, address := range r.controllersInTurn() {
		body, err := json.Marshal(r.heartbeat())
		if err != nil {
			return errors.Wrap(err, "standin: heartbeat")
		}
		raw, err := post(ctx, r.config.Translate(address), "/api/Runners.Heartbeat/"+r.id, body)
		if err == nil {
			r.noteBeatTo(address, raw)
			return nil
		}
		r.noteBeatTo("", nil)
	}
	return errNotAcknowledged
}

func (r *Runner) sendLeave(ctx context.Context) error {
	for _, address := range r.controllersInTurn() {
		if _, err := post(ctx, r.config.Translate(address), "/api/Runners.Leave/"+r.id, nil); err == nil {
			return nil
		}
	}
	return errNotAcknowledged
}

// controllersInTurn lists the controllers to call, the one named for later heartbeats
// first.
func (r *Runner) controllersInTurn() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	if r.beatTo != "" {
		addresses = append(addresses, r.beatTo)
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
		Models: []api.HeartbeatModel{{Name: r.config.Model, Version: r.weights.inForce()}},
	}
}

// noteBeatTo keeps where later heartbeats go: where the response says so, else to the
// controller that answered. It forgets the place where raw is nil.
func (r *Runner) noteBeatTo(address string, raw []byte) {
	var response api.HeartbeatResponse
	if len(raw) > 0 && json.Unmarshal(raw, &response) == nil && response.BeatTo != "" {
		address = response.BeatTo
	}
	r.mu.Lock()
	r.beatTo = address
	r.mu.Unlock()
}

func post(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "standin: call")
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	response, err := callClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "standin: call")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxCallResponse))
	if err != nil {
		return nil, errors.Wrap(err, "standin: call")
	}
	if response.StatusCode/100 != 2 {
		return nil, errors.Errorf("standin: %s answered %d", path, response.StatusCode)
	}
	return raw, nil
}
