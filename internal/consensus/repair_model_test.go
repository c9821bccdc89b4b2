package consensus

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const (
	tickUs               = 100_000
	unreachableTimeoutUs = 1_000_000
	repairTimeoutUs      = 4_000_000 // maximum time until a group is repaired
	roundTimeoutUs       = 500_000   // timeout of a round
	ticksPerChange       = 3         // ticks per operator change, on average
	messagesPerLoss      = 40        // messages per lost message, on average
)

// repairModel simulates the repair of groups: every node runs a coordinator, and time
// advances in ticks in which messages are delivered in random order, some of them lost.
// It checks the preconditions of every membership change.
type repairModel struct {
	*paxosModel
	seed          uint64
	nowUs         int64
	size          int
	machines      map[string]*machine
	addedMachines int                            // number of machines that were added
	onStep        func(m *machine, s RepairStep) // if set, called before each step is executed
	latestRound   map[string]*Round              // by address: the latest round of a machine
}

// machine is a node with its coordinator and its faults.
type machine struct {
	*node
	coordinator    RepairCoordinator
	downUs         int64 // when it went down, 0 if it is up
	removed        bool  // it is down permanently
	partitioned    bool  // health checks reach it, but messages do not
	diskFull       bool  // its writes fail
	leaving        bool  // it is shutting down
	roundStartedUs int64 // when its latest round started
	joinedVersion  int64 // version of the change by which it last joined
}

func newRepairModel(t *testing.T, seed uint64, size int) *repairModel {
	t.Helper()
	model := &repairModel{paxosModel: newPaxosModel(t, seed, size), seed: seed, size: size, machines: map[string]*machine{}, latestRound: map[string]*Round{}}
	for addr, n := range model.nodes {
		model.machines[addr] = &machine{node: n}
	}
	return model
}

// sortedMachines returns the machines sorted by address, so that a seed is reproducible.
func (r *repairModel) sortedMachines() []*machine {
	var out []*machine
	for _, m := range r.machines {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *machine) int { return cmp.Compare(a.addr, b.addr) })
	return out
}

// addMachine adds a machine with an empty disk at a new address, which sorts last.
func (r *repairModel) addMachine() *machine {
	r.addedMachines++
	addr := fmt.Sprintf("10.0.1.%d:1", r.addedMachines)
	n := &node{addr: addr, acceptor: Acceptor{ID: addr + "/n"}, up: true}
	r.nodes[addr] = n
	r.machines[addr] = &machine{node: n}
	return r.machines[addr]
}

// remove shuts a machine down permanently.
func (r *repairModel) remove(m *machine) {
	m.up, m.removed, m.downUs = false, true, r.nowUs
	delete(r.latestRound, m.addr)
}

// loseDisk erases the disk of a machine, which restarts at once under a new identity.
func (r *repairModel) loseDisk(m *machine) {
	r.wipeDisk(m.node)
	r.restart(m)
}

// losePower restarts a machine, which loses the state that is not on disk.
func (r *repairModel) losePower(m *machine) {
	if m.removed {
		return
	}
	r.crash(m.node)
	r.restart(m)
}

func (r *repairModel) restart(m *machine) {
	m.up, m.downUs, m.coordinator = true, 0, RepairCoordinator{}
	delete(r.latestRound, m.addr)
}

func (r *repairModel) status() Status {
	s := Status{UnreachableTimeoutUs: unreachableTimeoutUs}
	for _, m := range r.sortedMachines() {
		if m.up && !m.removed {
			s.Ready = append(s.Ready, messages.Member{ID: m.acceptor.ID, Addr: m.addr})
		}
	}
	s.UnreachableFor = func(addr string) int64 {
		m := r.machines[addr]
		if m == nil || m.up {
			return 0
		}
		return r.nowUs - m.downUs
	}
	return s
}

func (r *repairModel) canReach(m *machine, addr string) bool {
	to := r.machines[addr]
	return to != nil && m.up && to.up && (m.addr == addr || !m.partitioned && !to.partitioned)
}

func (r *repairModel) view(m *machine) RepairView {
	reachable := 0
	for _, g := range m.learned.Group {
		if to := r.machines[g.Addr]; r.canReach(m, g.Addr) && to.acceptor.ID == g.ID {
			reachable++
		}
	}
	return RepairView{
		Self: m.addr, Base: m.learned, Status: r.status(), QuorumReachable: reachable > len(m.learned.Group)/2,
		DiskFault: m.diskFull, Leaving: m.leaving,
	}
}

