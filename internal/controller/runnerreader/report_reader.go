package runnerreader

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
)

// reportsPause is the time between two reads of a runner's load report.
const reportsPause = time.Second

// readReports reads a runner's load report about once a second until ctx ends, and publishes it.
func (r *Readers) readReports(ctx context.Context, runner messages.RunnerRecord) {
	for ctx.Err() == nil {
		if report, err := r.config.API.Report(ctx, runner); err == nil {
			r.config.PublishReport(messages.RunnerReport{
				ID:     runner.ID,
				Used:   report.CacheUsed,
				Total:  report.CacheTotal,
				Active: report.Active,
				Queued: report.Queued,
			})
		}
		loop.Pause(ctx, reportsPause)
	}
}
