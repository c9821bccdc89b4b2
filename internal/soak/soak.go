// Package soak runs the system's processes on one machine under injected faults and checks the
// observations of clients, runners and the operator against rules that must always hold.
//
// Routers and controllers are child processes of the same program, at addresses of the loopback
// network. Runners (package standin) and clients (package load) run in the calling process. A
// plan generated from a seed schedules which processes are killed, paused or terminated, which
// links are cut or lose responses, and which configuration changes are submitted; two or three
// faults overlap. After the last fault all components must serve, every router must serve the
// newest acknowledged configuration, and every controller must return it.
//
// NewPlan and Evaluate have no side effects. Run takes a bounded time, kills its children by
// their pids and returns once all of them have exited. The plan of a seed is always the same;
// the course of a soak is not, since processes and sockets are real. The soak command and the
// tests call Run.
package soak

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/load"
	"beechtide.org/beechtide/internal/loop"
)

// Options configure a soak.
type Options struct {
	Program string // path of the beechtide executable
	Dir     string // for settings, data directories and logs of the children
	Seed    uint64
	Shape   Shape
	Clients int
}

// Result holds the plan, the observations and the violations of a soak.
type Result struct {
	Plan       Plan
	Evidence   Evidence
	Violations []Violation
}

const (
	startTimeout = 60 * time.Second // until the first configuration is acknowledged
	warmUpTime   = 2 * time.Second  // load before the faults
	calmTime     = 4 * time.Second  // load after the faults
	finalTimeout = 20 * time.Second // for the final reads
	// weightsTimeout limits the wait in calm until all runners have loaded the target weights; far
	// above the bound.
	weightsTimeout = 40 * time.Second
	// usageTimeout limits the wait for the usage reports of the windows in calm; far above the
	// bound.
	usageTimeout   = 40 * time.Second
	clientThink    = 100 * time.Millisecond
	clientPatience = 4 * time.Second // how long clients wait beyond the time left of a request
)

// Run runs one soak. It returns an error if the soak could not be run; violations are in the
// result.
func Run(ctx context.Context, options Options) (Result, error) {
	s := &soak{options: options, plan: NewPlan(options.Seed, options.Shape), recorder: &recorder{}}
	if err := os.MkdirAll(options.Dir, directoryMode); err != nil {
		return Result{}, errors.Wrap(err, "soak: create directory")
	}
	var err error
	s.cluster, err = newCluster(options.Program, options.Dir, options.Shape, s.recorder, s.onExit)
	if err != nil {
		return Result{}, err
	}
	defer s.cluster.close()
	s.operator = newOperator(s.cluster, s.recorder, options.Seed)
	s.prober = newProber(s.cluster, s.recorder, s.operator)
	if err := s.startCluster(ctx); err != nil {
		return Result{}, err
	}
	s.playUnderLoad(ctx)
	s.cluster.close()
	if ctx.Err() != nil {
		return Result{}, errors.Wrap(ctx.Err(), "soak: interrupted")
	}
	if err := s.scanLogs(); err != nil {
		return Result{}, err
	}
	return Result{Plan: s.plan, Evidence: s.recorder.evidence, Violations: Evaluate(s.recorder.evidence)}, nil
}

type soak struct {
	options  Options
	plan     Plan
	cluster  *cluster
	recorder *recorder
	operator *operator
	prober   *prober
}

func (s *soak) onExit(p *process, err error) {
	s.recorder.update(func(e *Evidence) {
		e.OwnEnds = append(e.OwnEnds, fmt.Sprintf("%s ended by itself: %v", p.name(), err))
	})
}

// startCluster starts the components and waits until every router serves the first
// configuration.
func (s *soak) startCluster(ctx context.Context) error {
	if err := s.cluster.start(); err != nil {
		return err
	}
	version := s.operator.nextVersion()
	for deadline := time.Now().Add(startTimeout); s.operator.submit(ctx, version, 0, "") != ChangeAcknowledged; {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.New("soak: submit the first configuration: not acknowledged in time; see the logs of the child processes")
		}
	}
	if err := s.cluster.startRunners(s.options.Shape.Runners); err != nil {
		return err
	}
	if missing := s.cluster.waitUntilServing(ctx); len(missing) > 0 {
		return errors.Errorf("soak: start processes: not serving: %s; see their logs", strings.Join(missing, ", "))
	}
	s.prober.awaitConvergence(ctx, version, 0)
	return nil
}

// playUnderLoad injects the faults and submits the changes while clients send requests,
// followed by the calm phase.
func (s *soak) playUnderLoad(ctx context.Context) {
	loaded, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { load.Run(loaded, s.loadConfig()) })
	background.Go(func() { watchMemory(loaded, s.cluster, s.recorder) })
	evacuator := newEvacuator(s.cluster, s.recorder, s.options.Seed, s.options.Shape.Zones)
	adders := newTallyAdders(s.cluster, s.recorder)
	background.Go(func() { adders.run(loaded) })
	for router := range s.cluster.routers {
		background.Go(func() { s.prober.watch(loaded, router) })
	}
	loop.Pause(ctx, warmUpTime)
	begin := time.Now()
	s.recorder.update(func(e *Evidence) { e.Faulty = begin })
	var played sync.WaitGroup
	faults := newInjector(s.cluster, s.recorder)
	played.Go(func() { faults.play(ctx, s.plan.Faults, begin) })
	played.Go(func() { faults.playCore(ctx, s.plan.Core, begin) })
	played.Go(func() { s.operator.play(ctx, s.plan.Changes, begin) })
	evacuating, stopEvacuating := context.WithCancel(ctx)
	var evacuations sync.WaitGroup
	if s.evacuates() {
		evacuations.Go(func() { evacuator.run(evacuating) })
	}
	if s.options.Shape.Calm {
		loop.Pause(ctx, s.options.Shape.Duration)
	}
	played.Wait()
	stopEvacuating()
	evacuations.Wait()
	s.operator.submit(ctx, s.operator.nextVersion(), 0, "")
	faults.playClosing(ctx, s.plan.Closing)
	s.playCalm(ctx)
	if s.evacuates() {
		evacuator.playCalm(ctx)
	}
	stop()
	background.Wait()
	adders.readTotals(ctx)
	s.readFinalConfigurations(ctx)
}