// tick advances time by tickUs: values are learned and persisted, coordinators run a
// step, and messages are delivered.
func (r *repairModel) tick() {
	r.nowUs += tickUs
	machines := r.sortedMachines()
	r.gossip(machines)
	for _, m := range machines {
		if !m.up || len(m.learned.Group) == 0 || r.rnd.IntN(4) == 0 {
			continue
		}
		if step, due := m.coordinator.Step(r.nowUs, r.view(m)); due {
			if r.onStep != nil {
				r.onStep(m, step)
			}
			r.execute(m, step)
		}
	}
	for range 200 {
		if len(r.inFlight) == 0 {
			break
		}
		r.deliverOne(r.rnd.IntN(len(r.inFlight)))
	}
}

// gossip delivers the committed values of random machines to others, and persists the
// values of some.
func (r *repairModel) gossip(machines []*machine) {
	for _, m := range machines {
		from := machines[r.rnd.IntN(len(machines))]
		if r.rnd.IntN(3) == 0 && r.canReach(m, from.addr) && len(from.learned.Group) > 0 {
			r.learn(m.node, from.learned)
		}
		if m.up && !m.diskFull && r.rnd.IntN(8) == 0 {
			r.persist(m)
		}
	}
}

func (r *repairModel) persist(m *machine) {
	m.acceptor.Learn(m.learned)
	m.disk = m.acceptor.Record
}

// execute performs a step of a machine's coordinator.
func (r *repairModel) execute(m *machine, step RepairStep) {
	if !m.up {
		return
	}
	for _, to := range step.Confirm {
		if r.rnd.IntN(10) > 0 && r.confirm(m, to) {
			m.coordinator.RecordConfirmation(to.ID, m.learned.Version)
		}
	}
	if len(step.Propose) == 0 || r.inRound(m) {
		return
	}
	r.propose(m, func(cur messages.Value) ([]messages.Member, []byte, error) {
		if cur.Version != step.Version {
			return nil, nil, errors.New("another value was committed since the step was returned")
		}
		return step.Propose, cur.Body, nil
	})
}

// inRound reports whether a machine has a round in progress that has not timed out.
func (r *repairModel) inRound(m *machine) bool {
	round := r.latestRound[m.addr]
	return round != nil && round.Outcome == InProgress && r.nowUs-m.roundStartedUs < roundTimeoutUs
}

// propose starts a round at a machine, with a ballot above all earlier ones.
func (r *repairModel) propose(m *machine, change Change) {
	r.serial++
	stamp := fmt.Sprintf("s%d", r.serial)
	round := NewRound(0, m.learned, messages.Ballot{N: int64(r.serial), Who: stamp}, stamp, change)
	r.latestRound[m.addr], m.roundStartedUs = round, r.nowUs
	for _, request := range round.Requests() {
		r.inFlight = append(r.inFlight, message{round: round, request: request})
	}
}

// confirm sends the base to a member and reports whether the member has it on disk.
func (r *repairModel) confirm(m *machine, to messages.Member) bool {
	other := r.machines[to.Addr]
	if !r.canReach(m, to.Addr) || other.acceptor.ID != to.ID {
		return false
	}
	r.learn(other.node, m.learned)
	if !other.diskFull {
		r.persist(other)
	}
	return len(other.disk.Committed.Group) > 0 && other.disk.Committed.Version >= m.learned.Version
}

// deliverOne delivers or loses a message.
func (r *repairModel) deliverOne(i int) {
	m := r.inFlight[i]
	r.inFlight = append(r.inFlight[:i:i], r.inFlight[i+1:]...)
	proposer := r.proposer(m.round)
	if r.rnd.IntN(messagesPerLoss) == 0 || proposer == nil || !r.canReach(proposer, m.request.To.Addr) {
		return
	}
	if m.reply {
		r.receive(proposer, m)
		return
	}
	to := r.machines[m.request.To.Addr]
	if m.request.Body.Step == messages.Commit {
		r.learn(to.node, m.request.Body.Value)
		return
	}
	to.acceptor.Learn(to.learned)
	before := to.acceptor.Record
	response, changed := to.acceptor.Handle(m.request.Body)
	if changed && to.diskFull {
		to.acceptor.Record = before
		return
	}
	if changed {
		to.disk = to.acceptor.Record
	}
	r.inFlight = append(r.inFlight, message{round: m.round, request: m.request, reply: true, response: response})
}

// proposer returns the machine that runs a round, or nil if it is down or has abandoned
// the round.
func (r *repairModel) proposer(round *Round) *machine {
	for _, m := range r.machines {
		if r.latestRound[m.addr] == round && m.up {
			return m
		}
	}
	return nil
}

