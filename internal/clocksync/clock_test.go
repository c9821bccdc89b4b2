package clocksync

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	ms      = int64(1_000)
	second  = 1_000 * ms
	epochUs = 1_700_000_000 * second // time of day when the monotonic clock is 0
)

// clockErrorUs returns the error of a clock: its time of day minus the true one.
func clockErrorUs(t *testing.T, c *Clock, nowUs int64) int64 {
	t.Helper()
	timeUs, _ := c.TimeUs(nowUs)
	return timeUs - epochUs - nowUs
}

func TestJumpIsFollowedOnlyAfterStepHold(t *testing.T) {
	var c Clock
	c.Observe(epochUs, 0)
	const jumpUs = SyncWaitUs
	for nowUs := jumpUs; nowUs < jumpUs+StepHoldUs; nowUs += 100 * ms {
		c.Observe(epochUs+nowUs+2*second, nowUs)
		must.Zero(t, clockErrorUs(t, &c, nowUs))
	}
	c.Observe(epochUs+jumpUs+StepHoldUs+2*second, jumpUs+StepHoldUs)
	must.Eq(t, 2*second, clockErrorUs(t, &c, jumpUs+StepHoldUs), must.Sprint("a jump that lasts for StepHoldUs is adopted"))
}

func TestJumpDuringStartPhaseIsFollowed(t *testing.T) {
	var c Clock
	c.Observe(epochUs-2*second, 0)
	must.Eq(t, -2*second, clockErrorUs(t, &c, 0))
	c.Observe(epochUs+SyncWaitUs-ms, SyncWaitUs-ms)
	must.Zero(t, clockErrorUs(t, &c, SyncWaitUs))
}

func TestSlewIsFollowed(t *testing.T) {
	var c Clock
	c.Observe(epochUs, 0)
	for i := range int64(100) {
		c.Observe(epochUs+i*100*ms+i*ms, i*100*ms)
	}
	must.Eq(t, 99*ms, clockErrorUs(t, &c, 9_900*ms))
}

func TestNodeStartedDuringJumpAdoptsMedian(t *testing.T) {
	c := Clock{Votes: true}
	c.Observe(epochUs-2*second, 0)
	must.Eq(t, -2*second, clockErrorUs(t, &c, 0))
	const sentUs, answeredUs = 100 * ms, 104 * ms
	for _, node := range []string{"a", "b"} {
		c.AddSample(node, epochUs+102*ms, true, sentUs, answeredUs)
	}
	must.Between(t, -2*ms, clockErrorUs(t, &c, second), 2*ms)
	_, synchronized := c.TimeUs(second)
	must.True(t, synchronized)
}

// A node whose offset agrees with the others within the error of the messages uses its own
// time, which is more accurate.
func TestOwnOffsetIsKeptWithinErrorOfMedian(t *testing.T) {
	c := Clock{Votes: true}
	c.Observe(epochUs, 0)
	c.AddSample("a", epochUs+130*ms, true, 100*ms, 150*ms)
	must.Zero(t, clockErrorUs(t, &c, second))
}

func TestSynchronizedSamplesTakePrecedence(t *testing.T) {
	c := Clock{Votes: true}
	c.Observe(epochUs+2*second, 0)
	for _, node := range []string{"a", "b", "c"} {
		c.AddSample(node, epochUs+2*second, false, 0, 0) // started during the same jump
	}
	c.AddSample("d", epochUs, true, 0, 0)
	must.Zero(t, clockErrorUs(t, &c, 0))
}

func TestMoreAccurateSampleIsKept(t *testing.T) {
	var c Clock
	c.AddSample("a", epochUs, true, -ms, ms)
	c.AddSample("a", epochUs+second+300*ms, true, second, second+400*ms)
	must.Zero(t, clockErrorUs(t, &c, 2*second))
	c.AddSample("a", epochUs+3*second+second, true, 3*second-200*ms, 3*second+200*ms)
	must.Eq(t, second, clockErrorUs(t, &c, 3*second), must.Sprint("the earlier sample is inconsistent with the new one"))
	c.AddSample("b", 0, true, 0, 0)
	must.MapLen(t, 1, c.samples)
}

