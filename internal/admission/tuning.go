// Package admission decides for every request whether it is admitted to a runner,
// queued or rejected.
//
// It follows "Admission control for distributed LLM inference"; docs/source.md lists
// the parts that were adopted and those that were changed.
//
// # Input and guarantees
//
// The Admitter implements the admission of one node; the router calls it. Its input is
// the runners and limits of each service (SetService, SetStores, SetCertified), the load
// reports of runners, the loads of the other nodes, the ages of target weights versions
// (ObserveTargets), and the first token, outcome and end of each admitted request. Submit
// decides on a new request; Tick decides on queued ones as time passes.
//
//   - A request is admitted only to a runner that is below the load thresholds, not
//     cordoned, certified for the tenant's regime, and whose weights are new enough
//     (WeightsBound).
//   - A queued request gets exactly one decision, at the first Tick after its time to
//     live at the latest, unless it is abandoned. Queues are bounded in requests and
//     tokens.
//   - A rejection has a Reason and a retry delay.
//
// Load is counted in blocks of a runner's memory, expected output included, and in
// prompt tokens that wait for prefill. Times are microseconds of the caller's
// monotonic clock.
//
// # State and concurrency
//
// The package performs no I/O and starts no goroutines: time and input are arguments. An
// Admitter is not safe for concurrent use; the router guards its Admitter with a mutex.
package admission

// Tuning holds the parameters of admission. Times are microseconds.
type Tuning struct {
	BlockTokens         int     // tokens in a block of a runner's memory
	BusyUse, FreeUse    float64 // memory use at which a runner becomes busy, and free again
	BusyPrefillUs       int64   // expected prefill time of the waiting prompts at which a runner becomes busy
	PrefillFreeShare    float64 // share of BusyPrefillUs at which it becomes free again
	BufferRequests      int     // requests that may be queued beyond runners x capacity
	MinRate             float64 // minimum prefill rate, tokens per microsecond
	InitialRate         float64 // prefill rate of a runner without measurements, tokens per microsecond
	ReportValidUs       int64   // how long the report of a runner or the load of the other nodes is valid
	InitialWindow       float64 // initial window of a tenant, in requests
	MinWindow           float64
	MaxWindow           float64
	WindowAdd           float64 // additive increase
	WindowCut           float64 // multiplicative decrease
	LowUse, HighUse     float64 // mean memory use below which windows grow, and above which they may be cut
	LowHitShare         float64 // cache hit share below which a window is cut
	WindowIntervalUs    int64   // interval between adjustments of a window
	TenantBurst         float64 // token bucket size of a tenant, as a multiple of runners x capacity
	TTLShare            float64 // share of the remaining time that a request may be queued
	TTLSetpoints        float64 // maximum time in the queue, as a multiple of the setpoint
	LongOutputTokens    int     // a request with more output tokens than this is long
	FailureBackoffUs    int64   // first backoff for a runner after a failed connection
	MaxFailureBackoffUs int64   // maximum backoff
}

// Defaults are the default parameters.
var Defaults = Tuning{
	BlockTokens: 16, BusyUse: 0.85, FreeUse: 0.8,
	BusyPrefillUs: 600_000, PrefillFreeShare: 0.7, BufferRequests: 16,
	MinRate: 0.004, InitialRate: 0.02, ReportValidUs: 1_500_000,
	InitialWindow: 48, MinWindow: 4, MaxWindow: 1024, WindowAdd: 2, WindowCut: 0.5,
	LowUse: 0.2, HighUse: 0.5, LowHitShare: 0.2, WindowIntervalUs: 500_000,
	TenantBurst: 2, TTLShare: 0.33, TTLSetpoints: 2,
	LongOutputTokens: 64, FailureBackoffUs: 200_000, MaxFailureBackoffUs: 2_000_000,
}