// receive passes a response to its round.
func (r *repairModel) receive(m *machine, msg message) {
	round := msg.round
	before := round.Outcome
	for _, request := range round.Receive(msg.request.To, msg.request.Body.Step, msg.response) {
		r.inFlight = append(r.inFlight, message{round: round, request: request})
	}
	if before != InProgress || round.Outcome != Chosen && round.Outcome != Superseded {
		return
	}
	if round.Outcome == Chosen {
		r.checkJoining(round)
		r.recordChosen(round.Value)
	}
	r.learn(m.node, round.Value)
}

// checkJoining checks a chosen membership change: each member that joins has the base on
// disk, and each live member that joined by the change before has the result of that
// change on disk.
func (r *repairModel) checkJoining(round *Round) {
	for _, g := range addedMembers(round.Base.Group, round.Value.Group) {
		m := r.machines[g.Addr]
		if m.acceptor.ID != g.ID {
			continue // wiped since
		}
		must.GreaterEq(r.t, round.Base.Version, m.disk.Committed.Version, must.Sprintf("seed %d: %s joined without the base on disk", r.seed, g.ID))
		must.SliceNotEmpty(r.t, m.disk.Committed.Group, must.Sprintf("seed %d: %s joined without the base on disk", r.seed, g.ID))
		m.joinedVersion = round.Value.Version
	}
	if sameGroup(round.Base.Group, round.Value.Group) {
		return
	}
	for _, g := range round.Base.Group {
		m := r.machines[g.Addr]
		if m.up && m.acceptor.ID == g.ID && m.joinedVersion > 0 && m.joinedVersion <= round.Base.Version && !m.diskFull {
			must.GreaterEq(r.t, m.joinedVersion, m.disk.Committed.Version, must.Sprintf("seed %d: the next change was chosen before %s had the result of the last one on disk", r.seed, g.ID))
		}
	}
}

// run runs a number of ticks, with changes by operators.
func (r *repairModel) run(ticks int) {
	for range ticks {
		if r.rnd.IntN(ticksPerChange) == 0 {
			r.operatorChange()
		}
		r.tick()
	}
}

// operatorChange starts a change at a random machine, unless that has a round in progress.
func (r *repairModel) operatorChange() {
	machines := r.sortedMachines()
	m := machines[r.rnd.IntN(len(machines))]
	if !m.up || m.removed || len(m.learned.Group) == 0 || r.inRound(m) {
		return
	}
	r.propose(m, setBody(fmt.Sprint(r.serial)))
}

// newest returns the newest committed value that a live machine has learned.
func (r *repairModel) newest() messages.Value {
	var v messages.Value
	for _, m := range r.sortedMachines() {
		if m.up && (m.learned.Version > v.Version || len(v.Group) == 0) {
			v = m.learned
		}
	}
	return v
}

// isRepaired reports whether the group has the target size, all its members are up under
// their current identities, and the last change is complete at every machine that has
// learned it.
func (r *repairModel) isRepaired() bool {
	v := r.newest()
	for _, g := range v.Group {
		if m := r.machines[g.Addr]; m == nil || !m.up || m.acceptor.ID != g.ID {
			return false
		}
	}
	for _, m := range r.sortedMachines() {
		if m.up && sameGroup(m.learned.Group, v.Group) && !m.coordinator.Complete(v.Group) {
			return false
		}
	}
	return len(v.Group) == r.size
}

// waitUntilRepaired runs ticks until the group is repaired, and fails the test after
// repairTimeoutUs.
func (r *repairModel) waitUntilRepaired() {
	r.t.Helper()
	startUs := r.nowUs
	for !r.isRepaired() {
		if r.nowUs-startUs > repairTimeoutUs {
			r.t.Fatalf("seed %d, size %d: group not repaired after %d ms: %s", r.seed, r.size, (r.nowUs-startUs)/1000, r.describe())
		}
		r.tick()
	}
}

// describe returns the state of each machine, for a failure message.
func (r *repairModel) describe() string {
	out := fmt.Sprintf("group %v\n", r.newest().Group)
	for _, m := range r.sortedMachines() {
		out += fmt.Sprintf("%s up=%t cut=%t full=%t learned=%d record=%d promised=%v\n", m.acceptor.ID, m.up, m.partitioned, m.diskFull, m.learned.Version, m.acceptor.Record.Committed.Version, m.acceptor.Record.Promised)
	}
	return out
}

