// The cluster: controllers, their links and the operators who call them.

package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/simulation/history"
)

// Defects take a mechanism out on purpose, so that a test can see the checks
// find it missing.
type Defects struct {
	RespondBeforeDurable bool // a response leaves before its record is durable
	DenyWithoutRound     bool // an order is refused by what this node has learned
	ReadWithoutMajority  bool // a read is served by what this node has learned
	ForgetTaken          bool // a repeated change isn't looked for
	ActWithoutWaiting    bool // a holder acts as soon and as long as it thinks it holds
	ForgetGenesis        bool // the first group isn't kept before the first value
	JoinUnconfirmed      bool // members are taken in unasked whether they hold the value
	TrustUnusedClaim     bool // a claim that was never acted under counts as one that was
	OrderWithoutBound    bool // a rollout goes on only as runners are back
	LeaveUnfinished      bool // nobody ends the round of a proposer that has ended
	NeverCompare         bool // routers rely on their place in the tree
	TrustOwnClock        bool // windows follow each machine's own time of day
	ReportUnagreed       bool // a window is reported as its reporter has counted it
	CountAtOneController bool // routers tell one controller what they have counted
	NeverResend          bool // a controller that has restarted isn't told again
	VoteAfterRestart     bool // a controller votes for owners as soon as it has started
	OwnWithoutMajority   bool // a controller owns counts by its own vote
	IgnoreTokenAge       bool // a token may be used at any time
	AckOnOneDisk         bool // an add is acknowledged once its replica has it
	TrustSilence         bool // a replica that does not answer counts as cut off
	KeepOrigin           bool // a replica that lost its disk goes on under its old name
	NeverPull            bool // replicas get no logs but those of who sends them
	TrustOldEvidence     bool // an add is acknowledged by evidence of a cut that is older than itself
	AnswerUnasked        bool // a replica that starts answers before it has asked the others
	RepeatEffectful      bool // requests that may run once are sent again like others
	PromiseAfterRun      bool // a request that may have run ends with a promise that it has not
	MatchByOrder         bool // an answer belongs to whoever waits on its connection
	RetryWithoutBudget   bool // attempts beyond the first cost nothing
	ResumeFromStart      bool // a stream is taken up without the id of its last event
	AnswerOutOfContact   bool // a controller answers operators without the lease of contact
	EndWithoutHandOver   bool // a member that is told to end does so at once
	ShiftUntried         bool // all requests go to a new version at once
	IgnoreOutcomes       bool // bad answers of a new version are not looked at
	CompareWithNothing   bool // outcomes of the other versions are not looked at
	KeepSenders          bool // a relay keeps the loads of a subscriber that has ended
}

// Cluster is everything in one history.
type Cluster struct {
	kernel      *Kernel
	network     *Network
	controllers []*Controller
	operators   []*operator
	founders    []string
	checks      *checks
	history     history.History
	defects     Defects
	serial      int
	aimed       []func()
	healed      bool

	disturbances     int // faults so far
	disturbedUntilUs int64
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// newCluster makes a group of the given size, and others who stand ready.
func newCluster(k *Kernel, size, ready, operators int, defects Defects) *Cluster {
	c := &Cluster{kernel: k, network: NewNetwork(k), defects: defects}
	for i := range size + ready {
		addr := fmt.Sprintf("c%d", i+1)
		c.controllers = append(c.controllers, &Controller{cluster: c, addr: addr, process: NewProcess(k), disk: NewStorage(k)})
		if i < size {
			c.founders = append(c.founders, addr)
		}
	}
	c.checks = newChecks(c)
	for i, node := range c.controllers {
		node.boot(i < size)
	}
	for i := range operators {
		o := &operator{cluster: c, name: fmt.Sprintf("operator-%d", i+1), number: i}
		c.operators = append(c.operators, o)
		k.After(k.Between(Second/2, 2*Second), o.next)
	}
	return c
}

func (c *Cluster) at(addr string) *Controller {
	for _, node := range c.controllers {
		if node.addr == addr {
			return node
		}
	}
	return nil
}

// crash ends a process; what it was writing may or may not be seen afterwards.
func (c *Cluster) crash(node *Controller) {
	c.kernel.Note("%s crashes", node.addr)
	node.process.Stop()
	node.disk.Kill()
}

// losePower ends a process and loses what its disk had not synced.
func (c *Cluster) losePower(node *Controller) {
	c.kernel.Note("%s loses power", node.addr)
	node.process.Stop()
	node.disk.LosePower()
}

// wipe ends a process and takes its disk.
func (c *Cluster) wipe(node *Controller) {
	c.kernel.Note("%s loses its disk", node.addr)
	node.process.Stop()
	node.disk.Wipe()
}

// restart begins another life where there is none.
func (c *Cluster) restart(node *Controller) {
	if !node.process.Up() {
		node.boot(false)
	}
}

// bearsLossOf tells whether the design promises to bear the loss of this disk
// now, in every register.
func (c *Cluster) bearsLossOf(victim *Controller) bool {
	for part := range parts {
		if !c.majorityKnows(part, victim) && !c.repairComplete(part, victim) {
			return false
		}
	}
	return true
}

// majorityKnows tells whether without the victim a majority of the newest group
// is left that knows from disk that it is the group.
func (c *Cluster) majorityKnows(part int, victim *Controller) bool {
	group, left := c.checks.newest[part].Group, 0
	for _, m := range group {
		node := c.at(m.Addr)
		if node != victim && node.knowsDurably(part, m.ID, c.checks.groupSince[part]) {
			left++
		}
	}
	return left > len(group)/2
}

// repairComplete tells whether those whom the last change took in hold it on
// disk, and no more members than a minority are lost, the victim among them.
func (c *Cluster) repairComplete(part int, victim *Controller) bool {
	group, lost := c.checks.newest[part].Group, 0
	for _, m := range group {
		node := c.at(m.Addr)
		identity, ok := node.disk.Durable(identityFile)
		switch {
		case node == victim || !ok || string(identity) != m.ID:
			lost++
		case c.checks.joined[part][m.ID] && !node.knowsDurably(part, m.ID, c.checks.groupSince[part]):
			return false
		}
	}
	return lost <= (len(group)-1)/2
}

// knowsDurably tells whether a loss of power leaves this disk with an identity
// and a register committed up to a version.
func (c *Controller) knowsDurably(part int, id string, version int64) bool {
	identity, ok := c.disk.Durable(identityFile)
	if !ok || string(identity) != id {
		return false
	}
	raw, ok := c.disk.Durable(recordFile(part))
	if !ok {
		return false
	}
	var record messages.Record
	if _, err := record.UnmarshalMsg(raw); err != nil {
		return false
	}
	return len(record.Committed.Group) > 0 && record.Committed.Version >= version
}

// heal ends every fault: links, disks and processes are as they should be.
func (c *Cluster) heal() {
	c.kernel.Note("everything heals")
	c.healed = true
	c.network.Heal()
	for _, node := range c.controllers {
		node.disk.Full, node.disk.SlowUs = false, 0
		node.disk.Resume()
		node.process.Thaw()
		c.restart(node)
	}
}

// genesis is the value before the first.
func (c *Cluster) genesis() messages.Value { return consensus.InitialValue(c.founders) }
