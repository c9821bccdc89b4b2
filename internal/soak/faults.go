// Injection of the planned faults into the components.

package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"beechtide.org/beechtide/internal/loop"
)

// leaveTimeout limits a planned departure of a runner: the retries until a controller
// acknowledges it, and the time that the runner keeps serving afterwards.
const leaveTimeout = 12 * time.Second

// closingDownTime is how long all processes stay down in a closing fault.
const closingDownTime = time.Second

// injector injects the faults of a plan.
type injector struct {
	cluster  *cluster
	recorder *recorder

	mu    sync.Mutex
	locks map[componentKey]*sync.Mutex
}

// componentKey identifies one component.
type componentKey struct {
	kind    ComponentKind
	subject int
}

func newInjector(c *cluster, r *recorder) *injector {
	return &injector{cluster: c, recorder: r, locks: map[componentKey]*sync.Mutex{}}
}

// lockComponent waits until no other fault affects the component: a process can take longer to
// exit than planned.
func (i *injector) lockComponent(fault Fault) (unlock func()) {
	key := componentKey{fault.Kind.Component(), fault.Subject}
	i.mu.Lock()
	lock := i.locks[key]
	if lock == nil {
		lock = &sync.Mutex{}
		i.locks[key] = lock
	}
	i.mu.Unlock()
	lock.Lock()
	return lock.Unlock
}

// play injects every fault at its planned time and returns when all of them have ended.
func (i *injector) play(ctx context.Context, faults []Fault, begin time.Time) {
	var running sync.WaitGroup
	for _, fault := range faults {
		running.Go(func() {
			loop.Pause(ctx, time.Until(begin.Add(fault.At)))
			if ctx.Err() == nil {
				i.inject(ctx, fault)
			}
		})
	}
	running.Wait()
}

// playClosing kills every process at the same time and starts all of them again. With
// KillAllWipeOne the first controller also loses its data directory.
func (i *injector) playClosing(ctx context.Context, closing ClosingFault) {
	if closing == NoClosingFault {
		return
	}
	var running sync.WaitGroup
	for subject := range i.cluster.routers {
		running.Go(func() { i.inject(ctx, Fault{Kind: KillRouter, Subject: subject, For: closingDownTime}) })
	}
	for subject := range i.cluster.controllers {
		kind := KillController
		if subject == 0 && closing == KillAllWipeOne {
			kind = WipeController
		}
		running.Go(func() { i.inject(ctx, Fault{Kind: kind, Subject: subject, For: closingDownTime}) })
	}
	running.Wait()
}

// inject injects one fault and records its period, including the time that the component needed
// to serve again.
func (i *injector) inject(ctx context.Context, fault Fault) {
	unlock := i.lockComponent(fault)
	defer unlock()
	span := Span{Fault: fault, From: time.Now()}
	switch fault.Kind.Component() {
	case ComponentRunner:
		i.injectRunner(ctx, fault, &span)
	case ComponentRouter:
		span.Node = i.cluster.routers[fault.Subject].name()
		span.Back = injectProcess(ctx, fault, i.cluster.routers[fault.Subject], i.cluster.routerProxies[fault.Subject])
	default:
		span.Node = i.cluster.controllers[fault.Subject].name()
		span.Back = injectProcess(ctx, fault, i.cluster.controllers[fault.Subject], i.cluster.controllerProxies[fault.Subject])
	}
	span.To = time.Now()
	i.recorder.update(func(e *Evidence) { e.Spans = append(e.Spans, span) })
}

// injectProcess injects a fault into a process or into the link to it, and reports whether the
// process serves again.
func injectProcess(ctx context.Context, fault Fault, node *process, link *proxy) bool {
	switch fault.Kind {
	case KillRouter, KillController:
		node.kill()
		return restartAfterFault(ctx, fault, node)
	case WipeController:
		node.kill()
		return node.wipeDisk() == nil && restartAfterFault(ctx, fault, node)
	case TerminateRouter, StopController:
		node.terminate()
		return restartAfterFault(ctx, fault, node)
	case PauseRouter, PauseController:
		pauseProcess(ctx, fault, node)
	case SilenceRouter, SilenceController:
		node.signal(syscall.SIGSTOP, false)
		loop.Pause(ctx, fault.For)
		node.kill()
		return node.start() == nil && node.waitUntilServing()
	case ReloadRouter:
		node.signal(syscall.SIGHUP, false)
	case LoseControl:
		impairLink(ctx, fault, link, linkDropAnswers)
	case CutFront, CutControl:
		impairLink(ctx, fault, link, linkCut)
	}
	return node.waitUntilServing()
}

func (i *injector) injectRunner(ctx context.Context, fault Fault, span *Span) {
	slot := i.cluster.slotAt(fault.Subject)
	span.Runner, span.Back = slot.runner.ID(), true
	switch fault.Kind {
	case CrashRunner:
		slot.runner.Crash()
		loop.Pause(ctx, fault.For)
		span.Back = i.cluster.replaceRunner(fault.Subject) == nil
	case LeaveRunner:
		leaving, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		span.Acknowledged = slot.runner.Leave(leaving)
		span.Back = i.cluster.replaceRunner(fault.Subject) == nil
	case LeaveUndrained:
		leaving, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		span.Acknowledged = slot.runner.LeaveUndrained(leaving, fault.For)
		span.Back = i.cluster.replaceRunner(fault.Subject) == nil
	case FloodRunner:
		slot.proxy.setMode(linkFlood)
		slot.proxy.resetConns()
		loop.Pause(ctx, fault.For)
		slot.proxy.setMode(linkUp)
	case LoseRunner:
		impairLink(ctx, fault, slot.proxy, linkDropAnswers)
	default:
		impairLink(ctx, fault, slot.proxy, linkCut)
	}
}

// restartAfterFault starts a process once the duration of its fault has passed, and waits until
// it serves.
func restartAfterFault(ctx context.Context, fault Fault, node *process) bool {
	loop.Pause(ctx, fault.For)
	return node.start() == nil && node.waitUntilServing()
}

func pauseProcess(ctx context.Context, fault Fault, node *process) {
	node.signal(syscall.SIGSTOP, false)
	loop.Pause(ctx, fault.For)
	node.signal(syscall.SIGCONT, false)
}

func impairLink(ctx context.Context, fault Fault, link *proxy, mode linkMode) {
	link.setMode(mode)
	loop.Pause(ctx, fault.For)
	link.setMode(linkUp)
}
