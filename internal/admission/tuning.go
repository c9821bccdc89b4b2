// Package admission decides for every request whether it is admitted to a runner,
// queued or rejected.
//
// It follows "Admission control for distributed LLM inference"; docs/source.md names
// what was kept and what was changed.
//
// # What it is given and what it guarantees
//
// The Admitter is one node's admission. Its owner hands it the runners and limits of
// each service (SetService, SetStores, SetCertified), reports of runners (Report), the
// load of the other nodes (Others, Other), the ages of target weights versions
// (ObserveTargets), and what became of each admitted request (FirstToken, Ended,
// Done). Submit decides on a new request; Tick decides on queued ones as time passes.
//
//   - A request is admitted only to a runner that is below the load thresholds, not
//     cordoned, certified for the tenant's regime, and whose weights are new enough
//     (WeightsBound).
//   - A queued request gets exactly one decision, at the first Tick after its time to
//     live at the latest, unless it is abandoned. Queues are bounded in requests and
//     tokens.
//   - A rejection names its Reason and, where it helps, the time after which a retry
//     makes sense.
//
// Load is counted in blocks of a runner's memory, expected output included, and in
// prompt tokens that wait for prefill. Times are microseconds of the caller's
// monotonic clock.
//
// # Who owns which state
//
// Everything here is pure: time and input are arguments, nothing is sent and no
// goroutine is started. An Admitter is not safe for concurrent use; the router guards
// its own with a mutex.
package admission

// Tuning are the parameters of admission; Defaults has their defaults. Times are
// microseconds.
type Tuning struct {
	BlockTokens     int     // tokens in a block of a runner's memory
	BusyAt, FreeAt  float64 // memory use at which a runner leaves the candidates, and comes back
	PrefillUs       int64   // a runner is busy once the prefill of what waits there takes this long
	PrefillFree     float64 // part of PrefillUs below which it is free again
	BufferRequests  int     // requests that may wait beyond runners x capacity
	RateFloor       float64 // minimum prefill rate, tokens per microsecond
	RateStart       float64
	ReportFreshUs   int64 // how long a report of a runner or node is valid
	WindowStart     float64
	WindowMin       float64
	WindowMax       float64
	WindowAdd       float64
	WindowCut       float64
	LowUse, HighUse float64 // U below which W grows, above which it may be cut
	LowHits         float64 // H below which a cut is made
	WindowEveryUs   int64
	TenantBurst     float64 // requests a tenant may send at once, in parts of runners x capacity
	TTLPart         float64 // part of the time left that a request may wait
	TTLSetpoints    float64 // and how many times its setpoint
	LongOut         int     // a request that may bring more tokens than this is long
	UnsoundUs       int64   // first backoff for a runner whose connections fail
	UnsoundMaxUs    int64
}

// Defaults are the default parameters.
var Defaults = Tuning{
	BlockTokens: 16, BusyAt: 0.85, FreeAt: 0.8,
	PrefillUs: 600_000, PrefillFree: 0.7, BufferRequests: 16,
	RateFloor: 0.004, RateStart: 0.02, ReportFreshUs: 1_500_000,
	WindowStart: 48, WindowMin: 4, WindowMax: 1024, WindowAdd: 2, WindowCut: 0.5,
	LowUse: 0.2, HighUse: 0.5, LowHits: 0.2, WindowEveryUs: 500_000,
	TenantBurst: 2, TTLPart: 0.33, TTLSetpoints: 2,
	LongOut: 64, UnsoundUs: 200_000, UnsoundMaxUs: 2_000_000,
}
