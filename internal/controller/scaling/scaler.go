// Package scaling sets the number of runners of the services at the platform. The holder of a
// lease orders how many runners a service has in each zone, as package autoscale decides. An order
// is committed to the register before it is sent, so that the next holder can repeat it unchanged.
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

// DutyName is the name of the duty in the settings.
const DutyName = "scaling"

// RegisterIndex is the number of the register with the lease and the orders.
var RegisterIndex = consensus.RegisterOf("platform/scaling")

// Intervals and limits, in microseconds.
const (
	planIntervalUs = 500_000
	// maxLoadsAgeUs is the maximum age of the sum of loads.
	maxLoadsAgeUs = 2_000_000
	// minStableUs is how long the core must not have changed before runners are removed.
	minStableUs = 5_000_000
	// The pause after a failed call is chosen randomly between these.
	minRetryPauseUs = 500_000
	maxRetryPauseUs = 2_000_000
)

// Leases changes a register under its lease (singleton.Leases).
type Leases interface {
	Change(ctx context.Context, register int, expected messages.Lease, edit func(body *messages.LeaseBody) bool) (messages.LeaseBody, error)
}

// Platform calls the platform's API (platform.Client).
type Platform interface {
	Call(ctx context.Context, register int, grant lease.Grant, path string, content any) platform.Outcome
}

// Config configures a Scaler. All fields are required.
type Config struct {
	// Self is the identity of this member in the registers.
	Self     string
	Clock    func() int64 // microseconds, monotonic
	Log      logr.Logger
	Leases   Leases
	Platform Platform
	// Table returns the active configuration, nil if there is none yet.
	Table func() *routeconfig.Table
	// Runners returns the known runners.
	Runners func() *registry.Snapshot
	// ReadLoads calls read with the sum of the loads of all routers, which read must not retain.
	ReadLoads func(read func(loads *statesync.Loads))
	// InContact reports whether this controller has contact with a majority of the core.
	InContact func() bool
	// StableForUs returns how long the core has not changed, in microseconds.
	StableForUs func() int64
	// RolloutUnfinished reports whether any runners do not serve the named weights yet.
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

// Scaler orders runners. It is safe for concurrent use.
type Scaler struct {
	config Config

	mu             sync.Mutex // guards what follows
	plan           *autoscale.Plan
	lastView       autoscale.View                      // last input of the plan
	lastPlanUs     int64                               // time of the last step of the plan
	plannedOrders  map[autoscale.Key]autoscale.Order   // newest order of the plan, by service and zone
	acceptedOrders map[autoscale.Key]messages.Setpoint // newest order of this process that the platform has accepted
	inProgress     bool
	retryAtUs      int64 // no order is committed or sent before this time

	loadsVersion int64 // newest version of the sum of loads, and when it was first observed
	loadsUs      int64
}

// New returns a Scaler without orders.
func New(config Config) (*Scaler, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	s := &Scaler{config: config}
	s.reset()
	return s, nil
}

// reset clears the state that only the holder of the lease uses.
func (s *Scaler) reset() {
	s.plan, s.lastView = autoscale.NewPlan(autoscale.Defaults), autoscale.View{}
	s.plannedOrders, s.acceptedOrders = map[autoscale.Key]autoscale.Order{}, map[autoscale.Key]messages.Setpoint{}
}

// Prepare implements singleton.Task.
func (s *Scaler) Prepare(register int, body messages.LeaseBody) (singleton.Job, bool) {
	if register != RegisterIndex {
		return singleton.Job{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if body.Lease.Holder != "" && body.Lease.Holder != s.config.Self {
		if len(s.plannedOrders)+len(s.acceptedOrders) > 0 {
			s.reset()
		}
		return singleton.Job{Run: func(context.Context, lease.Grant) {}}, true
	}
	s.updatePlan(body)
	record, order := s.dueOrders(body)
	needed := !s.inProgress && s.config.Clock() >= s.retryAtUs && len(record)+len(order) > 0
	run := func(ctx context.Context, grant lease.Grant) {
		if needed && grant.MayAct {
			s.start(ctx, grant, body.Lease, record, order)
		}
	}
	return singleton.Job{Needed: needed, Run: run}, true
}

// updatePlan runs a step of the plan, at most once per planIntervalUs, and records its orders.
func (s *Scaler) updatePlan(body messages.LeaseBody) {
	nowUs := s.config.Clock()
	if nowUs-s.lastPlanUs < planIntervalUs {
		return
	}
	s.lastPlanUs = nowUs
	s.lastView = s.view(body, nowUs)
	for _, order := range s.plan.Step(s.lastView) {
		s.plannedOrders[keyOf(order.Setpoint)] = order
		s.config.Log.Info("runner count decided", "service", order.Service, "zone", order.Zone, "runners", order.Desired, "reason", string(order.Reason))
	}
}

func keyOf(order messages.Setpoint) autoscale.Key {
	return autoscale.Key{Service: order.Service, Zone: order.Zone}
}

// view returns the input of the plan: the runners that are ready, and the sum of loads.
func (s *Scaler) view(body messages.LeaseBody, nowUs int64) autoscale.View {
	known := s.loadsAreCurrent(nowUs) && s.config.InContact()
	stable := s.config.StableForUs() >= minStableUs
	view := autoscale.View{NowUs: nowUs, DemandKnown: known, Steady: stable && !s.config.RolloutUnfinished()}
	table := s.config.Table()
	if table == nil {
		return view
	}
	for name, records := range s.config.Runners().ByService {
		service := table.Service(name)
		if service == nil || !s.isScaled(name) {
			continue
		}
		view.Services = append(view.Services, s.serviceView(service, records, body.Setpoints))
	}
	slices.SortFunc(view.Services, func(a, b autoscale.Service) int { return cmp.Compare(a.Name, b.Name) })
	return view
}

// loadsAreCurrent reports whether the sum of loads has been received and has changed within
// maxLoadsAgeUs.
func (s *Scaler) loadsAreCurrent(nowUs int64) bool {
	version := int64(0)
	s.config.ReadLoads(func(loads *statesync.Loads) { version = loads.Version })
	if version != s.loadsVersion {
		s.loadsVersion, s.loadsUs = version, nowUs
	}
	return s.loadsUs > 0 && nowUs-s.loadsUs < maxLoadsAgeUs
}

// serviceView returns the state of one service for the view.
func (s *Scaler) serviceView(service *api.Service, records []messages.RunnerRecord, ordered []messages.Setpoint) autoscale.Service {
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
			zoneView := zone(record.Zone)
			if !record.Draining && !record.Stale && !record.Lost {
				zoneView.Present++
			}
			load, _ := loads.Get(record.ID)
			zoneView.Demand += busyFraction(load, record, service.Engine)
		}
	})
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		out.Zones = append(out.Zones, *zones[name])
	}
	return out
}

