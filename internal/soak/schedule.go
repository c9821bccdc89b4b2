// The entries of a schedule: faults and configuration changes.

package soak

import (
	"fmt"
	"time"
)

// FaultKind is what befalls a party.
type FaultKind string

// The kinds of faults. Those of processes end with the process started again, those of
// links with the link as before.
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
	CrashRunner     FaultKind = "crash runner"
	LeaveRunner     FaultKind = "leave runner"
	CutRunner       FaultKind = "cut runner"
	LoseRunner      FaultKind = "lose answers of runner"
)

// ComponentKind is what a fault befalls.
type ComponentKind string

// The parties.
const (
	ComponentRouter     ComponentKind = "router"
	ComponentController ComponentKind = "controller"
	ComponentRunner     ComponentKind = "runner"
)

// componentOfFault names the party of each kind of fault.
var componentOfFault = map[FaultKind]ComponentKind{
	KillRouter: ComponentRouter, PauseRouter: ComponentRouter, TerminateRouter: ComponentRouter, ReloadRouter: ComponentRouter, CutFront: ComponentRouter,
	KillController: ComponentController, PauseController: ComponentController, StopController: ComponentController,
	WipeController: ComponentController, CutControl: ComponentController, LoseControl: ComponentController,
	CrashRunner: ComponentRunner, LeaveRunner: ComponentRunner, CutRunner: ComponentRunner, LoseRunner: ComponentRunner,
}

// ComponentKind is what faults of this kind befall.
func (k FaultKind) Component() ComponentKind { return componentOfFault[k] }

// Fault is one entry of the schedule. Times count from the begin of the faults.
type Fault struct {
	Kind    FaultKind
	Subject int // number of the party among its like
	At      time.Duration
	For     time.Duration // until the party is started again or its link is whole
}

// latestEnd is when a fault is over at the latest, as far as can be planned: processes and
// runners that end as planned take their time before they do.
func (f Fault) latestEnd() time.Duration {
	switch f.Kind {
	case TerminateRouter, StopController:
		return f.At + f.For + graceS*time.Second
	case LeaveRunner:
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

// PlannedChange is a configuration change of the schedule.
type PlannedChange struct {
	Kind ChangeKind
	At   time.Duration
}

func (c PlannedChange) String() string { return fmt.Sprintf("%6.2fs %s", c.At.Seconds(), c.Kind) }
