// The metrics of a router (docs/operating/metrics.md).

package router

import (
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"beechtide.org/beechtide/internal/metrics"
)

func (r *Router) metricsServer() *metrics.Server {
	return metrics.NewServer(metrics.Config{Addr: r.set.RouterMetricsAddr(), Log: r.log}, slices.Concat(
		metrics.Node(r.transport, r.publisher, &r.counters.subscriptions),
		r.requestMetrics(), r.configMetrics(), r.partitionMetrics(), r.reachMetrics(), metrics.ResponseMemory(r.connPool.Budget()),
	)...)
}

// requestMetrics returns the metrics of requests and attempts.
func (r *Router) requestMetrics() []prometheus.Collector {
	counters := &r.counters
	return []prometheus.Collector{
		metrics.Counter("beechtide_requests_answered_total", "Requests with a complete answer.", nil, func(emit metrics.Emit) {
			emit(float64(counters.answered.Load()))
		}),
		metrics.Counter("beechtide_requests_rejected_total", "Requests that were rejected, by status and reason.", []string{"status", "reason"}, func(emit metrics.Emit) {
			counters.rejections.visit(func(rejected rejection, count int64) {
				emit(float64(count), strconv.Itoa(rejected.status), string(rejected.reason))
			})
		}),
		metrics.Counter("beechtide_requests_cut_total", "Requests with neither a complete answer nor a rejection, by cause.", []string{"cause"}, func(emit metrics.Emit) {
			for reason, name := range cutReasonNames {
				emit(float64(counters.cuts[reason].Load()), name)
			}
		}),
		metrics.Gauge("beechtide_requests_in_flight", "Requests that have begun and not ended.", nil, func(emit metrics.Emit) {
			emit(float64(r.inFlight.Load()))
		}),
		metrics.Gauge("beechtide_requests_queued", "Requests that wait for a runner.", nil, func(emit metrics.Emit) {
			emit(float64(r.slab.Len()))
		}),
		metrics.Counter("beechtide_attempts_total", "Attempts that ended, by result.", []string{"result"}, func(emit metrics.Emit) {
			for result, name := range attemptNames {
				emit(float64(counters.attempts[result].Load()), name)
			}
		}),
		metrics.Counter("beechtide_quota_tokens_total", "Tokens of tenants with a limit: granted; denied at the limit; unowned, requests that ran without one as no owner answered; unknown, requests rejected for that.", []string{"outcome"}, func(emit metrics.Emit) {
			counts := r.quotas.Counts()
			emit(float64(counts.Granted), "granted")
			emit(float64(counts.Denied), "denied")
			emit(float64(counts.Unowned), "unowned")
			emit(float64(counts.Unknown), "unknown")
		}),
		metrics.Gauge("beechtide_retired_left", "Of the retired weights of a model: runners that still have them, and parts of prompts that these have cached.", []string{"model", "what"}, func(emit metrics.Emit) {
			for _, retirement := range r.retiredConditions() {
				emit(float64(retirement.Runners), retirement.Model, "runners")
				emit(float64(retirement.Parts), retirement.Model, "parts")
			}
		}),
		metrics.Gauge("beechtide_draining", "1 while the process shuts down.", nil, func(emit metrics.Emit) {
			emit(metrics.Bool(r.draining()))
		}),
		metrics.Counter("beechtide_requests_taken_while_draining_total", "Requests that began while the process shut down.", nil, func(emit metrics.Emit) {
			emit(float64(counters.acceptedWhileDraining.Load()))
		}),
	}
}

// configMetrics returns the metrics of the distribution of the configuration to this node.
func (r *Router) configMetrics() []prometheus.Collector {
	counters := &r.counters
	return []prometheus.Collector{
		metrics.Gauge("beechtide_config_version", "Version of the configuration: in force as the operator numbers it, and as the register does.", []string{"of"}, func(emit metrics.Emit) {
			r.stateMu.Lock()
			register := r.configuration.Version()
			r.stateMu.Unlock()
			emit(float64(register), "register")
			if t := r.table.Load(); t != nil {
				emit(float64(t.Version), "in_force")
			}
		}),
		metrics.Gauge("beechtide_config_lag_seconds", "For how long a newer version has been known here and not in force.", nil, func(emit metrics.Emit) {
			emit(r.lag.lag(r.clock()).Seconds())
		}),
		metrics.Durations("beechtide_config_catch_up_seconds", "Time from the first word of a newer version to when it was in force.", &r.lag.catchUps),
		metrics.Gauge("beechtide_feed_age_seconds", "Time since the parent, in reach of the core, last sent an update.", nil, func(emit metrics.Emit) {
			emit(time.Duration((r.clock() - r.lastUpdateUs.Load()) * int64(time.Microsecond)).Seconds())
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
			emit(float64(len(r.registry.Snapshot().ByID)))
		}),
	}
}

// emit emits the counts by outcome.
func (c *callCounts) emit(emit metrics.Emit) {
	emit(float64(c.begun.Load()), "asked")
	emit(float64(c.answered.Load()), "answered")
	emit(float64(c.timedOut.Load()), "timed_out")
	emit(float64(c.failed.Load()), "failed")
}
