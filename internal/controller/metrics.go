// The metrics of a controller (docs/operating/metrics.md).

package controller

import (
	"slices"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/metrics"
)

func (c *Controller) metricsServer() *metrics.Server {
	return metrics.NewServer(metrics.Config{Addr: c.set.ControllerMetricsAddr(), Log: c.log}, slices.Concat(
		metrics.Node(c.transport, c.publisher, &c.counters.subscriptions),
		c.consensusMetrics(), c.callMetrics(), c.platformMetrics(), c.quotaMetrics(), c.partitionMetrics(), metrics.ResponseMemory(c.connPool.Budget()),
	)...)
}

// consensusMetrics returns the metrics of the registers and of the contact lease.
func (c *Controller) consensusMetrics() []prometheus.Collector {
	counts := c.registers.Counts()
	return []prometheus.Collector{
		metrics.Gauge("beechtide_register_version", "Newest committed version of each register that is known here.", []string{"register"}, func(emit metrics.Emit) {
			for register := range consensus.RegisterCount {
				v, _ := c.registers.Committed(register)
				emit(float64(v.Version), strconv.Itoa(register))
			}
		}),
		metrics.Gauge("beechtide_register_unfinished", "1 where this member has accepted a value and does not know whether it is committed.", []string{"register"}, func(emit metrics.Emit) {
			for register := range consensus.RegisterCount {
				_, unfinished := c.registers.UnfinishedVersion(register)
				emit(metrics.Bool(unfinished), strconv.Itoa(register))
			}
		}),
		metrics.Gauge("beechtide_config_version", "Version of the configuration: in force as the operator numbers it, and as the register does.", []string{"of"}, func(emit metrics.Emit) {
			emit(float64(c.publishedVersions()[consensus.ConfigRegister]), "register")
			if t := c.table.Load(); t != nil {
				emit(float64(t.Version), "in_force")
			}
			emit(float64(c.operator.Acknowledged()), "acknowledged")
		}),
		metrics.Durations("beechtide_config_publish_seconds", "Time from when a committed configuration was known to when it was in force here.", &c.counters.publishes),
		metrics.Counter("beechtide_consensus_rounds_total", "Rounds that this member has run, by outcome.", []string{"outcome"}, func(emit metrics.Emit) {
			for outcome, count := range counts.Rounds() {
				emit(float64(count), outcome)
			}
		}),
		metrics.Durations("beechtide_consensus_round_seconds", "How long rounds took, whatever their outcome.", &counts.RoundDurations),
		metrics.Counter("beechtide_consensus_reads_total", "Questions to a group for its newest value, by result.", []string{"result"}, func(emit metrics.Emit) {
			for result, count := range counts.Reads() {
				emit(float64(count), result)
			}
		}),
		metrics.Gauge("beechtide_contact", "1 while this controller holds the lease of contact with a majority.", nil, func(emit metrics.Emit) {
			emit(metrics.Bool(c.inContact()))
		}),
		metrics.Gauge("beechtide_disk_save_seconds", "How long the last write of a record took.", nil, func(emit metrics.Emit) {
			tookUs, _ := c.registers.LastSave()
			emit(float64(tookUs) / 1e6)
		}),
	}
}

// callMetrics returns the metrics of the calls of runners and of the operator, and the numbers of
// known runners and nodes.
func (c *Controller) callMetrics() []prometheus.Collector {
	calls := &c.counters.calls
	return []prometheus.Collector{
		metrics.Counter("beechtide_calls_total", "Calls of runners and of the operator: done, unconfirmed (3xx), rejected for what they ask, or unsure (5xx).", []string{"call", "outcome"}, func(emit metrics.Emit) {
			for kind, name := range callNames {
				emit(float64(calls[kind].done.Load()), name, "done")
				emit(float64(calls[kind].unconfirmed.Load()), name, "unconfirmed")
				emit(float64(calls[kind].rejected.Load()), name, "rejected")
				emit(float64(calls[kind].unsure.Load()), name, "unsure")
			}
		}),
		metrics.Durations("beechtide_config_replace_seconds", "How long changes of the configuration took to be answered.", &calls[callReplace].durations),
		metrics.Durations("beechtide_config_read_seconds", "How long reads of the configuration took to be answered.", &calls[callRead].durations),
		metrics.Gauge("beechtide_runners", "Runners that are known.", nil, func(emit metrics.Emit) {
			emit(float64(len(c.registry.Snapshot().ByID)))
		}),
		metrics.Gauge("beechtide_nodes", "Nodes that are not known to be dead, by role.", []string{"role"}, func(emit metrics.Emit) {
			emit(float64(len(c.monitor.Alive(messages.Controller))), "controller")
			emit(float64(len(c.monitor.Alive(messages.Router))), "router")
		}),
	}
}

