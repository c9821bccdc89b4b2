package registry

// Silence is after how long without a heartbeat a runner is asked about, and
// after how long without one, while those of other runners arrive, it counts as stale
// and as lost.
type Silence struct {
	AskUs   int64
	StaleUs int64
	LostUs  int64
}

// Silence of a runner in periods of its heartbeat, and what a heartbeat may take
// on its way. Between asking and stale there is time for several questions.
const (
	askPeriods     = 2
	stalePeriods   = 4
	lostPeriods    = 12
	heartbeatLagUs = 500_000
)

// SilenceAfter gives the bounds for runners with this heartbeat period.
func SilenceAfter(periodUs int64) Silence {
	return Silence{AskUs: askPeriods * periodUs, StaleUs: stalePeriods*periodUs + heartbeatLagUs, LostUs: lostPeriods * periodUs}
}
