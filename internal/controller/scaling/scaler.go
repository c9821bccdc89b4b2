// Package scaling orders runners of the platform: the holder of a lease orders how many runners a
// service has in each zone, as package autoscale decides. An order is recorded in the register
// before the call leaves, so that a successor repeats it as it was.
package scaling

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/autoscale"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/platform"
	"beechtide.org/beechtide/internal/controller/singleton"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/statesync"
)

// Duty is the name of the duty in the settings.
const Duty = "scaling"

// Part is the register with the lease and the orders.
var Part = consensus.RegisterOf("platform/scaling")

// Times of scaling, in microseconds.
const (
	planIntervalUs = 500_000
	// loadsCurrentUs is how old the newest sum of loads may be.
	loadsCurrentUs = 2_000_000
	// steadyUs is for how long the core has not changed when runners are removed.
	steadyUs = 5_000_000
	// The pause after a call that failed is random between these.
	minRetryPauseUs = 500_000
	maxRetryPauseUs = 2_000_000
)

// Leases change a register under its lease (singleton.Leases).
type Leases interface {
	Change(ctx context.Context, part int, was messages.Lease, edit func(body *messages.LeaseBody) bool) (messages.LeaseBody, error)
}

// Platform calls the platform's API (platform.Client).
type Platform interface {
	Call(ctx context.Context, part int, grant lease.Grant, path string, content any) platform.Answer
}

