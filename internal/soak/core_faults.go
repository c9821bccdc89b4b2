// Faults of several controllers at once.

package soak

import (
	"context"
	"fmt"
	"time"

	"beechtide.org/beechtide/internal/loop"
)

// CoreFaultKind is a kind of fault of several controllers at once.
type CoreFaultKind string

// The kinds of faults of the core.
const (
	KillCore  CoreFaultKind = "kill all controllers"
	PauseCore CoreFaultKind = "pause all controllers"
	// SilenceZones silences all processes of all zones but that of one controller.
	SilenceZones CoreFaultKind = "silence all zones but one"
)

// CoreFault is a planned fault of the core. Times are relative to the start of the faults.
type CoreFault struct {
	Kind   CoreFaultKind
	Spared int // with SilenceZones: the controller whose zone is spared
	At     time.Duration
	For    time.Duration
	Wipe   bool // with SilenceZones: the spared controller loses its disk as the others come back
}

func (f CoreFault) String() string {
	text := fmt.Sprintf("%6.2fs %-24s for %.2fs", f.At.Seconds(), f.Kind, f.For.Seconds())
	if f.Kind == SilenceZones {
		text += fmt.Sprintf(", controller %d is spared, wiped: %v", f.Spared, f.Wipe)
	}
	return text
}

// playCore injects the faults of the core at their planned times, one after the other.
func (i *injector) playCore(ctx context.Context, faults []CoreFault, begin time.Time) {
	for _, fault := range faults {
		loop.Pause(ctx, time.Until(begin.Add(fault.At)))
		if ctx.Err() != nil {
			return
		}
		i.injectAll(ctx, i.partsOf(fault))
	}
}

// partsOf returns the faults of single components that make a fault of the core.
func (i *injector) partsOf(fault CoreFault) (parts []Fault) {
	spared := i.cluster.controllers[fault.Spared].settings.Zone
	for subject, p := range i.cluster.controllers {
		switch {
		case fault.Kind == KillCore:
			parts = append(parts, Fault{Kind: KillController, Subject: subject, For: fault.For})
		case fault.Kind == PauseCore:
			parts = append(parts, Fault{Kind: PauseController, Subject: subject, For: fault.For})
		case p.settings.Zone != spared:
			parts = append(parts, Fault{Kind: SilenceController, Subject: subject, For: fault.For})
		case fault.Wipe && subject == fault.Spared:
			parts = append(parts, Fault{Kind: WipeController, Subject: subject, At: fault.For, For: restartPause})
		}
	}
	for subject, p := range i.cluster.routers {
		if fault.Kind == SilenceZones && p.settings.Zone != spared {
			parts = append(parts, Fault{Kind: SilenceRouter, Subject: subject, For: fault.For})
		}
	}
	return parts
}

// injectAll injects faults at once, each after its time At, and returns when all of them have ended.
func (i *injector) injectAll(ctx context.Context, faults []Fault) {
	i.play(ctx, faults, time.Now())
}
