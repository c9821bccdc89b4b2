package clocksync

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	ms     = int64(1_000)
	second = 1_000 * ms
	dayUs  = 1_700_000_000 * second // a time of day at the start of the monotonic clock
)

// timeAt returns what a clock takes a moment for, less what it is.
func timeAt(t *testing.T, c *Clock, nowUs int64) int64 {
	t.Helper()
	timeUs, _ := c.TimeUs(nowUs)
	return timeUs - dayUs - nowUs
}

func TestJumpOfOwnTimeIsNotFollowed(t *testing.T) {
	var c Clock
	c.Observe(dayUs, 0)
	const jumpUs = AgreeUs
	for nowUs := jumpUs; nowUs < jumpUs+StepHoldUs; nowUs += 100 * ms {
		c.Observe(dayUs+nowUs+2*second, nowUs)
		must.Zero(t, timeAt(t, &c, nowUs))
	}
	c.Observe(dayUs+jumpUs+StepHoldUs+2*second, jumpUs+StepHoldUs)
	must.Eq(t, 2*second, timeAt(t, &c, jumpUs+StepHoldUs), must.Sprint("what lasts is the time"))
}

func TestJumpBackSoonAfterTheStartIsFollowed(t *testing.T) {
	var c Clock
	c.Observe(dayUs-2*second, 0)
	must.Eq(t, -2*second, timeAt(t, &c, 0))
	c.Observe(dayUs+AgreeUs-ms, AgreeUs-ms)
	must.Zero(t, timeAt(t, &c, AgreeUs))
}

func TestSlowCorrectionIsFollowed(t *testing.T) {
	var c Clock
	c.Observe(dayUs, 0)
	for i := range int64(100) {
		c.Observe(dayUs+i*100*ms+i*ms, i*100*ms)
	}
	must.Eq(t, 99*ms, timeAt(t, &c, 9_900*ms))
}

func TestProcessThatStartsDuringAJumpTakesTheTimeOfTheOthers(t *testing.T) {
	c := Clock{Votes: true}
	c.Observe(dayUs-2*second, 0)
	must.Eq(t, -2*second, timeAt(t, &c, 0))
	const sentUs, answeredUs = 100 * ms, 104 * ms
	for _, node := range []string{"a", "b"} {
		c.Compare(node, dayUs+102*ms, true, sentUs, answeredUs)
	}
	must.Between(t, -2*ms, timeAt(t, &c, second), 2*ms)
	_, agreed := c.TimeUs(second)
	must.True(t, agreed)
}

// One that agrees with the others within the error of the messages uses its own time,
// which is more exact.
func TestOwnTimeIsUsedWhereOthersAgree(t *testing.T) {
	c := Clock{Votes: true}
	c.Observe(dayUs, 0)
	c.Compare("a", dayUs+130*ms, true, 100*ms, 150*ms)
	must.Zero(t, timeAt(t, &c, second))
}

func TestNodesThatHaveComparedCountFirst(t *testing.T) {
	c := Clock{Votes: true}
	c.Observe(dayUs+2*second, 0)
	for _, node := range []string{"a", "b", "c"} {
		c.Compare(node, dayUs+2*second, false, 0, 0) // started during the same jump
	}
	c.Compare("d", dayUs, true, 0, 0)
	must.Zero(t, timeAt(t, &c, 0))
}

func TestMoreExactSampleIsKept(t *testing.T) {
	var c Clock
	c.Compare("a", dayUs, true, -ms, ms)
	c.Compare("a", dayUs+second+300*ms, true, second, second+400*ms)
	must.Zero(t, timeAt(t, &c, 2*second))
	c.Compare("a", dayUs+3*second+second, true, 3*second-200*ms, 3*second+200*ms)
	must.Eq(t, second, timeAt(t, &c, 3*second), must.Sprint("it is contradicted"))
	c.Compare("b", 0, true, 0, 0)
	must.MapLen(t, 1, c.samples)
}

const nodes = 5

// fleet is controllers whose machines' clocks may jump.
type fleet struct {
	random   *rand.Rand
	clocks   [nodes]Clock
	jumpedUs [nodes]int64 // of the machine's time of day
	startUs  [nodes]int64 // of the process
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2))}
	for i := range nodes {
		f.start(i, 0)
	}
	for range 4 {
		f.compare(0)
	}
	return f
}

func (f *fleet) start(i int, nowUs int64) {
	f.startUs[i] = nowUs
	f.clocks[i] = Clock{Votes: true}
	f.clocks[i].Observe(dayUs+nowUs+f.jumpedUs[i], 0)
}

// compare has every node compare itself with most others.
func (f *fleet) compare(nowUs int64) {
	for i := range nodes {
		f.clocks[i].Observe(dayUs+nowUs+f.jumpedUs[i], nowUs-f.startUs[i])
		for j := range nodes {
			if i != j && f.random.IntN(5) > 0 {
				f.ask(i, j, nowUs)
			}
		}
	}
}

func (f *fleet) ask(i, j int, nowUs int64) {
	there, back := f.random.Int64N(10*ms), f.random.Int64N(10*ms)
	timeUs, agreed := f.clocks[j].TimeUs(nowUs - f.startUs[j])
	f.clocks[i].Compare(string(rune('a'+j)), timeUs, agreed, nowUs-there-f.startUs[i], nowUs+back-f.startUs[i])
}

// disturb has clocks jump on two of five machines, or all come back, and restarts nodes.
func (f *fleet) disturb(nowUs int64) {
	if f.random.IntN(20) == 0 {
		f.jumpedUs = [nodes]int64{}
		for range 2 {
			f.jumpedUs[f.random.IntN(nodes)] = (f.random.Int64N(5) - 2) * second
		}
	}
	if f.random.IntN(10) == 0 {
		f.start(f.random.IntN(nodes), nowUs)
	}
}

// A fleet of controllers whose clocks jump by seconds on up to two in five of them, and
// whose processes are restarted, keeps one time.
func TestFleetKeepsOneTime(t *testing.T) {
	for seed := range uint64(200) {
		f := newFleet(seed)
		for nowUs := second / 2; nowUs < 60*second; nowUs += second / 2 {
			f.disturb(nowUs)
			f.compare(nowUs)
			for i := range nodes {
				timeUs, _ := f.clocks[i].TimeUs(nowUs - f.startUs[i])
				if nowUs-f.startUs[i] >= 2*second {
					must.Between(t, -60*ms, timeUs-dayUs-nowUs, 60*ms, must.Sprintf("seed %d, node %d at %d", seed, i, nowUs))
				}
			}
		}
	}
}

func TestOneNodeThatHasNotComparedItsTimeIsNotBelievedAlone(t *testing.T) {
	var c Clock
	c.Observe(dayUs, 0)
	c.Compare("jumped", dayUs+AgreeUs-2*second, false, AgreeUs, AgreeUs+2*ms)
	_, agreed := c.TimeUs(AgreeUs)
	must.False(t, agreed)
	must.Zero(t, timeAt(t, &c, AgreeUs+2*ms))
	for _, node := range []string{"a", "b"} {
		c.Compare(node, dayUs+AgreeUs+11*ms, false, AgreeUs+10*ms, AgreeUs+12*ms)
	}
	_, agreed = c.TimeUs(AgreeUs + 12*ms)
	must.True(t, agreed)
	must.Between(t, -2*ms, timeAt(t, &c, AgreeUs+12*ms), 2*ms)
}
