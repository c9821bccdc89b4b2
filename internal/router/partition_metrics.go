// Metrics of the state that matters during and after network partitions: evacuated and unreachable
// zones, rollouts, withheld runners and warm-ups (docs/operating/metrics.md).

package router

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"beechtide.org/beechtide/internal/metrics"
)

func (r *Router) partitionMetrics() []prometheus.Collector {
	return append(evacuationMetrics(r),
		metrics.Gauge("beechtide_router_rollout_stage", "Stage of the newest rollout of each service that this router goes by: 0 tried, 1 shifting, 2 settled, 3 reverted.", []string{"service", "version"}, func(emit metrics.Emit) {
			r.admissionMu.Lock()
			defer r.admissionMu.Unlock()
			for _, rollout := range r.admission.Rollouts() {
				emit(float64(rollout.Stage), rollout.Service, rollout.Target)
			}
		}),
		metrics.Gauge("beechtide_router_refused", "Requests that broke HTTP or a limit on sizes, by the status that they got.", []string{"status"}, func(emit metrics.Emit) {
			front := r.front.Load()
			if front == nil {
				return
			}
			for status, count := range front.refusals.byStatus() {
				emit(float64(count), strconv.Itoa(status))
			}
		}),
		metrics.Gauge("beechtide_router_runners_withheld", "Runners by the mechanism that keeps requests of this router from them; none: they may get one.", []string{"reason"}, func(emit metrics.Emit) {
			r.admissionMu.Lock()
			defer r.admissionMu.Unlock()
			for reason, count := range r.admission.CountWithheld(r.clock()) {
				emit(float64(count), reason.String())
			}
		}),
		metrics.Gauge("beechtide_router_warming_up", "Runners that warm up: all, and those that this router may send requests to.", []string{"of"}, func(emit metrics.Emit) {
			r.admissionMu.Lock()
			defer r.admissionMu.Unlock()
			list, lent := r.admission.WarmingUp(r.clock()), 0
			for _, w := range list {
				if w.RatePerS > 0 {
					lent++
				}
			}
			emit(float64(len(list)), "all")
			emit(float64(lent), "lent")
		}),
	)
}

// evacuationMetrics returns the metrics of the evacuated zones that a router goes by.
func evacuationMetrics(r *Router) []prometheus.Collector {
	return []prometheus.Collector{
		metrics.Gauge("beechtide_router_evacuated", "1 for each zone whose runners get no requests from this router.", []string{"zone"}, func(emit metrics.Emit) {
			r.admissionMu.Lock()
			defer r.admissionMu.Unlock()
			for _, zone := range r.admission.EvacuatedZones() {
				emit(1, zone)
			}
		}),
		metrics.Gauge("beechtide_router_evacuation_orders", "Number of the newest order to evacuate each zone or to take it back that this router goes by.", []string{"zone"}, func(emit metrics.Emit) {
			r.stateMu.Lock()
			defer r.stateMu.Unlock()
			for _, evacuations := range r.evacuations {
				for _, e := range evacuations {
					emit(float64(e.Changes), e.Zone)
				}
			}
		}),
	}
}

// reachMetrics returns the metrics of the reachability of other zones.
func (r *Router) reachMetrics() []prometheus.Collector {
	return []prometheus.Collector{
		metrics.Gauge("beechtide_router_zone_unreachable_seconds", "For how long each zone that this router cannot reach has been so.", []string{"zone"}, func(emit metrics.Emit) {
			for _, z := range r.zones.Conditions() {
				emit(float64(z.SinceUs)/1e6, z.Zone)
			}
		}),
		metrics.Counter("beechtide_router_zone_silence_doubted_total", "Silences of a zone that were put down to this router or its link, as nodes of its own zone did not answer either.", nil, func(emit metrics.Emit) {
			emit(float64(r.zones.DoubtedSilences()))
		}),
		metrics.Counter("beechtide_router_unreachable_streams_total", "Streams that delivered nothing from runners of unreachable zones: left, they go on at other runners; stayed, there was no place.", []string{"outcome"}, func(emit metrics.Emit) {
			emit(float64(r.counters.unreachableStreamsMoved.Load()), "left")
			emit(float64(r.counters.unreachableStreamsStayed.Load()), "stayed")
		}),
	}
}
