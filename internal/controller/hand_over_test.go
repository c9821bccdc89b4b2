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

// fellow is one of several controllers on addresses of the loopback network.
type fellow struct {
	*Controller
	stop  context.CancelFunc
	ended chan error
}

// patient takes the place of the bounds of a hand-over, so that a slow machine does not
// decide who takes over.
const patient = time.Minute

func startFellow(t *testing.T, n, port int, seeds []string, bootstrap bool) *fellow {
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
	d.repairs, err = d.newRepairer(grouprepair.HandOverTimes{Total: patient, Confirm: patient, Flush: patient})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f := &fellow{Controller: d, stop: cancel, ended: make(chan error, 1)}
	go func() { f.ended <- d.Run(ctx) }()
	return f
}

// groupsWith counts the registers in whose group a member is, as this controller
// knows them.
func (f *fellow) groupsWith(id string) int {
	count := 0
	for part := range consensus.RegisterCount {
		v, _ := f.registers.Committed(part)
		for _, m := range v.Group {
			if m.ID == id {
				count++
			}
		}
	}
	return count
}

// A member that is told to end, while a controller stands ready that is none,
// ends only after that one has its place in every register.
func TestMemberToldToEndHandsOverFirst(t *testing.T) {
	port := freePort(t)
	var seeds []string
	for n := 1; n <= 3; n++ {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:%d", n, port+2))
	}
	var fellows []*fellow
	for n := 1; n <= 4; n++ {
		fellows = append(fellows, startFellow(t, n, port, seeds, n <= 3))
	}
	leaver, other, spare := fellows[0], fellows[1], fellows[3]
	for len(leaver.monitor.Alive(messages.Controller)) < 4 || !leaver.knowsWell(4) {
		_ = spare.registers.CatchUp(t.Context(), other.transport.Addr(), 0)
	}
	leaver.stop()
	must.NoError(t, <-leaver.ended)
	must.Eq(t, consensus.RegisterCount, spare.groupsWith(spare.registers.ID()))
	must.Eq(t, 0, spare.groupsWith(leaver.registers.ID()))
	other.stop()
	must.NoError(t, <-other.ended)
	for _, p := range other.repairs.Successors() {
		must.NotEq(t, leaver.transport.Addr(), p.Addr, must.Sprint("one that has ended takes no place"))
	}
	must.Eq(t, consensus.RegisterCount, other.groupsWith(other.registers.ID()))
	for _, f := range fellows[2:] {
		f.stop()
		<-f.ended
	}
}

// knowsWell tells whether a number of controllers are known with their identity.
func (f *fellow) knowsWell(count int) bool {
	known := 0
	for _, p := range f.monitor.Alive(messages.Controller) {
		if p.MemberID != "" && p.Status == messages.Alive {
			known++
		}
	}
	return known >= count
}