// evacuates reports whether a zone is evacuated: there is another one with runners.
func (s *soak) evacuates() bool {
	return !s.options.Shape.Calm && s.options.Shape.Zones > 1 && s.options.Shape.Runners > 1
}

func (s *soak) loadConfig() load.Config {
	kind := func(prefix string, class load.Class, tokens int, left time.Duration) load.Kind {
		return load.Kind{Host: hostName, Path: prefix + "x", Key: tenantKey, Class: class, Model: modelName, Tokens: tokens, TimeLeft: left}
	}
	return load.Config{
		Routers: s.cluster.loadRouters(), Clients: s.options.Clients, Think: clientThink, Patience: clientPatience,
		Seed: s.options.Seed, OnRecord: s.recorder.onRecord,
		Kinds: slices.Concat(
			slices.Repeat([]load.Kind{kind(prefixIdempotent, load.Idempotent, 0, 3*time.Second)}, 3),
			slices.Repeat([]load.Kind{kind(prefixEffectful, load.Effectful, 0, 3*time.Second)}, 4),
			slices.Repeat([]load.Kind{kind(prefixStreaming, load.Streaming, 30, 4*time.Second)}, 2),
			slices.Repeat([]load.Kind{kind(prefixResumable, load.Resumable, 50, 4*time.Second)}, 2),
			[]load.Kind{kind(prefixStreaming, load.Streaming, 200, 8*time.Second)},
			[]load.Kind{kind(prefixStreaming, load.Streaming, 500, 10*time.Second)}, // runs late into the grace period of a router
		),
	}
}

// playCalm waits until the components have recovered, then submits two more changes and waits
// until they are served.
func (s *soak) playCalm(ctx context.Context) {
	unserved := s.cluster.waitUntilServing(ctx)
	loop.Pause(ctx, contactMs*time.Millisecond)
	s.recorder.update(func(e *Evidence) { e.Calm, e.Unserved = time.Now(), unserved })
	s.operator.readBaseVersion(ctx)
	for range 2 {
		before, version := s.operator.baseVersion, s.operator.nextVersion()
		if outcome := s.operator.submit(ctx, version, 0, ""); outcome != ChangeAcknowledged {
			s.recorder.update(func(e *Evidence) {
				e.Unserved = append(e.Unserved, fmt.Sprintf("the core (version %d in calm: %s)", version, outcome))
			})
			continue
		}
		s.prober.awaitConvergence(ctx, version, before)
	}
	loop.Pause(ctx, calmTime)
	s.awaitWeights(ctx)
	s.awaitUsage(ctx)
}

// awaitUsage waits until the newest usage window that has ended so far is reported.
func (s *soak) awaitUsage(ctx context.Context) {
	due := lastWindowBefore(time.Now())
	isMissing := func() bool {
		_, reported := s.cluster.platform.Usage()[due]
		return !reported
	}
	for deadline := time.Now().Add(usageTimeout); isMissing() && time.Now().Before(deadline) && ctx.Err() == nil; {
		loop.Pause(ctx, pollEvery)
	}
	s.recorder.update(func(e *Evidence) { e.UsageDue = due })
}

// awaitWeights waits until every runner has loaded the newest target weights, and records the
// loaded versions.
func (s *soak) awaitWeights(ctx context.Context) {
	named := s.cluster.latestWeights.Load()
	hasOther := func(w LoadedWeights) bool { return w.Version != named }
	loaded := s.cluster.loadedWeights()
	for deadline := time.Now().Add(weightsTimeout); slices.ContainsFunc(loaded, hasOther) && time.Now().Before(deadline) && ctx.Err() == nil; {
		loop.Pause(ctx, pollEvery)
		loaded = s.cluster.loadedWeights()
	}
	s.recorder.update(func(e *Evidence) { e.Weights = loaded })
}

// readFinalConfigurations reads the configuration from every controller.
func (s *soak) readFinalConfigurations(ctx context.Context) {
	for controller := range s.cluster.controllers {
		for deadline := time.Now().Add(finalTimeout); ; loop.Pause(ctx, changePause) {
			read := s.operator.read(ctx, controller, true)
			if read.Status == 200 || time.Now().After(deadline) || ctx.Err() != nil {
				break
			}
		}
	}
}

// forbiddenLogTexts must not occur in the log of any child process.
var forbiddenLogTexts = []string{"invariant violated", "panic: ", "fatal error: "}

func (s *soak) scanLogs() error {
	for _, p := range slices.Concat(s.cluster.controllers, s.cluster.routers) {
		if err := s.scanLog(p); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) scanLog(p *process) error {
	log, err := os.Open(p.logPath())
	if err != nil {
		return errors.Wrap(err, "soak: open log")
	}
	defer log.Close()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxBodyBytes)
	for lines.Scan() {
		for _, text := range forbiddenLogTexts {
			if strings.Contains(lines.Text(), text) {
				s.recorder.update(func(e *Evidence) {
					e.LogFindings = append(e.LogFindings, LogFinding{Node: p.name(), Line: lines.Text()})
				})
			}
		}
	}
	return errors.Wrap(lines.Err(), "soak: read log")
}