// Config is what a Scaler is given. All fields are required.
type Config struct {
	// Self is the identity of this member in the registers.
	Self     string
	Clock    func() int64 // microseconds, monotonic
	Log      logr.Logger
	Leases   Leases
	Platform Platform
	// Table returns the configuration in force, nil where there is none yet.
	Table func() *routeconfig.Table
	// Runners returns the known runners.
	Runners func() *registry.Snapshot
	// ReadLoads calls read with the sum of the loads of all routers, which must not be kept.
	ReadLoads func(read func(loads *statesync.Loads))
	// InContact reports whether this controller has contact with a majority of the core.
	InContact func() bool
	// StableForUs returns for how long the core has not changed, in microseconds.
	StableForUs func() int64
	// RolloutUnfinished reports whether runners are still to be brought to named weights.
	RolloutUnfinished func() bool
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("scaling: incomplete configuration")

func (c *Config) check() error {
	complete := c.Self != "" && c.Clock != nil && c.Leases != nil && c.Platform != nil && c.Table != nil && c.Runners != nil &&
		c.ReadLoads != nil && c.InContact != nil && c.StableForUs != nil && c.RolloutUnfinished != nil
	if !complete {
		return ErrConfig
	}
	return nil
}

// Scaler is safe for concurrent use.
type Scaler struct {
	config Config

	mu      sync.Mutex // guards what follows
	plan    *autoscale.Plan
	seen    autoscale.View                      // what the plan last went by
	planUs  int64                               // when the plan was last asked
	decided map[autoscale.Key]autoscale.Order   // orders of the plan
	sent    map[autoscale.Key]messages.Setpoint // what the platform has accepted from this process
	working bool
	nextUs  int64 // no call before then

	loadsVersion int64 // of the sum of loads when it last changed, and when that was
	loadsUs      int64
}

// New returns a scaler that has ordered nothing.
func New(config Config) (*Scaler, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	s := &Scaler{config: config}
	s.reset()
	return s, nil
}

// reset forgets what only the holder of the lease goes by.
func (s *Scaler) reset() {
	s.plan, s.seen = autoscale.NewPlan(autoscale.Defaults), autoscale.View{}
	s.decided, s.sent = map[autoscale.Key]autoscale.Order{}, map[autoscale.Key]messages.Setpoint{}
}

// Prepare is part of singleton.Task.
func (s *Scaler) Prepare(part int, body messages.LeaseBody) (singleton.Job, bool) {
	if part != Part {
		return singleton.Job{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if body.Lease.Holder != "" && body.Lease.Holder != s.config.Self {
		if len(s.decided)+len(s.sent) > 0 {
			s.reset()
		}
		return singleton.Job{Run: func(context.Context, lease.Grant) {}}, true
	}
	s.decide(body)
	record, order := s.due(body)
	needed := !s.working && s.config.Clock() >= s.nextUs && len(record)+len(order) > 0
	run := func(ctx context.Context, grant lease.Grant) {
		if needed && grant.MayAct {
			s.begin(ctx, grant, body.Lease, record, order)
		}
	}
	return singleton.Job{Needed: needed, Run: run}, true
}

// decide asks the plan for orders.
func (s *Scaler) decide(body messages.LeaseBody) {
	nowUs := s.config.Clock()
	if nowUs-s.planUs < planIntervalUs {
		return
	}
	s.planUs = nowUs
	s.seen = s.view(body, nowUs)
	for _, order := range s.plan.Step(s.seen) {
		s.decided[keyOf(order.Setpoint)] = order
		s.config.Log.Info("runners wanted", "service", order.Service, "zone", order.Zone, "runners", order.Desired, "reason", string(order.Reason))
	}
}

func keyOf(order messages.Setpoint) autoscale.Key {
	return autoscale.Key{Service: order.Service, Zone: order.Zone}
}

// view is what the plan goes by: the runners that are ready, and the sum of loads.
func (s *Scaler) view(body messages.LeaseBody, nowUs int64) autoscale.View {
	known := s.loadsKnown(nowUs) && s.config.InContact()
	stable := s.config.StableForUs() >= steadyUs
	view := autoscale.View{NowUs: nowUs, DemandKnown: known, Steady: stable && !s.config.RolloutUnfinished()}
	table := s.config.Table()
	if table == nil {
		return view
	}
	for name, records := range s.config.Runners().ByService {
		service := table.Service(name)
		if service == nil || !s.scales(name) {
			continue
		}
		view.Services = append(view.Services, s.service(service, records, body.Setpoints))
	}
	slices.SortFunc(view.Services, func(a, b autoscale.Service) int { return cmp.Compare(a.Name, b.Name) })
	return view
}

// loadsKnown reports whether the sum of loads has changed a short while ago, and was
// ever more than nothing.
func (s *Scaler) loadsKnown(nowUs int64) bool {
	version := int64(0)
	s.config.ReadLoads(func(loads *statesync.Loads) { version = loads.Version })
	if version != s.loadsVersion {
		s.loadsVersion, s.loadsUs = version, nowUs
	}
	return s.loadsUs > 0 && nowUs-s.loadsUs < loadsCurrentUs
}

// service is one service of the view.
func (s *Scaler) service(service *api.Service, records []messages.RunnerRecord, ordered []messages.Setpoint) autoscale.Service {
	out := autoscale.Service{Name: service.Name, Floor: service.Scaling.Floor, Ceiling: service.Scaling.Ceiling, StartupUs: int64(service.Scaling.BootS * 1e6)}
	zones := map[string]*autoscale.Zone{}
	zone := func(name string) *autoscale.Zone {
		if zones[name] == nil {
			zones[name] = &autoscale.Zone{Name: name}
		}
		return zones[name]
	}
	for _, order := range ordered {
		if order.Service == service.Name {
			zone(order.Zone).Ordered = order.Desired
		}
	}
	s.config.ReadLoads(func(loads *statesync.Loads) {
		for _, record := range records {
			at := zone(record.Zone)
			if !record.Draining && !record.Stale && !record.Lost {
				at.Present++
			}
			load, _ := loads.Get(record.ID)
			at.Demand += busy(load, record, service.Engine)
		}
	})
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		out.Zones = append(out.Zones, *zones[name])
	}
	return out
}

// busy is the busy part of a runner.
func busy(load messages.RunnerLoad, record messages.RunnerRecord, engine api.Engine) float64 {
	return autoscale.Load{
		Slots: float64(load.Count), SlotsTotal: float64(record.Capacity),
		Blocks: float64(load.Blocks), BlocksTotal: float64(engine.CacheTokens / admission.Defaults.BlockTokens),
		Flow: float64(load.Flow), Rate: load.Rate,
	}.Utilization()
}

// due returns the orders that are to be recorded, and those that are to be sent.
func (s *Scaler) due(body messages.LeaseBody) (record, send []messages.Setpoint) {
	recorded := map[autoscale.Key]messages.Setpoint{}
	for _, order := range body.Setpoints {
		recorded[keyOf(order)] = order
		if s.sent[keyOf(order)] != order && s.scales(order.Service) {
			send = append(send, order)
		}
	}
	for key, order := range s.decided {
		if recorded[key] != order.Setpoint {
			record = append(record, order.Setpoint)
		}
	}
	return record, send
}

// scales reports whether the number of a service's runners is ordered, by the
// configuration in force.
func (s *Scaler) scales(service string) bool {
	table := s.config.Table()
	if table == nil {
		return false
	}
	configured := table.Service(service)
	return configured != nil && configured.Scaling.Ceiling > 0
}

// begin records orders, or sends those that are recorded, one after the other.
func (s *Scaler) begin(ctx context.Context, grant lease.Grant, current messages.Lease, record, send []messages.Setpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.working {
		return
	}
	s.working = true
	go func() {
		ok := false
		if len(record) > 0 {
			ok = s.record(ctx, current, record)
		} else {
			ok = s.send(ctx, grant, send[rand.IntN(len(send))])
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.working = false
		if !ok {
			s.nextUs = s.config.Clock() + minRetryPauseUs + rand.Int64N(maxRetryPauseUs-minRetryPauseUs)
		}
	}()
}

// record puts orders into the register.
func (s *Scaler) record(ctx context.Context, current messages.Lease, orders []messages.Setpoint) bool {
	_, err := s.config.Leases.Change(ctx, Part, current, func(body *messages.LeaseBody) bool {
		body.Setpoints = slices.Clone(body.Setpoints)
		for _, order := range orders {
			i := slices.IndexFunc(body.Setpoints, func(was messages.Setpoint) bool { return keyOf(was) == keyOf(order) })
			if i < 0 {
				body.Setpoints = append(body.Setpoints, order)
			} else {
				body.Setpoints[i] = order
			}
		}
		return true
	})
	return err == nil
}

// send tells the platform an order that is recorded.
func (s *Scaler) send(ctx context.Context, grant lease.Grant, order messages.Setpoint) bool {
	content := api.SetpointOrder{Service: order.Service, Zone: order.Zone, Desired: order.Desired}
	if s.config.Platform.Call(ctx, Part, grant, "/setpoint", content) != platform.Accepted {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[keyOf(order)] = order
	return true
}

// Conditions returns the runners of the services that this controller orders as the
// holder of the lease, for the doctor.
func (s *Scaler) Conditions() []messages.ScalingCondition {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []messages.ScalingCondition
	for _, service := range s.seen.Services {
		for _, zone := range service.Zones {
			reason := s.decided[autoscale.Key{Service: service.Name, Zone: zone.Name}].Reason
			out = append(out, messages.ScalingCondition{
				Service: service.Name,
				Zone:    zone.Name,
				Present: zone.Present,
				Ordered: zone.Ordered,
				Demand:  zone.Demand,
				Reason:  string(reason),
			})
		}
	}
	return out
}
