package autoscale

// Load is the resource usage of one runner and its capacity.
type Load struct {
	Slots, Blocks float64 // slots and cache blocks in use
	SlotsTotal    float64 // capacity; 0 if unknown
	BlocksTotal   float64 // capacity; 0 if unknown
	Flow          float64 // prompt tokens per second to prefill
	Rate          float64 // prefill capacity in tokens per microsecond; 0 if unknown
}

// Utilization returns the utilization of a runner's scarcest resource. It may exceed 1 if requests
// are waiting.
func (l Load) Utilization() float64 {
	busy := 0.0
	if l.SlotsTotal > 0 {
		busy = max(busy, l.Slots/l.SlotsTotal)
	}
	if l.BlocksTotal > 0 {
		busy = max(busy, l.Blocks/l.BlocksTotal)
	}
	if l.Rate > 0 {
		busy = max(busy, l.Flow/1e6/l.Rate)
	}
	return busy
}
