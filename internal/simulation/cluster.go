// The simulated cluster: controllers, the links between them and the operators that call them.

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

// Defects disable mechanisms on purpose, so that tests can verify that the checks detect
// their absence.
type Defects struct {
	TallyDefects

	RespondBeforeDurable      bool // a response is sent before its record is durable
	RejectWithoutRound        bool // a change is rejected from what this node has learned, without a round
	ReadWithoutMajority       bool // a read is served from what this node has learned
	IgnoreAccepted            bool // a repeated change isn't detected
	ActWithoutWaiting         bool // a lease holder acts without the waits before and the deadline after
	SkipInitialGroupWrite     bool // the initial group isn't made durable before the first value
	AddMembersUnconfirmed     bool // members are added without a confirmation that they have the value on disk
	TreatUnusedLeaseAsUsed    bool // a lease that was never acted under is treated as used
	OrderWithoutBound         bool // a rollout orders more runners only as others are back
	LeaveRoundsUnfinished     bool // the rounds of proposers that have ended are never finished
	SkipComparisons           bool // routers don't compare versions outside the dissemination tree
	TrustOwnClock             bool // usage windows follow each machine's own time of day
	ReportWithoutAgreement    bool // a usage window is reported from its reporter's own counts, without agreement
	CountAtOneController      bool // routers send their counts to one controller only
	NeverResend               bool // counts aren't sent again to a controller that has restarted
	VoteAfterRestart          bool // a controller votes for quota owners immediately after its start
	OwnWithoutMajority        bool // a controller becomes the owner of a quota by its own vote alone
	IgnoreTokenAge            bool // a token is accepted at any age
	RetryNonIdempotent        bool // requests that may run at most once are retried like idempotent ones
	ReportNotRunAfterRun      bool // the response for a request that may have run states that it has not run
	MatchResponsesByOrder     bool // a response is matched to whichever request waits on its connection
	RetryWithoutBudget        bool // retries don't consume the retry budget
	ResumeFromStart           bool // a stream is resumed without the id of its last event
	AnswerWithoutContactLease bool // a controller answers operators without the contact lease
	ShutDownWithoutHandOver   bool // a member that is shut down stops immediately, without a hand-over
	SkipCanary                bool // all requests go to a new version immediately, without a canary
	IgnoreOutcomes            bool // bad responses of a new version are ignored
	IgnoreBaseline            bool // a new version isn't compared with the outcomes of the other versions
	KeepEndedSenders          bool // a relay keeps the load reports of a subscriber that has ended
}

// TallyDefects disable mechanisms of the tallies.
type TallyDefects struct {
	AckOnOneDisk            bool // an add is acknowledged once a single replica has it on disk
	TreatSilenceAsPartition bool // a replica that does not answer is treated as partitioned
	KeepOriginAfterDiskLoss bool // a replica that lost its disk continues under its old origin id
	SkipLogPull             bool // a replica receives only the logs that their own origins send
	AcceptOldEvidence       bool // an add is acknowledged by evidence of a partition that is older than the add
	AnswerBeforeQuery       bool // a starting replica answers before it has queried the others
	CountMemory             bool // replicas without a disk say that they have one
}

