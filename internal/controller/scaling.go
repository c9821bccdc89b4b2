// Scaling: the holder of a lease orders of the platform how many runners a service has in
// each zone (package autoscale). An order is recorded in the register before the call
// leaves, so that a successor repeats it as it was.

package controller

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/autoscale"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/settings"
)

// scalingDuty is the name of the duty in the settings.
const scalingDuty = "scaling"

// scalingPart is the register with the lease and the orders.
var scalingPart = consensus.PartOf("platform/scaling")

// Times of scaling, in microseconds.
const (
	scalingPeriodUs = 500_000
	// loadsCurrentUs is how old the newest sum of loads may be.
	loadsCurrentUs = 2_000_000
	// steadyUs is for how long the core has not changed when runners are removed.
	steadyUs = 5_000_000
	// The pause after a call that failed is random between these.
	scalingLeastPauseUs = 500_000
	scalingMostPauseUs  = 2_000_000
)

// scalingWanted tells whether the platform takes orders of runners.
func scalingWanted(set settings.Settings) bool {
	return set.Cloud.Address != "" && slices.Contains(set.Cloud.Duties, scalingDuty)
}

// scaler is safe for concurrent use.
type scaler struct {
	controller *Controller

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

func newScaler(d *Controller) *scaler {
	s := &scaler{controller: d}
	s.reset()
	return s
}

// reset forgets what only the holder of the lease goes by.
func (s *scaler) reset() {
	s.plan, s.seen = autoscale.NewPlan(autoscale.Defaults), autoscale.View{}
	s.decided, s.sent = map[autoscale.Key]autoscale.Order{}, map[autoscale.Key]messages.Setpoint{}
}

// prepare is part of task.
func (s *scaler) prepare(part int, body messages.LeaseBody) (job, bool) {
	if part != scalingPart {
		return job{}, false
	}
	d := s.controller
	s.mu.Lock()
	defer s.mu.Unlock()
	if body.Lease.Holder != "" && body.Lease.Holder != d.registers.ID() {
		if len(s.decided)+len(s.sent) > 0 {
			s.reset()
		}
		return job{run: func(context.Context, lease.Grant) {}}, true
	}
	s.decide(body)
	record, order := s.due(body)
	needed := !s.working && d.clock() >= s.nextUs && len(record)+len(order) > 0
	run := func(ctx context.Context, grant lease.Grant) {
		if needed && grant.MayAct {
			s.begin(ctx, grant, body.Lease, record, order)
		}
	}
	return job{needed: needed, run: run}, true
}

// decide asks the plan for orders.
func (s *scaler) decide(body messages.LeaseBody) {
	nowUs := s.controller.clock()
	if nowUs-s.planUs < scalingPeriodUs {
		return
	}
	s.planUs = nowUs
	s.seen = s.view(body, nowUs)
	for _, order := range s.plan.Step(s.seen) {
		s.decided[keyOf(order.Setpoint)] = order
		s.controller.log.Info("runners wanted", "service", order.Service, "zone", order.Zone, "runners", order.Desired, "reason", string(order.Reason))
	}
}

func keyOf(order messages.Setpoint) autoscale.Key {
	return autoscale.Key{Service: order.Service, Zone: order.Zone}
}

// view is what the plan goes by: the runners that are ready, and the sum of loads.
func (s *scaler) view(body messages.LeaseBody, nowUs int64) autoscale.View {
	d := s.controller
	known := s.loadsKnown(nowUs) && d.inContact()
	stable := d.stability.stableForUs(nowUs) >= steadyUs
	view := autoscale.View{NowUs: nowUs, Known: known, Steady: stable && !d.rollouts.unfinished()}
	table := d.table.Load()
	if table == nil {
		return view
	}
	for name, records := range d.registry.Snapshot().ByService {
		service := table.Service(name)
		if service == nil || !d.scales(name) {
			continue
		}
		view.Services = append(view.Services, s.service(service, records, body.Setpoints))
	}
	slices.SortFunc(view.Services, func(a, b autoscale.Service) int { return cmp.Compare(a.Name, b.Name) })
	return view
}

// loadsKnown reports whether the sum of loads has changed a short while ago, and was
// ever more than nothing.
func (s *scaler) loadsKnown(nowUs int64) bool {
	f := &s.controller.feed
	f.mu.Lock()
	version := f.aggregate.Total.Version
	f.mu.Unlock()
	if version != s.loadsVersion {
		s.loadsVersion, s.loadsUs = version, nowUs
	}
	return s.loadsUs > 0 && nowUs-s.loadsUs < loadsCurrentUs
}

// service is one service of the view.
func (s *scaler) service(service *api.Service, records []messages.RunnerRecord, ordered []messages.Setpoint) autoscale.Service {
	out := autoscale.Service{Name: service.Name, Floor: service.Scaling.Floor, Ceiling: service.Scaling.Ceiling, BootUs: int64(service.Scaling.BootS * 1e6)}
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
	f := &s.controller.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		at := zone(record.Zone)
		if !record.Draining && !record.Stale && !record.Lost {
			at.Present++
		}
		load, _ := f.aggregate.Total.Get(record.ID)
		at.Demand += busy(load, record, service.Engine)
	}
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
	}.Busy()
}

