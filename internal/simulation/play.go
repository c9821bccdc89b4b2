// Running one history of the registers model.

package simulation

import (
	"time"

	"beechtide.org/beechtide/internal/messages"
)

// maxSearchTime bounds the linearizability check of one history.
const maxSearchTime = 20 * time.Second

// Options configure the run of a history.
type Options struct {
	Record  bool // record the history as text
	Defects Defects
}

// Result is the outcome of one history.
type Result struct {
	Seed    uint64
	Failure string // the first violated check; empty if there was none
	History []string
	Counts  Counts
}

// Play runs the history of the controllers for a seed.
func Play(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	size := []int{3, 3, 3, 5, 5, 7}[k.Below(6)]
	return playCluster(newCluster(k, size, k.Below(3), 2+k.Below(3), options.Defects), seed)
}

// PlayWithMemory simulates the history of a seed with two or three controllers without a disk beside
// those of Play.
func PlayWithMemory(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	c := newCluster(k, []int{3, 5}[k.Below(2)], k.Below(3), 2+k.Below(3), options.Defects)
	addMemoryControllers(c, 2+k.Below(2))
	return playCluster(c, seed)
}

// playCluster simulates the faults, heals them and checks the final state.
func playCluster(c *Cluster, seed uint64) Result {
	k := c.kernel
	c.scheduleFaults()
	k.RunUntil(calmPhaseUs + faultPhaseUs + maxFaultUs/2)
	c.heal()
	k.RunUntil(k.NowUs() + recoveryUs)
	c.checkFinalState()
	if k.failure == "" {
		if err := c.history.Check(maxSearchTime); err != nil {
			k.Fail("%v", err)
		}
	}
	c.checks.counts.Histories = 1
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: c.checks.counts}
}

// finalReadTimeoutUs is the timeout of each read of the final check.
const finalReadTimeoutUs = Second

// checkFinalState reads each register at every controller. Each read must return the
// newest value that was ever chosen, or a newer one.
func (c *Cluster) checkFinalState() {
	for _, node := range c.controllers {
		for part := range parts {
			c.checkRead(node, part)
		}
	}
}

func (c *Cluster) checkRead(node *Controller, part int) {
	k := c.kernel
	minVersion, answered := c.checks.newest[part].Version, false
	node.process.Deliver(func() {
		node.read(part, finalReadTimeoutUs, func(v messages.Value, err error) {
			answered = true
			switch {
			case err != nil:
				k.Fail("%s can't read part %d, %d us after everything healed: %v", node.addr, part, recoveryUs, err)
			case v.Version < minVersion:
				k.Fail("%s reads version %d of part %d after %d was chosen", node.addr, v.Version, part, minVersion)
			}
		})
	})
	for waitedUs := int64(0); !answered && waitedUs < 2*finalReadTimeoutUs; waitedUs += 5 * Millisecond {
		k.RunUntil(k.NowUs() + 5*Millisecond)
	}
	if !answered {
		k.Fail("%s doesn't answer a read of part %d after everything healed", node.addr, part)
	}
}
