// Faults as they are played on the parties.

package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"beechtide.org/beechtide/internal/loop"
)

// leavePatience is how long a runner that leaves tries to have that acknowledged; it has
// to hold the time that it serves on as well.
const leavePatience = 12 * time.Second

// closingDown is how long all processes are down in a closing fault.
const closingDown = time.Second

// injector plays the faults of a plan.
type injector struct {
	cluster  *cluster
	recorder *recorder

	mu      sync.Mutex
	parties map[partyKey]*sync.Mutex
}

// partyKey names one party.
type partyKey struct {
	party   Party
	subject int
}

func newInjector(c *cluster, r *recorder) *injector {
	return &injector{cluster: c, recorder: r, parties: map[partyKey]*sync.Mutex{}}
}

// lockParty waits until no other fault befalls a party: an end of a process may take
// longer than planned.
func (i *injector) lockParty(fault Fault) (unlock func()) {
	key := partyKey{fault.Kind.Party(), fault.Subject}
	i.mu.Lock()
	lock := i.parties[key]
	if lock == nil {
		lock = &sync.Mutex{}
		i.parties[key] = lock
	}
	i.mu.Unlock()
	lock.Lock()
	return lock.Unlock
}

// play plays every fault at its time and returns when all have ended.
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

// playClosing kills every process at the same time and starts all of them again. Where the
// closing fault says so, the first controller loses its disk.
func (i *injector) playClosing(ctx context.Context, closing ClosingFault) {
	if closing == NoClosingFault {
		return
	}
	var running sync.WaitGroup
	for subject := range i.cluster.routers {
		running.Go(func() { i.inject(ctx, Fault{Kind: KillRouter, Subject: subject, For: closingDown}) })
	}
	for subject := range i.cluster.controllers {
		kind := KillController
		if subject == 0 && closing == KillAllWipeOne {
			kind = WipeController
		}
		running.Go(func() { i.inject(ctx, Fault{Kind: kind, Subject: subject, For: closingDown}) })
	}
	running.Wait()
}

// inject plays one fault and records it with the time that its party needed to be back.
func (i *injector) inject(ctx context.Context, fault Fault) {
	unlock := i.lockParty(fault)
	defer unlock()
	span := Span{Fault: fault, From: time.Now()}
	switch fault.Kind.Party() {
	case PartyRunner:
		i.injectRunner(ctx, fault, &span)
	case PartyRouter:
		span.Node = i.cluster.routers[fault.Subject].name()
		span.Back = injectProcess(ctx, fault, i.cluster.routers[fault.Subject], i.cluster.fronts[fault.Subject])
	default:
		span.Node = i.cluster.controllers[fault.Subject].name()
		span.Back = injectProcess(ctx, fault, i.cluster.controllers[fault.Subject], i.cluster.controls[fault.Subject])
	}
	span.To = time.Now()
	i.recorder.update(func(e *Evidence) { e.Spans = append(e.Spans, span) })
}

// injectProcess plays a fault on a process or on the link to it, and reports whether the
// process serves again.
func injectProcess(ctx context.Context, fault Fault, node *process, link *proxy) bool {
	switch fault.Kind {
	case KillRouter, KillController:
		node.kill()
		return restart(ctx, fault, node)
	case WipeController:
		node.kill()
		return node.wipe() == nil && restart(ctx, fault, node)
	case TerminateRouter, StopController:
		node.terminate()
		return restart(ctx, fault, node)
	case PauseRouter, PauseController:
		suspend(ctx, fault, node)
	case ReloadRouter:
		node.signal(syscall.SIGHUP, false)
	case LoseControl:
		withLink(ctx, fault, link, linkLoseAnswers)
	case CutFront, CutControl:
		withLink(ctx, fault, link, linkCut)
	}
	return node.waitUntilServing()
}

func (i *injector) injectRunner(ctx context.Context, fault Fault, span *Span) {
	placed := i.cluster.runnerAt(fault.Subject)
	span.Runner, span.Back = placed.runner.ID(), true
	switch fault.Kind {
	case CrashRunner:
		placed.runner.Crash()
		loop.Pause(ctx, fault.For)
		span.Back = i.cluster.replaceRunner(fault.Subject) == nil
	case LeaveRunner:
		leaving, cancel := context.WithTimeout(ctx, leavePatience)
		defer cancel()
		span.Acknowledged = placed.runner.Leave(leaving)
		span.Back = i.cluster.replaceRunner(fault.Subject) == nil
	case LoseRunner:
		withLink(ctx, fault, placed.proxy, linkLoseAnswers)
	default:
		withLink(ctx, fault, placed.proxy, linkCut)
	}
}

// restart starts a process after the time of its fault and waits until it serves.
func restart(ctx context.Context, fault Fault, node *process) bool {
	loop.Pause(ctx, fault.For)
	return node.start() == nil && node.waitUntilServing()
}

func suspend(ctx context.Context, fault Fault, node *process) {
	node.signal(syscall.SIGSTOP, false)
	loop.Pause(ctx, fault.For)
	node.signal(syscall.SIGCONT, false)
}

func withLink(ctx context.Context, fault Fault, link *proxy, mode linkMode) {
	link.setMode(mode)
	loop.Pause(ctx, fault.For)
	link.setMode(linkWhole)
}
