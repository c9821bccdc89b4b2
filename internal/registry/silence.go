package registry

// SilenceLimits has the limits of a runner's silence in microseconds. After the query limit
// without a heartbeat the other controllers are queried about the runner. After the stale
// and the lost limit, while heartbeats of other runners arrive, it counts as stale and as
// lost.
type SilenceLimits struct {
	QueryUs int64
	StaleUs int64
	LostUs  int64
}

// Limits in heartbeat periods, and the time that a heartbeat may take in transit. The
// difference between the query and the stale limit leaves time for several queries.
const (
	queryPeriods       = 2
	stalePeriods       = 4
	lostPeriods        = 12
	heartbeatTransitUs = 500_000
)

// SilenceLimitsFor returns the limits for runners with the given heartbeat period.
func SilenceLimitsFor(periodUs int64) SilenceLimits {
	return SilenceLimits{QueryUs: queryPeriods * periodUs, StaleUs: stalePeriods*periodUs + heartbeatTransitUs, LostUs: lostPeriods * periodUs}
}