// Cluster holds the state of one history of the registers model.
type Cluster struct {
	kernel         *Kernel
	network        *Network
	controllers    []*Controller
	operators      []*operator
	founders       []string
	checks         *checks
	history        history.History
	defects        Defects
	serial         int
	deferredFaults []func()
	healed         bool

	faultCount    int // number of faults so far
	faultsUntilUs int64
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// newCluster creates a group of the given size, spare controllers outside it, and operators.
func newCluster(k *Kernel, size, spares, operators int, defects Defects) *Cluster {
	c := &Cluster{kernel: k, network: NewNetwork(k), defects: defects}
	for i := range size + spares {
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
		k.After(k.Between(Second/2, 2*Second), o.startNextCall)
	}
	return c
}

// addMemoryControllers adds controllers without a disk, of which any number may be lost. With them the
// others count.
func addMemoryControllers(c *Cluster, count int) {
	for i := range count {
		node := &Controller{cluster: c, addr: fmt.Sprintf("m%d", i+1), process: NewProcess(c.kernel), disk: NewStorage(c.kernel), memory: true}
		c.controllers = append(c.controllers, node)
		node.boot(false)
	}
}

// isCounted reports whether a controller is counted: in a cluster with controllers without a disk,
// those with one are.
func isCounted(c *Cluster, addr string) bool {
	return c.controllers[len(c.controllers)-1].memory && !c.controllerAt(addr).memory
}

func (c *Cluster) controllerAt(addr string) *Controller {
	for _, node := range c.controllers {
		if node.addr == addr {
			return node
		}
	}
	return nil
}

// crash stops a process. Its writes in progress may or may not be visible afterwards.
func (c *Cluster) crash(node *Controller) {
	c.kernel.Log("%s crashes", node.addr)
	node.process.Stop()
	node.disk.Kill()
	loseMemory(node)
}

// losePower stops a process and loses some of the unsynced content of its disk.
func (c *Cluster) losePower(node *Controller) {
	c.kernel.Log("%s loses power", node.addr)
	node.process.Stop()
	node.disk.LosePower()
	loseMemory(node)
}

// loseMemory wipes what a machine without a disk had in memory.
func loseMemory(node *Controller) {
	if node.memory {
		node.disk.Wipe()
	}
}

// wipe stops a process and wipes its disk.
func (c *Cluster) wipe(node *Controller) {
	c.kernel.Log("%s loses its disk", node.addr)
	node.process.Stop()
	node.disk.Wipe()
}

// restart boots the process if it is down.
func (c *Cluster) restart(node *Controller) {
	if !node.process.Up() {
		node.boot(false)
	}
}

// toleratesLossOf reports whether the design guarantees that every register tolerates the
// loss of this disk in the current state.
func (c *Cluster) toleratesLossOf(victim *Controller) bool {
	for part := range parts {
		if !c.majorityHasGroup(part, victim) && !c.repairComplete(part, victim) {
			return false
		}
	}
	return true
}

// majorityHasGroup reports whether a majority of the newest group remains without the victim
// whose disks hold a value with that group.
func (c *Cluster) majorityHasGroup(part int, victim *Controller) bool {
	group, remaining := c.checks.newest[part].Group, 0
	for _, m := range group {
		node := c.controllerAt(m.Addr)
		if node != victim && node.hasDurably(part, m.ID, c.checks.groupVersion[part]) {
			remaining++
		}
	}
	return remaining > len(group)/2
}

// repairComplete reports whether every remaining member that the last change of the group
// added has that change on disk, and at most a minority of the members is lost, including
// the victim.
func (c *Cluster) repairComplete(part int, victim *Controller) bool {
	group, lost := c.checks.newest[part].Group, 0
	for _, m := range group {
		node := c.controllerAt(m.Addr)
		identity, ok := node.disk.Durable(identityFile)
		switch {
		case node == victim || !ok || string(identity) != m.ID:
			lost++
		case c.checks.addedMembers[part][m.ID] && !node.hasDurably(part, m.ID, c.checks.groupVersion[part]):
			return false
		}
	}
	return lost <= (len(group)-1)/2
}

// hasDurably reports whether this disk durably holds the identity id and a committed
// value of the register with at least the given version.
func (c *Controller) hasDurably(part int, id string, version int64) bool {
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

// heal ends every fault of links, disks and processes.
func (c *Cluster) heal() {
	c.kernel.Log("everything heals")
	c.healed = true
	c.network.Heal()
	for _, node := range c.controllers {
		node.disk.Full, node.disk.ExtraDelayUs = false, 0
		node.disk.Resume()
		node.process.Thaw()
		c.restart(node)
	}
}

// initialValue returns the initial value, which names the founders as the group.
func (c *Cluster) initialValue() messages.Value { return consensus.InitialValue(c.founders) }
