package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"beechtide.org/beechtide/internal/memorybudget"
)

// ResponseMemory returns the metrics of the memory for responses of runners, stores and the platform.
func ResponseMemory(budget *memorybudget.Budget) []prometheus.Collector {
	return []prometheus.Collector{
		Gauge("beechtide_response_memory_bytes", "Bytes of responses that are kept until they are complete and forwarded.", nil, func(emit Emit) {
			emit(float64(budget.Used()))
		}),
		Counter("beechtide_response_memory_refused_total", "Responses that were ended because they were too large for the memory that was left.", nil, func(emit Emit) {
			emit(float64(budget.Refused()))
		}),
	}
}
