package rollout

// Naming is a version of a model's weights, and when it was acknowledged on the
// clock of the caller. An unknown time is given as one long past.
type Naming struct {
	Version int64
	NamedUs int64
}

// Runner is what is known of one runner of the model.
type Runner struct {
	ID       string
	Version  int64 // of its weights; 0 if unknown
	Cordoned bool
	Draining bool // gets no long requests
	Fresh    bool // has just registered for the first time
}

// Input is what a step of a plan is given.
type Input struct {
	NowUs      int64
	Namings    []Naming
	Runners    []Runner
	MayPrepare bool // the caller may send orders soon
	MayOrder   bool // the caller may send orders now
}
