package autoscale

// Zone is the state of a service's runners in a zone.
type Zone struct {
	Name    string
	Present int     // runners that are ready
	Ordered int     // number of runners in the newest order; 0 if there was none
	Demand  float64 // number of runners that the zone's requests would fully utilize
}

// Service is the state of a service.
type Service struct {
	Name           string
	Floor, Ceiling int   // bounds of the number of runners in each zone
	StartupUs      int64 // time from an order until the runner is ready
	Zones          []Zone
}

// View is the input of Plan.Step.
type View struct {
	NowUs    int64
	Services []Service
	// DemandKnown is set if the demand includes the loads of all routers.
	DemandKnown bool
	// Steady is set if the core is stable and no weights are being rolled out. Runners are
	// removed only then.
	Steady bool
}
