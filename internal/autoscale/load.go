package autoscale

// Load is what requests have at one runner, against what it has.
type Load struct {
	Slots, Blocks float64 // in use, and what the runner has of each; 0 for unknown
	SlotsTotal    float64
	BlocksTotal   float64
	Flow          float64 // prompt tokens per second that are to be read
	Rate          float64 // prompt tokens that it reads in a microsecond; 0 for unknown
}

// Busy returns the busy part of a runner, in the scarcest of what it has. It may exceed 1
// where requests wait.
func (l Load) Busy() float64 {
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