const nodes = 5

// fleet simulates controllers on machines whose clocks may jump.
type fleet struct {
	random         *rand.Rand
	clocks         [nodes]Clock
	machineErrorUs [nodes]int64 // error of the machine's time of day
	startUs        [nodes]int64 // start of the process
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2))}
	for i := range nodes {
		f.start(i, 0)
	}
	for range 4 {
		f.exchangeTimes(0)
	}
	return f
}

func (f *fleet) start(i int, nowUs int64) {
	f.startUs[i] = nowUs
	f.clocks[i] = Clock{Votes: true}
	f.clocks[i].Observe(epochUs+nowUs+f.machineErrorUs[i], 0)
}

// exchangeTimes makes every node observe its machine's time and request the time of most others.
func (f *fleet) exchangeTimes(nowUs int64) {
	for i := range nodes {
		f.clocks[i].Observe(epochUs+nowUs+f.machineErrorUs[i], nowUs-f.startUs[i])
		for j := range nodes {
			if i != j && f.random.IntN(5) > 0 {
				f.requestTime(i, j, nowUs)
			}
		}
	}
}

func (f *fleet) requestTime(i, j int, nowUs int64) {
	requestUs, responseUs := f.random.Int64N(10*ms), f.random.Int64N(10*ms)
	timeUs, synchronized := f.clocks[j].TimeUs(nowUs - f.startUs[j])
	f.clocks[i].AddSample(string(rune('a'+j)), timeUs, synchronized, nowUs-requestUs-f.startUs[i], nowUs+responseUs-f.startUs[i])
}

// disturb, at random, resets all clocks and makes those of up to two of the five machines jump,
// and restarts a node.
func (f *fleet) injectFaults(nowUs int64) {
	if f.random.IntN(20) == 0 {
		f.machineErrorUs = [nodes]int64{}
		for range 2 {
			f.machineErrorUs[f.random.IntN(nodes)] = (f.random.Int64N(5) - 2) * second
		}
	}
	if f.random.IntN(10) == 0 {
		f.start(f.random.IntN(nodes), nowUs)
	}
}

// The clocks of all controllers stay within 60 ms of the true time while the time of day of up to
// two of five machines jumps by seconds and processes are restarted.
func TestFleetClocksStayWithinErrorBound(t *testing.T) {
	for seed := range uint64(200) {
		f := newFleet(seed)
		for nowUs := second / 2; nowUs < 60*second; nowUs += second / 2 {
			f.injectFaults(nowUs)
			f.exchangeTimes(nowUs)
			for i := range nodes {
				timeUs, _ := f.clocks[i].TimeUs(nowUs - f.startUs[i])
				if nowUs-f.startUs[i] >= 2*second {
					must.Between(t, -60*ms, timeUs-epochUs-nowUs, 60*ms, must.Sprintf("seed %d, node %d at %d", seed, i, nowUs))
				}
			}
		}
	}
}

func TestSingleUnsynchronizedSampleIsNotAdopted(t *testing.T) {
	var c Clock
	c.Observe(epochUs, 0)
	c.AddSample("jumped", epochUs+SyncWaitUs-2*second, false, SyncWaitUs, SyncWaitUs+2*ms)
	_, synchronized := c.TimeUs(SyncWaitUs)
	must.False(t, synchronized)
	must.Zero(t, clockErrorUs(t, &c, SyncWaitUs+2*ms))
	for _, node := range []string{"a", "b"} {
		c.AddSample(node, epochUs+SyncWaitUs+11*ms, false, SyncWaitUs+10*ms, SyncWaitUs+12*ms)
	}
	_, synchronized = c.TimeUs(SyncWaitUs + 12*ms)
	must.True(t, synchronized)
	must.Between(t, -2*ms, clockErrorUs(t, &c, SyncWaitUs+12*ms), 2*ms)
}
