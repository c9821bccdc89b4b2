package autoscale

// Zone is what is known of a service's runners in a zone.
type Zone struct {
	Name    string
	Present int     // runners that are ready
	Ordered int     // the newest order; 0 if there was none
	Demand  float64 // runners that the requests there would keep busy all the time
}

// Service is what is known of a service.
type Service struct {
	Name           string
	Floor, Ceiling int // for each zone
	BootUs         int64
	Zones          []Zone
}

// View is the input of a step.
type View struct {
	NowUs    int64
	Services []Service
	// Known says that the demand is that of all routers.
	Known bool
	// Steady says that nothing is going on beside which runners should not be removed.
	Steady bool
}