// due returns the orders that are to be recorded, and those that are to be sent.
func (s *scaler) due(body messages.LeaseBody) (record, send []messages.Setpoint) {
	recorded := map[autoscale.Key]messages.Setpoint{}
	for _, order := range body.Setpoints {
		recorded[keyOf(order)] = order
		if s.sent[keyOf(order)] != order && s.controller.scales(order.Service) {
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
func (d *Controller) scales(service string) bool {
	table := d.table.Load()
	if table == nil {
		return false
	}
	s := table.Service(service)
	return s != nil && s.Scaling.Ceiling > 0
}

// begin records orders, or sends those that are recorded, one after the other.
func (s *scaler) begin(ctx context.Context, grant lease.Grant, held messages.Lease, record, send []messages.Setpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.working {
		return
	}
	s.working = true
	go func() {
		ok := false
		if len(record) > 0 {
			ok = s.record(ctx, held, record)
		} else {
			ok = s.send(ctx, grant, send[rand.IntN(len(send))])
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.working = false
		if !ok {
			s.nextUs = s.controller.clock() + scalingLeastPauseUs + rand.Int64N(scalingMostPauseUs-scalingLeastPauseUs)
		}
	}()
}

// record puts orders into the register.
func (s *scaler) record(ctx context.Context, held messages.Lease, orders []messages.Setpoint) bool {
	_, err := s.controller.roles.change(ctx, scalingPart, held, func(body *messages.LeaseBody) bool {
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
func (s *scaler) send(ctx context.Context, grant lease.Grant, order messages.Setpoint) bool {
	content := api.SetpointOrder{Service: order.Service, Zone: order.Zone, Desired: order.Desired}
	if s.controller.callPlatform(ctx, scalingPart, grant, "/setpoint", content) != platformAccepted {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[keyOf(order)] = order
	return true
}

// scalingConditions are the runners of the services that this controller orders as the
// holder of the lease, for the doctor.
func (d *Controller) scalingConditions() []messages.ScalingCondition {
	if d.scaler == nil {
		return nil
	}
	s := d.scaler
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []messages.ScalingCondition
	for _, service := range s.seen.Services {
		for _, z := range service.Zones {
			reason := s.decided[autoscale.Key{Service: service.Name, Zone: z.Name}].Reason
			out = append(out, messages.ScalingCondition{Service: service.Name, Zone: z.Name, Present: z.Present, Ordered: z.Ordered, Demand: z.Demand, Reason: string(reason)})
		}
	}
	return out
}
