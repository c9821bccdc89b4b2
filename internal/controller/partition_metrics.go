// The metrics of tallies, service rollouts and evacuations (docs/operating/metrics.md).

package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"beechtide.org/beechtide/internal/controller/tallies"
	"beechtide.org/beechtide/internal/metrics"
)

func (c *Controller) partitionMetrics() []prometheus.Collector {
	gauge := func(name, help string, value func(tallies.Counts) float64) prometheus.Collector {
		return metrics.Gauge(name, help, nil, func(emit metrics.Emit) { emit(value(c.tallies.Counts())) })
	}
	counter := func(name, help string, value func(tallies.Counts) int64) prometheus.Collector {
		return metrics.Counter(name, help, nil, func(emit metrics.Emit) { emit(float64(value(c.tallies.Counts()))) })
	}
	return []prometheus.Collector{
		metrics.Gauge("beechtide_tally_adds", "Adds that this replica has: in all logs, and distinct ones, which count.", []string{"of"}, func(emit metrics.Emit) {
			counts := c.tallies.Counts()
			emit(float64(counts.Adds), "logs")
			emit(float64(counts.Distinct), "distinct")
		}),
		gauge("beechtide_tally_unconfirmed", "Adds of this replica's clients that wait for disks.", func(counts tallies.Counts) float64 { return float64(counts.Unconfirmed) }),
		gauge("beechtide_tally_unreachable", "Replicas that do not answer.", func(counts tallies.Counts) float64 { return float64(counts.Unreachable) }),
		gauge("beechtide_tally_disk_bytes", "Bytes of the segments on the disk.", func(counts tallies.Counts) float64 { return float64(counts.DiskBytes) }),
		gauge("beechtide_tally_ready", "1 once this replica has asked the others after its start.", func(counts tallies.Counts) float64 { return metrics.Bool(counts.Ready) }),
		gauge("beechtide_tally_writable", "1 while this replica takes new adds: there is room, and the disk takes writes.", func(counts tallies.Counts) float64 { return metrics.Bool(counts.Writable) }),
		counter("beechtide_tally_conflicts_total", "Adds that came with the id of another one and another amount.", func(counts tallies.Counts) int64 { return counts.Conflicts }),
		counter("beechtide_tally_pulled_total", "Adds that this replica has asked another one for.", func(counts tallies.Counts) int64 { return counts.PulledAdds }),
		counter("beechtide_tally_late_total", "Adds that were not on enough disks in time: answered 504.", func(counts tallies.Counts) int64 { return counts.LateAdds }),
		metrics.Gauge("beechtide_rollout_stage", "Stage of the newest rollout of each service, as this controller knows: 0 tried, 1 shifting, 2 settled, 3 reverted.", []string{"service", "version"}, func(emit metrics.Emit) {
			for _, r := range c.serviceRollouts() {
				emit(float64(r.Stage), r.Service, r.Target)
			}
		}),
		metrics.Gauge("beechtide_evacuated", "1 for each zone that is evacuated, as this controller knows.", []string{"zone"}, func(emit metrics.Emit) {
			for _, zone := range c.evacuatedZones() {
				emit(1, zone)
			}
		}),
		metrics.Gauge("beechtide_evacuation_orders", "Number of the newest order to evacuate each zone or to take it back, as this controller knows.", []string{"zone"}, func(emit metrics.Emit) {
			for _, e := range committedEvacuations(c.registers) {
				emit(float64(e.Changes), e.Zone)
			}
		}),
	}
}