// checkNoAcknowledgedChangeLost checks that no acknowledged change is lost and that another
// change can be committed.
func (r *repairModel) checkNoAcknowledgedChangeLost() {
	r.t.Helper()
	acked := r.acknowledged
	r.inFlight = nil
	wasUp := map[string]bool{}
	for addr, m := range r.machines {
		wasUp[addr] = m.up
	}
	for _, m := range r.machines {
		if m.removed {
			delete(r.nodes, m.addr)
		}
	}
	last := r.commitFinal()
	must.Greater(r.t, acked, last.Version, must.Sprintf("seed %d, size %d: acknowledged change lost", r.seed, r.size))
	for addr, m := range r.machines {
		m.up = wasUp[addr]
		if !m.removed {
			m.disk = m.acceptor.Record
			r.learn(m.node, last)
		}
	}
}

// members returns the machines of the group, in the order of the group.
func (r *repairModel) members() []*machine {
	var out []*machine
	for _, g := range r.newest().Group {
		if m := r.machines[g.Addr]; m != nil && !m.removed && m.acceptor.ID == g.ID {
			out = append(out, m)
		}
	}
	return out
}

// losePowerExcept restarts all machines except the given ones by a loss of power.
func (r *repairModel) losePowerExcept(exceptions ...*machine) {
	for _, m := range r.sortedMachines() {
		spared := false
		for _, exception := range exceptions {
			spared = spared || exception == m
		}
		if !spared {
			r.losePower(m)
		}
	}
}

// forEachGroupSizeAndSeed runs a history with groups of 3, 5 and 7 members and with each seed, and
// checks at its end that no acknowledged change is lost.
func forEachGroupSizeAndSeed(t *testing.T, seeds uint64, scenario func(model *repairModel)) {
	t.Helper()
	for _, size := range []int{3, 5, 7} {
		for seed := range seeds {
			model := newRepairModel(t, seed, size)
			model.run(5 + model.rnd.IntN(10))
			scenario(model)
			model.checkNoAcknowledgedChangeLost()
		}
	}
}

// tolerableLosses returns the number of simultaneous disk losses to simulate, which a
// group of this size must survive.
func (r *repairModel) tolerableLosses() int { return min(2, r.size/2) }

// pickRandom returns n different machines.
func pickRandom(r *rand.Rand, machines []*machine, n int) []*machine {
	machines = append([]*machine{}, machines...)
	r.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	return machines[:n]
}

// As many disks as tolerable are lost at once while all other machines lose power, three
// times, each time after the group is repaired.
func TestRepairAfterSimultaneousDiskLosses(t *testing.T) {
	forEachGroupSizeAndSeed(t, 60, func(model *repairModel) {
		for range 3 {
			lost := pickRandom(model.rnd, model.members(), model.tolerableLosses())
			for _, m := range lost {
				model.loseDisk(m)
			}
			model.losePowerExcept(lost...)
			model.checkNoAcknowledgedChangeLost()
			model.run(2)
			model.waitUntilRepaired()
		}
	})
}

// The newest member loses its disk right after it joined, and all others lose power.
func TestRepairAfterNewestMemberIsLost(t *testing.T) {
	forEachGroupSizeAndSeed(t, 60, func(model *repairModel) {
		for range 3 {
			model.remove(pickRandom(model.rnd, model.members(), 1)[0])
			newest := model.addMachine()
			model.run(8)
			model.waitUntilRepaired()
			must.True(t, containsMember(model.newest().Group, newest.acceptor.ID))
			model.loseDisk(newest)
			model.losePowerExcept(newest)
			model.checkNoAcknowledgedChangeLost()
			model.waitUntilRepaired()
		}
	})
}

// The proposer of a repair fails permanently while it runs the repair, or loses power if
// only one loss is tolerable.
func TestRepairAfterProposerFails(t *testing.T) {
	forEachGroupSizeAndSeed(t, 60, func(model *repairModel) {
		failed := false
		model.onStep = func(m *machine, s RepairStep) {
			if failed || len(s.Propose) == 0 || model.rnd.IntN(2) == 0 {
				return
			}
			failed = true
			if model.tolerableLosses() > 1 && containsMember(model.newest().Group, m.acceptor.ID) {
				model.remove(m)
				model.addMachine()
			} else {
				model.losePower(m)
			}
		}
		model.remove(pickRandom(model.rnd, model.members(), 1)[0])
		model.addMachine()
		model.run(12)
		model.waitUntilRepaired()
	})
}

// The machine of the first rank is partitioned although health checks reach it, or its
// disk is full: another machine repairs the group.
func TestRepairWhenFirstRankIsPartitionedOrDiskFull(t *testing.T) {
	for _, size := range []int{5, 7} {
		for seed := range uint64(60) {
			model := newRepairModel(t, seed, size)
			first := model.machines["10.0.0.1:1"]
			first.partitioned, first.diskFull = seed%2 == 0, seed%2 == 1
			model.run(5)
			model.loseDisk(model.machines["10.0.0.3:1"])
			model.waitUntilRepaired()
			first.partitioned, first.diskFull = false, false
			model.checkNoAcknowledgedChangeLost()
		}
	}
}

