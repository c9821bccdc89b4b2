package controller

import (
	"context"
	"encoding/json"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
)

const reportsPause = time.Second

// readReports fetches a runner's load report about once a second until ctx ends.
func (d *Controller) readReports(ctx context.Context, n messages.RunnerRecord) {
	for ctx.Err() == nil {
		if r, ok := d.report(ctx, n); ok {
			d.publishReport(messages.RunnerReport{ID: n.ID, Used: r.CacheUsed, Total: r.CacheTotal, Active: r.Active, Queued: r.Queued})
		}
		loop.Pause(ctx, reportsPause)
	}
}

// report fetches the load report of a runner.
func (d *Controller) report(ctx context.Context, n messages.RunnerRecord) (api.Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	status, body, err := d.connPool.Ask(ctx, n.Addr, "GET", "/api/report", withTarget(n, map[string]string{}), nil)
	var r api.Report
	return r, err == nil && status == 200 && json.Unmarshal(body, &r) == nil
}
