// The metrics of a router (docs/operating/metrics.md).

package router

import (
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"beechtide.org/beechtide/internal/metrics"
)

func (c *Router) metricsServer() *metrics.Server {
	return metrics.NewServer(metrics.Config{Addr: c.set.RouterMetricsAddr(), Log: c.log}, slices.Concat(
		metrics.Node(c.transport, c.publisher, &c.counters.subscriptions),
		c.requestMetrics(), c.configMetrics(), c.partitionMetrics(), c.reachMetrics(),
	)...)
}

// requestMetrics are the figures of requests and attempts.
func (c *Router) requestMetrics() []prometheus.Collector {
	counters := &c.counters
	return []prometheus.Collector{
		metrics.Counter("beechtide_requests_answered_total", "Requests with a complete answer.", nil, func(emit metrics.Emit) {
			emit(float64(counters.answered.Load()))
		}),
		metrics.Counter("beechtide_requests_rejected_total", "Requests that were rejected, by status and reason.", []string{"status", "reason"}, func(emit metrics.Emit) {
			counters.rejections.visit(func(r rejection, count int64) {
				emit(float64(count), strconv.Itoa(r.status), string(r.reason))
			})
		}),
		metrics.Counter("beechtide_requests_cut_total", "Requests with neither a complete answer nor a rejection, by cause.", []string{"cause"}, func(emit metrics.Emit) {
			for reason, name := range cutReasonNames {
				emit(float64(counters.cuts[reason].Load()), name)
			}
		}),
		metrics.Gauge("beechtide_requests_in_flight", "Requests that have begun and not ended.", nil, func(emit metrics.Emit) {
			emit(float64(c.inFlight.Load()))
		}),
		metrics.Gauge("beechtide_requests_queued", "Requests that wait for a runner.", nil, func(emit metrics.Emit) {
			emit(float64(c.slab.Len()))
		}),
		metrics.Counter("beechtide_attempts_total", "Attempts that ended, by result.", []string{"result"}, func(emit metrics.Emit) {
			for result, name := range attemptNames {
				emit(float64(counters.attempts[result].Load()), name)
			}
		}),
		metrics.Counter("beechtide_quota_tokens_total", "Tokens of tenants with a limit: granted; denied at the limit; unowned, requests that ran without one as no owner answered; unknown, requests rejected for that.", []string{"outcome"}, func(emit metrics.Emit) {
			counts := c.quotas.Counts()
			emit(float64(counts.Granted), "granted")
			emit(float64(counts.Denied), "denied")
			emit(float64(counts.Unowned), "unowned")
			emit(float64(counts.Unknown), "unknown")
		}),
		metrics.Gauge("beechtide_retired_left", "Of the retired weights of a model: runners that still have them, and parts of prompts that these have cached.", []string{"model", "what"}, func(emit metrics.Emit) {
			for _, r := range c.retiredConditions() {
				emit(float64(r.Runners), r.Model, "runners")
				emit(float64(r.Parts), r.Model, "parts")
			}
		}),
		metrics.Gauge("beechtide_draining", "1 while the process shuts down.", nil, func(emit metrics.Emit) {
			emit(metrics.Bool(c.draining()))
		}),
		metrics.Counter("beechtide_requests_taken_while_draining_total", "Requests that began while the process shut down.", nil, func(emit metrics.Emit) {
			emit(float64(counters.takenWhileDraining.Load()))
		}),
	}
}

// configMetrics are the figures of how the configuration reaches this node.
func (c *Router) configMetrics() []prometheus.Collector {
	counters := &c.counters
	return []prometheus.Collector{
		metrics.Gauge("beechtide_config_version", "Version of the configuration: in force as the operator numbers it, and as the register does.", []string{"of"}, func(emit metrics.Emit) {
			c.stateMu.Lock()
			register := c.configuration.Version()
			c.stateMu.Unlock()
			emit(float64(register), "register")
			if t := c.table.Load(); t != nil {
				emit(float64(t.Version), "in_force")
			}
		}),
		metrics.Gauge("beechtide_config_lag_seconds", "For how long a newer version has been known here and not in force.", nil, func(emit metrics.Emit) {
			emit(c.lag.lag(c.clock()).Seconds())
		}),
		metrics.Durations("beechtide_config_catch_up_seconds", "Time from the first word of a newer version to when it was in force.", &c.lag.catchUps),
		metrics.Gauge("beechtide_feed_age_seconds", "Time since the parent, in reach of the core, last sent an update.", nil, func(emit metrics.Emit) {
			emit(time.Duration((c.clock() - c.lastUpdateUs.Load()) * int64(time.Microsecond)).Seconds())
		}),
		metrics.Counter("beechtide_comparisons_total", "Requests for a controller's versions, by outcome.", []string{"outcome"}, counters.comparisons.emit),
		metrics.Counter("beechtide_fetches_total", "Requests for missing state beside the tree, by outcome.", []string{"outcome"}, counters.fetches.emit),
		metrics.Gauge("beechtide_fetches_in_progress", "Fetches of missing state that are under way.", nil, func(emit metrics.Emit) {
			emit(float64(counters.fetches.inProgress.Load()))
		}),
		metrics.Counter("beechtide_denial_checks_total", "Requests whose denial was checked with the core, by outcome.", []string{"outcome"}, func(emit metrics.Emit) {
			for outcome, name := range recheckOutcomeNames {
				emit(float64(counters.rechecks[outcome].Load()), name)
			}
		}),
		metrics.Gauge("beechtide_runners", "Runners that are known.", nil, func(emit metrics.Emit) {
			emit(float64(len(c.registry.Snapshot().ByID)))
		}),
	}
}

// emit gives the counts by outcome.
func (c *callCounts) emit(emit metrics.Emit) {
	emit(float64(c.asked.Load()), "asked")
	emit(float64(c.answered.Load()), "answered")
	emit(float64(c.timedOut.Load()), "timed_out")
	emit(float64(c.failed.Load()), "failed")
}
