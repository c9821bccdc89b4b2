package weightrollout

import (
	"context"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
)

// order sends an order and hands over its answer. A runner that refuses the fence has an
// order of a later holder.
func (d *Driver) order(ctx context.Context, part int, model string, order rollout.Order, grant lease.Grant) {
	answer := rollout.NoAnswer
	if runner, ok := d.config.Runners.Snapshot().ByID[order.ID]; ok {
		answer = d.sendOrder(ctx, part, model, runner, order, grant.Fence)
	}
	if answer == rollout.AlreadyLoaded {
		d.recordWeights(order.ID, model, order.Version)
	}
	if answer == rollout.FenceRefused {
		d.config.Fences.Refuse(part, grant.Fence)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shards[part].RecordAnswer(model, order, answer, d.config.Clock())
}

// sendOrder sends an order under a fence.
func (d *Driver) sendOrder(ctx context.Context, part int, model string, runner messages.RunnerRecord, order rollout.Order, fence int64) rollout.Answer {
	body := api.Order{
		Op:       api.Version,
		Model:    model,
		Version:  order.Version,
		Method:   api.Hold,
		Holder:   d.config.Registers.ID(),
		Fence:    fence,
		Expected: order.Expected,
	}
	mayGo := func() bool { return d.config.Fences.MayCall(part, fence) }
	status, err := d.config.API.Order(ctx, runner, body, mayGo)
	d.config.Log.Info("order", "runner", runner.ID, "version", order.Version, "fence", fence, "status", status, "err", err)
	return rollout.AnswerForStatus(status)
}

// poll asks a runner for its report, one at a time, and hands over what it says of
// a model.
func (d *Driver) poll(ctx context.Context, part int, model, id string) {
	runner, ok := d.config.Runners.Snapshot().ByID[id]
	d.mu.Lock()
	running := d.polling[id]
	d.polling[id] = ok
	d.mu.Unlock()
	if running || !ok {
		return
	}
	go d.readReport(ctx, part, model, runner)
}

// readReport asks a runner for its report and hands it over.
func (d *Driver) readReport(ctx context.Context, part int, model string, runner messages.RunnerRecord) {
	askedUs := d.config.Clock()
	report, err := d.config.API.Report(ctx, runner)
	state := stateOf(report, model)
	if err == nil && !state.Busy && state.Version > 0 {
		d.recordWeights(runner.ID, model, state.Version)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.polling, runner.ID)
	if err == nil {
		d.shards[part].RecordReport(model, runner.ID, state, askedUs, d.config.Clock())
	} else {
		d.shards[part].RecordMissingReport(model, runner.ID)
	}
}

// stateOf returns what a report says of a model.
func stateOf(report api.Report, model string) rollout.Report {
	state := rollout.Report{Busy: report.Saturated, Idle: report.Active == 0, Sequence: report.Sequence}
	for _, carried := range report.Models {
		if carried.Name == model {
			state.Version = carried.Version
		}
	}
	return state
}

// recordWeights notes the version of a model at a runner, and publishes it.
func (d *Driver) recordWeights(id, model string, version int64) {
	if record, changed := d.config.Runners.SetWeights(id, model, version); changed {
		d.config.Log.Info("weights in place", "runner", id, "version", version)
		d.config.Publish(record.ID)
	}
}