// platformMetrics returns the metrics of the calls to the platform.
func (c *Controller) platformMetrics() []prometheus.Collector {
	collectors := []prometheus.Collector{
		metrics.Counter("beechtide_platform_calls_total", "Calls to the platform that this controller made as the holder of a lease, by outcome.", []string{"outcome"}, func(emit metrics.Emit) {
			for outcome, count := range c.platform.OutcomeCounts() {
				emit(float64(count), outcome)
			}
		}),
		metrics.Gauge("beechtide_duty_fence", "Fencing token of the lease of each duty at the platform, where this controller holds it.", []string{"duty"}, func(emit metrics.Emit) {
			for _, duty := range c.dutyConditions() {
				if duty.Holder == c.registers.ID() {
					emit(float64(duty.Fence), duty.Name)
				}
			}
		}),
		metrics.Gauge("beechtide_runners_in_zone", "Runners of each service and zone that are present, ordered, and that the requests would keep busy all the time, at the controller that orders them.", []string{"service", "zone", "of"}, func(emit metrics.Emit) {
			if c.scaler == nil {
				return
			}
			for _, condition := range c.scaler.Conditions() {
				emit(float64(condition.Present), condition.Service, condition.Zone, "present")
				emit(float64(condition.Ordered), condition.Service, condition.Zone, "ordered")
				emit(condition.Demand, condition.Service, condition.Zone, "demand")
			}
		}),
	}
	if c.usage == nil {
		return collectors
	}
	return append(collectors,
		metrics.Counter("beechtide_usage_windows_closed_total", "Windows of usage whose counts were agreed on by this controller.", nil, func(emit metrics.Emit) {
			emit(float64(c.usage.ClosedWindows()))
		}),
		metrics.Counter("beechtide_usage_late_rows_total", "Counts of routers that came after their window was closed, and changed nothing.", nil, func(emit metrics.Emit) {
			emit(float64(c.usage.LateRows()))
		}),
		metrics.Gauge("beechtide_usage_unreported_seconds", "Time since the end of the oldest window that the platform may not have; 0 if there is none.", nil, func(emit metrics.Emit) {
			emit(c.usage.UnreportedAge().Seconds())
		}),
	)
}

// quotaMetrics returns the metrics of the rate limits of tenants.
func (c *Controller) quotaMetrics() []prometheus.Collector {
	gauge := func(name, help string, labels []string, emit func(metrics.Emit, []messages.QuotaCondition)) prometheus.Collector {
		return metrics.Gauge(name, help, labels, func(out metrics.Emit) { emit(out, c.quotas.Conditions()) })
	}
	return []prometheus.Collector{
		metrics.Gauge("beechtide_quota_shards_owned", "Shards of tenants whose requests this controller counts.", nil, func(emit metrics.Emit) {
			emit(float64(c.quotas.Counts().OwnedShards))
		}),
		metrics.Counter("beechtide_quota_questions_total", "Questions of routers for tokens: answered, or passed to another controller.", []string{"outcome"}, func(emit metrics.Emit) {
			counts := c.quotas.Counts()
			emit(float64(counts.TokenRequests-counts.Referred), "answered")
			emit(float64(counts.Referred), "passed")
		}),
		gauge("beechtide_quota_level", "Tokens left, of each tenant that this controller counts.", []string{"tenant"}, func(emit metrics.Emit, conditions []messages.QuotaCondition) {
			for _, condition := range conditions {
				emit(condition.Level, condition.Tenant)
			}
		}),
		gauge("beechtide_quota_tokens", "Tokens granted and denied since this controller owns the tenant's count.", []string{"tenant", "outcome"}, func(emit metrics.Emit, conditions []messages.QuotaCondition) {
			for _, condition := range conditions {
				emit(float64(condition.Granted), condition.Tenant, "granted")
				emit(float64(condition.Denied), condition.Tenant, "denied")
			}
		}),
	}
}