// A candidate whose writes fail never joins, and another candidate does.
func TestRepairSkipsCandidateWithFailingDisk(t *testing.T) {
	forEachGroupSizeAndSeed(t, 30, func(model *repairModel) {
		failingCandidate, healthyCandidate := model.addMachine(), model.addMachine()
		failingCandidate.diskFull = true
		model.remove(pickRandom(model.rnd, model.members(), 1)[0])
		model.run(5)
		model.size = len(model.newest().Group)
		model.waitUntilRepaired()
		must.False(t, containsMember(model.newest().Group, failingCandidate.acceptor.ID))
		must.True(t, containsMember(model.newest().Group, healthyCandidate.acceptor.ID))
		failingCandidate.diskFull = false
	})
}

// A leaving member has one of the two replicas of an acknowledged change. A candidate
// replaces it before it leaves, so that the change survives the loss of the other replica.
// If lost messages prevent that within the time limit, the group is repaired afterwards.
func TestHandOverCompletesBeforeLeaving(t *testing.T) {
	const histories, timeoutUs = 100, 2_500_000
	lateHandOvers := 0
	for seed := range uint64(histories) {
		model := newRepairModel(t, seed, 3)
		model.run(6)
		members := pickRandom(model.rnd, model.members(), 3)
		leavingMember, otherReplica, downMember := members[0], members[1], members[2]
		downMember.up = false
		model.runWithMemberDown(downMember, func() bool { return model.acknowledged >= 5 })
		candidate := model.addMachine()
		leavingMember.leaving = true
		startUs := model.nowUs
		model.runWithMemberDown(downMember, func() bool { return model.handedOver(leavingMember) || model.nowUs-startUs >= timeoutUs })
		handedOver := model.handedOver(leavingMember)
		model.remove(leavingMember)
		model.losePower(downMember)
		if handedOver {
			must.True(t, containsMember(model.newest().Group, candidate.acceptor.ID), must.Sprintf("seed %d: %s", seed, model.describe()))
			model.loseDisk(otherReplica)
			model.losePowerExcept(otherReplica)
		} else {
			lateHandOvers++
		}
		model.checkNoAcknowledgedChangeLost()
		model.run(10)
		model.waitUntilRepaired()
		model.checkNoAcknowledgedChangeLost()
	}
	must.LessEq(t, histories/50, lateHandOvers)
}

// As many disks as tolerable are lost at a random time during a hand-over, while all
// others lose power, including the leaving member.
func TestRepairAfterDiskLossesDuringHandOver(t *testing.T) {
	forEachGroupSizeAndSeed(t, 60, func(model *repairModel) {
		leavingMember := pickRandom(model.rnd, model.members(), 1)[0]
		model.addMachine()
		model.run(3)
		leavingMember.leaving = true
		model.run(model.rnd.IntN(10))
		var others []*machine
		for _, m := range model.members() {
			if m != leavingMember {
				others = append(others, m)
			}
		}
		lost := pickRandom(model.rnd, others, model.tolerableLosses())
		for _, m := range lost {
			model.loseDisk(m)
		}
		model.losePowerExcept(lost...)
		model.checkNoAcknowledgedChangeLost()
		leavingMember.leaving = false
		model.run(2)
		model.waitUntilRepaired()
	})
}

// runWithMemberDown runs ticks until a condition holds, with a member down but never long enough
// to be replaced.
func (r *repairModel) runWithMemberDown(downMember *machine, until func() bool) {
	for !until() {
		r.run(1)
		downMember.downUs = r.nowUs
	}
}

// handedOver reports whether the hand-over of a leaving machine is complete or not
// possible.
func (r *repairModel) handedOver(leavingMember *machine) bool {
	_, possible := HandOver(leavingMember.learned.Group, leavingMember.addr, r.status())
	return !possible && leavingMember.coordinator.Complete(leavingMember.learned.Group)
}

// A member that restarts before the timeout is not replaced.
func TestRestartDoesNotChangeGroup(t *testing.T) {
	model := newRepairModel(t, 3, 3)
	model.addMachine()
	model.run(5)
	group := model.newest().Group
	for _, m := range model.members() {
		m.up, m.downUs = false, model.nowUs
		model.run(int(unreachableTimeoutUs/tickUs) - 1)
		model.losePower(m)
		model.run(5)
	}
	must.True(t, sameGroup(group, model.newest().Group))
}