// busyFraction returns the busy fraction of a runner.
func busyFraction(load messages.RunnerLoad, record messages.RunnerRecord, engine api.Engine) float64 {
	return autoscale.Load{
		Slots: float64(load.Count), SlotsTotal: float64(record.Capacity),
		Blocks: float64(load.Blocks), BlocksTotal: float64(engine.CacheTokens / admission.Defaults.BlockTokens),
		Flow: float64(load.Flow), Rate: load.Rate,
	}.Utilization()
}

// dueOrders returns the orders that have to be committed to the register, and those that have to be sent.
func (s *Scaler) dueOrders(body messages.LeaseBody) (record, send []messages.Setpoint) {
	recorded := map[autoscale.Key]messages.Setpoint{}
	for _, order := range body.Setpoints {
		recorded[keyOf(order)] = order
		if s.acceptedOrders[keyOf(order)] != order && s.isScaled(order.Service) {
			send = append(send, order)
		}
	}
	for key, order := range s.plannedOrders {
		if recorded[key] != order.Setpoint {
			record = append(record, order.Setpoint)
		}
	}
	return record, send
}

// isScaled reports whether the active configuration enables scaling of a service.
func (s *Scaler) isScaled(service string) bool {
	table := s.config.Table()
	if table == nil {
		return false
	}
	configured := table.Service(service)
	return configured != nil && configured.Scaling.Ceiling > 0
}

// start starts to commit the new orders in the background or, if there are none, to send one of
// the committed orders. Only one such operation runs at a time.
func (s *Scaler) start(ctx context.Context, grant lease.Grant, current messages.Lease, record, send []messages.Setpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inProgress {
		return
	}
	s.inProgress = true
	go func() {
		ok := false
		if len(record) > 0 {
			ok = s.record(ctx, current, record)
		} else {
			ok = s.send(ctx, grant, send[rand.IntN(len(send))])
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inProgress = false
		if !ok {
			s.retryAtUs = s.config.Clock() + minRetryPauseUs + rand.Int64N(maxRetryPauseUs-minRetryPauseUs)
		}
	}()
}

// record commits orders to the register.
func (s *Scaler) record(ctx context.Context, current messages.Lease, orders []messages.Setpoint) bool {
	_, err := s.config.Leases.Change(ctx, RegisterIndex, current, func(body *messages.LeaseBody) bool {
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

// send sends a committed order to the platform.
func (s *Scaler) send(ctx context.Context, grant lease.Grant, order messages.Setpoint) bool {
	content := api.SetpointOrder{Service: order.Service, Zone: order.Zone, Desired: order.Desired}
	if s.config.Platform.Call(ctx, RegisterIndex, grant, "/setpoint", content) != platform.Accepted {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptedOrders[keyOf(order)] = order
	return true
}

// Conditions returns the state of the services that this controller scales as the holder of the
// lease, for the doctor.
func (s *Scaler) Conditions() []messages.ScalingCondition {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []messages.ScalingCondition
	for _, service := range s.lastView.Services {
		for _, zone := range service.Zones {
			reason := s.plannedOrders[autoscale.Key{Service: service.Name, Zone: zone.Name}].Reason
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
