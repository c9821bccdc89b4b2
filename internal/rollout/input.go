package rollout

// NamedVersion is a version of a model's weights and the time at which it was acknowledged,
// on the caller's clock. For an unknown time the caller passes one long past.
type NamedVersion struct {
	Version int64
	NamedUs int64
}

// Runner is the registry's state of one runner of the model.
type Runner struct {
	ID              string
	Version         int64 // of its weights; 0 if unknown
	Cordoned        bool
	Draining        bool // gets no long requests
	NewlyRegistered bool // registered for the first time a moment ago
}

// Input is the input of Plan.Step.
type Input struct {
	NowUs         int64
	NamedVersions []NamedVersion
	Runners       []Runner
	MayPrepare    bool // the caller may send orders soon; runners may be drained and cordoned
	MayOrder      bool // the caller may send orders now
}
