package weightrollout

import (
	"context"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
)

// sendAndRecordOrder sends an order and records its answer. A runner that refuses the fencing token has
// received an order of a later holder.
func (d *Driver) sendAndRecordOrder(ctx context.Context, register int, model string, order rollout.Order, grant lease.Grant) {
	answer := rollout.NoAnswer
	if runner, ok := d.config.Runners.Snapshot().ByID[order.ID]; ok {
		answer = d.sendOrder(ctx, register, model, runner, order, grant.Fence)
	}
	if answer == rollout.AlreadyLoaded {
		d.recordWeights(order.ID, model, order.Version)
	}
	if answer == rollout.FenceRefused {
		d.config.Fences.RecordRefusal(register, grant.Fence)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shards[register].RecordAnswer(model, order, answer, d.config.Clock())
}

// sendOrder sends an order under a fencing token.
func (d *Driver) sendOrder(ctx context.Context, register int, model string, runner messages.RunnerRecord, order rollout.Order, fence int64) rollout.Answer {
	body := api.Order{
		Op:       api.Version,
		Model:    model,
		Version:  order.Version,
		Method:   api.Hold,
		Holder:   d.config.Registers.ID(),
		Fence:    fence,
		Expected: order.Expected,
	}
	maySend := func() bool { return d.config.Fences.MayCall(register, fence) }
	status, err := d.config.API.Order(ctx, runner, body, maySend)
	d.config.Log.Info("order", "runner", runner.ID, "version", order.Version, "fence", fence, "status", status, "err", err)
	return rollout.AnswerForStatus(status)
}

// poll requests a runner's report in the background, unless a request to it is in progress, and
// records the state of a model in it.
func (d *Driver) poll(ctx context.Context, register int, model, id string) {
	runner, ok := d.config.Runners.Snapshot().ByID[id]
	d.mu.Lock()
	inProgress := d.polling[id]
	d.polling[id] = ok
	d.mu.Unlock()
	if inProgress || !ok {
		return
	}
	go d.readReport(ctx, register, model, runner)
}

// readReport requests a runner's report and records the state of a model in it.
func (d *Driver) readReport(ctx context.Context, register int, model string, runner messages.RunnerRecord) {
	requestedUs := d.config.Clock()
	report, err := d.config.API.Report(ctx, runner)
	state := modelReport(report, model)
	if err == nil && !state.Busy && state.Version > 0 {
		d.recordWeights(runner.ID, model, state.Version)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.polling, runner.ID)
	if err == nil {
		d.shards[register].RecordReport(model, runner.ID, state, requestedUs, d.config.Clock())
	} else {
		d.shards[register].RecordMissingReport(model, runner.ID)
	}
}

// modelReport returns the state of a model in a report.
func modelReport(report api.Report, model string) rollout.Report {
	state := rollout.Report{Busy: report.Saturated, Idle: report.Active == 0, Sequence: report.Sequence}
	for _, carried := range report.Models {
		if carried.Name == model {
			state.Version = carried.Version
		}
	}
	return state
}

// recordWeights records the version of a model on a runner, and publishes it if it has changed.
func (d *Driver) recordWeights(id, model string, version int64) {
	if record, changed := d.config.Runners.SetWeights(id, model, version); changed {
		d.config.Log.Info("weights in place", "runner", id, "version", version)
		d.config.Publish(record.ID)
	}
}
