package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/grouprepair"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/settings"
)

// runningController is a running controller on its own loopback address.
type runningController struct {
	*Controller
	stop  context.CancelFunc
	ended chan error
}

// handOverTimeout replaces the time limits of a hand-over, so that the result does not depend on
// the speed of the machine.
const handOverTimeout = time.Minute

func startController(t *testing.T, n, port int, seeds []string, bootstrap bool) *runningController {
	t.Helper()
	ip := fmt.Sprintf("127.0.0.%d", n)
	set := settings.Settings{Node: ip, Ip: ip, Zone: "a", Ports: []int{port, port + 1}, Seeds: seeds, Bootstrap: bootstrap, DataDir: t.TempDir(), BeatPeriodMs: 1000, Counted: true}
	set.Listen.Control = fmt.Sprintf("%s:%d", ip, port+2)
	set.Bounds.LeaseMs = 3000
	pool, err := ants.NewPool(64, ants.WithNonblocking(true))
	must.NoError(t, err)
	began := time.Now()
	d, err := New(set, pool, func() int64 { return time.Since(began).Microseconds() + 1 }, logr.Discard())
	must.NoError(t, err)
	d.repairs, err = d.newRepairer(grouprepair.HandOverTimeouts{Total: handOverTimeout, Confirm: handOverTimeout, Flush: handOverTimeout})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f := &runningController{Controller: d, stop: cancel, ended: make(chan error, 1)}
	go func() { f.ended <- d.Run(ctx) }()
	return f
}

// groupsWith counts the registers whose group, as committed at this controller, contains a member.
func (f *runningController) groupsWith(id string) int {
	count := 0
	for register := range consensus.RegisterCount {
		v, _ := f.registers.Committed(register)
		for _, m := range v.Group {
			if m.ID == id {
				count++
			}
		}
	}
	return count
}

// A member that is shut down while a spare controller is alive ends only after the spare has
// replaced it in the group of every register.
func TestStoppedMemberHandsRegistersOverToSpare(t *testing.T) {
	port := freePort(t)
	var seeds []string
	for n := 1; n <= 3; n++ {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:%d", n, port+2))
	}
	var controllers []*runningController
	for n := 1; n <= 4; n++ {
		controllers = append(controllers, startController(t, n, port, seeds, n <= 3))
	}
	leaving, other, spare := controllers[0], controllers[1], controllers[3]
	for len(leaving.monitor.Alive(messages.Controller)) < 4 || !leaving.knowsMembers(4) {
		_ = spare.registers.CatchUp(t.Context(), other.transport.Addr(), 0)
	}
	leaving.stop()
	must.NoError(t, <-leaving.ended)
	must.Eq(t, consensus.RegisterCount, spare.groupsWith(spare.registers.ID()))
	must.Eq(t, 0, spare.groupsWith(leaving.registers.ID()))
	other.stop()
	must.NoError(t, <-other.ended)
	for _, p := range other.repairs.Successors() {
		must.NotEq(t, leaving.transport.Addr(), p.Addr, must.Sprint("a controller that has ended is no successor"))
	}
	must.Eq(t, consensus.RegisterCount, other.groupsWith(other.registers.ID()))
	for _, f := range controllers[2:] {
		f.stop()
		<-f.ended
	}
}

// knowsMembers reports whether at least count controllers are alive with a known member ID.
func (f *runningController) knowsMembers(count int) bool {
	known := 0
	for _, p := range f.monitor.Alive(messages.Controller) {
		if p.MemberID != "" && p.Status == messages.Alive {
			known++
		}
	}
	return known >= count
}
