// The entries of a plan: faults and configuration changes.

package soak

import (
	"fmt"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. Faults of a process end with its restart, faults of a link with the
// link up again.
const (
	KillRouter      FaultKind = "kill router"
	PauseRouter     FaultKind = "pause router"
	TerminateRouter FaultKind = "terminate router"
	ReloadRouter    FaultKind = "reload router"
	CutFront        FaultKind = "cut front"
	KillController  FaultKind = "kill controller"
	PauseController FaultKind = "pause controller"
	StopController  FaultKind = "terminate controller"
	WipeController  FaultKind = "wipe controller"
	CutControl      FaultKind = "cut control"
	LoseControl     FaultKind = "lose answers of control"
	// SilenceRouter and SilenceController stop a process, as if its machine had lost its power: it says
	// nothing, and refuses no connection. At the end it is killed and restarted.
	SilenceRouter     FaultKind = "silence router"
	SilenceController FaultKind = "silence controller"
	CrashRunner       FaultKind = "crash runner"
	LeaveRunner       FaultKind = "leave runner"
	CutRunner         FaultKind = "cut runner"
	LoseRunner        FaultKind = "lose answers of runner"
	// FloodRunner has a runner answer every request with bytes without end.
	FloodRunner FaultKind = "flood from runner"
	// LeaveUndrained is a departure of a runner that never says draining, and serves on for long.
	LeaveUndrained FaultKind = "leave runner undrained"
)

// ComponentKind is the kind of component that a fault affects.
type ComponentKind string

// The kinds of components.
const (
	ComponentRouter     ComponentKind = "router"
	ComponentController ComponentKind = "controller"
	ComponentRunner     ComponentKind = "runner"
)

// componentOfFault maps each kind of fault to the kind of component it affects.
var componentOfFault = map[FaultKind]ComponentKind{
	KillRouter: ComponentRouter, PauseRouter: ComponentRouter, TerminateRouter: ComponentRouter, ReloadRouter: ComponentRouter, CutFront: ComponentRouter,
	KillController: ComponentController, PauseController: ComponentController, StopController: ComponentController,
	WipeController: ComponentController, CutControl: ComponentController, LoseControl: ComponentController,
	SilenceRouter: ComponentRouter, SilenceController: ComponentController, LeaveUndrained: ComponentRunner,
	CrashRunner: ComponentRunner, LeaveRunner: ComponentRunner, CutRunner: ComponentRunner, LoseRunner: ComponentRunner, FloodRunner: ComponentRunner,
}

// Component returns the kind of component that faults of this kind affect.
func (k FaultKind) Component() ComponentKind { return componentOfFault[k] }

// Fault is a planned fault. Times are relative to the start of the faults.
type Fault struct {
	Kind    FaultKind
	Subject int // index of the component within its kind
	At      time.Duration
	For     time.Duration // until the component is restarted or its link is up
}

// latestEnd returns the latest planned end of a fault. It includes the time that processes take
// to terminate and runners take to leave.
func (f Fault) latestEnd() time.Duration {
	switch f.Kind {
	case TerminateRouter, StopController:
		return f.At + f.For + graceS*time.Second
	case LeaveRunner, LeaveUndrained:
		return f.At + f.For + 2*drainMs*time.Millisecond
	default:
		return f.At + f.For
	}
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-24s %d for %.2fs", f.At.Seconds(), f.Kind, f.Subject, f.For.Seconds())
}

// ChangeKind is a kind of configuration change.
type ChangeKind string

// The kinds of changes.
const (
	SmallChange      ChangeKind = "small change"
	LargeChange      ChangeKind = "large change"
	RacingChange     ChangeKind = "two changes on one base"
	RepeatChange     ChangeKind = "change sent twice"
	SetTargetWeights ChangeKind = "name weights"
)

// PlannedChange is a configuration change of the plan.
type PlannedChange struct {
	Kind ChangeKind
	At   time.Duration
}

func (c PlannedChange) String() string { return fmt.Sprintf("%6.2fs %s", c.At.Seconds(), c.Kind) }
