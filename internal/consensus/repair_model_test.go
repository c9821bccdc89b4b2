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
	tickUs      = 100_000
	detectUs    = 1_000_000
	catchUpUs   = 4_000_000 // within which a replaced member votes again
	roundUs     = 500_000   // after which a round times out
	changeEvery = 3         // ticks, on average
	oneLostIn   = 40        // of so many messages one is lost
)

// repairModel plays repairs: every node runs a coordinator, and time advances in
// ticks in which messages are delivered in random order, some of them lost. It
// checks the preconditions of every membership change.
type repairModel struct {
	*paxosModel
	seed     uint64
	nowUs    int64
	size     int
	machines map[string]*machine
	serials  int
	onStep   func(m *machine, s RepairStep)
	busy     map[string]*Round // the round that a machine runs, by address
}

// machine is a node with its faults.
type machine struct {
	*node
	coordinator   RepairCoordinator
	downUs        int64 // since when it is down, 0 if it is up
	removed       bool  // for good
	partitioned   bool  // health checks reach it, but messages do not
	diskFull      bool  // writes fail
	leaving       bool
	roundBeganUs  int64 // when its last round began
	joinedVersion int64 // version of the change by which it joined last
}

func newRepairModel(t *testing.T, seed uint64, size int) *repairModel {
	t.Helper()
	model := &repairModel{paxosModel: newPaxosModel(t, seed, size), seed: seed, size: size, machines: map[string]*machine{}, busy: map[string]*Round{}}
	for addr, n := range model.nodes {
		model.machines[addr] = &machine{node: n}
	}
	return model
}

// sortedMachines returns the machines by address, so that a seed plays the same each
// time.
func (r *repairModel) sortedMachines() []*machine {
	var out []*machine
	for _, m := range r.machines {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *machine) int { return cmp.Compare(a.addr, b.addr) })
	return out
}

// join adds a machine with an empty disk at a new address, which sorts last.
func (r *repairModel) join() *machine {
	r.serials++
	addr := fmt.Sprintf("10.0.1.%d:1", r.serials)
	n := &node{addr: addr, acceptor: Acceptor{ID: addr + "/n"}, up: true}
	r.nodes[addr] = n
	r.machines[addr] = &machine{node: n}
	return r.machines[addr]
}

// remove takes a machine away for good.
func (r *repairModel) remove(m *machine) {
	m.up, m.removed, m.downUs = false, true, r.nowUs
	delete(r.busy, m.addr)
}

// loseDisk takes the disk of a machine, which is back at once under a new identity.
func (r *repairModel) loseDisk(m *machine) {
	r.wipeDisk(m.node)
	r.restart(m)
}

// losePower loses what is not on disk; the machine is back at once.
func (r *repairModel) losePower(m *machine) {
	if m.removed {
		return
	}
	r.crash(m.node)
	r.restart(m)
}

func (r *repairModel) restart(m *machine) {
	m.up, m.downUs, m.coordinator = true, 0, RepairCoordinator{}
	delete(r.busy, m.addr)
}

func (r *repairModel) status() Status {
	s := Status{GoneUs: detectUs}
	for _, m := range r.sortedMachines() {
		if m.up && !m.removed {
			s.Ready = append(s.Ready, messages.Member{ID: m.acceptor.ID, Addr: m.addr})
		}
	}
	s.GoneFor = func(addr string) int64 {
		m := r.machines[addr]
		if m == nil || m.up {
			return 0
		}
		return r.nowUs - m.downUs
	}
	return s
}

func (r *repairModel) reaches(m *machine, addr string) bool {
	to := r.machines[addr]
	return to != nil && m.up && to.up && (m.addr == addr || !m.partitioned && !to.partitioned)
}

func (r *repairModel) view(m *machine) RepairView {
	near := 0
	for _, g := range m.known.Group {
		if to := r.machines[g.Addr]; r.reaches(m, g.Addr) && to.acceptor.ID == g.ID {
			near++
		}
	}
	return RepairView{
		Self: m.addr, Base: m.known, Status: r.status(), Contact: near > len(m.known.Group)/2,
		DiskFault: m.diskFull, Leaving: m.leaving,
	}
}

// tick advances time: values are learned and reach disks, coordinators step, and
// messages are delivered.
func (r *repairModel) tick() {
	r.nowUs += tickUs
	list := r.sortedMachines()
	r.gossip(list)
	for _, m := range list {
		if !m.up || len(m.known.Group) == 0 || r.rnd.IntN(4) == 0 {
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

// gossip lets some machines learn from others, and some values reach the disks.
func (r *repairModel) gossip(list []*machine) {
	for _, m := range list {
		from := list[r.rnd.IntN(len(list))]
		if r.rnd.IntN(3) == 0 && r.reaches(m, from.addr) && len(from.known.Group) > 0 {
			r.learn(m.node, from.known)
		}
		if m.up && !m.diskFull && r.rnd.IntN(8) == 0 {
			r.persist(m)
		}
	}
}

func (r *repairModel) persist(m *machine) {
	m.acceptor.Learn(m.known)
	m.disk = m.acceptor.Rec
}

// execute carries out a step of a coordinator.
func (r *repairModel) execute(m *machine, step RepairStep) {
	if !m.up {
		return
	}
	for _, to := range step.Confirm {
		if r.rnd.IntN(10) > 0 && r.confirm(m, to) {
			m.coordinator.Kept(to.ID, m.known.Version)
		}
	}
	if len(step.Propose) == 0 || r.inRound(m) {
		return
	}
	r.propose(m, func(cur messages.Value) ([]messages.Member, []byte, error) {
		if cur.Version != step.Version {
			return nil, nil, errors.New("the base has changed")
		}
		return step.Propose, cur.Body, nil
	})
}

// inRound reports whether a machine has a round that may still end.
func (r *repairModel) inRound(m *machine) bool {
	round := r.busy[m.addr]
	return round != nil && round.End == InProgress && r.nowUs-m.roundBeganUs < roundUs
}

// propose starts a round with a ballot above all earlier ones.
func (r *repairModel) propose(m *machine, change Change) {
	r.serial++
	stamp := fmt.Sprintf("s%d", r.serial)
	round := NewRound(0, m.known, messages.Ballot{N: int64(r.serial), Who: stamp}, stamp, change)
	r.busy[m.addr], m.roundBeganUs = round, r.nowUs
	for _, request := range round.Requests() {
		r.inFlight = append(r.inFlight, message{round: round, request: request})
	}
}

// confirm sends a member the base and reports whether it has that on disk.
func (r *repairModel) confirm(m *machine, to messages.Member) bool {
	other := r.machines[to.Addr]
	if !r.reaches(m, to.Addr) || other.acceptor.ID != to.ID {
		return false
	}
	r.learn(other.node, m.known)
	if !other.diskFull {
		r.persist(other)
	}
	return len(other.disk.Committed.Group) > 0 && other.disk.Committed.Version >= m.known.Version
}

// deliverOne delivers a message or loses it.
func (r *repairModel) deliverOne(i int) {
	m := r.inFlight[i]
	r.inFlight = append(r.inFlight[:i:i], r.inFlight[i+1:]...)
	proposer := r.proposer(m.round)
	if r.rnd.IntN(oneLostIn) == 0 || proposer == nil || !r.reaches(proposer, m.request.To.Addr) {
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
	to.acceptor.Learn(to.known)
	before := to.acceptor.Rec
	response, changed := to.acceptor.Handle(m.request.Body)
	if changed && to.diskFull {
		to.acceptor.Rec = before
		return
	}
	if changed {
		to.disk = to.acceptor.Rec
	}
	r.inFlight = append(r.inFlight, message{round: m.round, request: m.request, reply: true, response: response})
}

// proposer is the machine that runs a round, or nil.
func (r *repairModel) proposer(round *Round) *machine {
	for _, m := range r.machines {
		if r.busy[m.addr] == round && m.up {
			return m
		}
	}
	return nil
}

// receive takes a response to a round.
func (r *repairModel) receive(m *machine, msg message) {
	round := msg.round
	before := round.End
	for _, request := range round.Receive(msg.request.To, msg.request.Body.Step, msg.response) {
		r.inFlight = append(r.inFlight, message{round: round, request: request})
	}
	if before != InProgress || round.End != Chosen && round.End != Superseded {
		return
	}
	if round.End == Chosen {
		r.checkJoining(round)
		r.recordChosen(round.Value)
	}
	r.learn(m.node, round.Value)
}

// checkJoining checks a membership change: each member that joins had the base on
// disk, and those that joined by the change before, as far as they are alive, had
// its outcome.
func (r *repairModel) checkJoining(round *Round) {
	for _, g := range addedMembers(round.Base.Group, round.Value.Group) {
		m := r.machines[g.Addr]
		if m.acceptor.ID != g.ID {
			continue // lost since
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
			must.GreaterEq(r.t, m.joinedVersion, m.disk.Committed.Version, must.Sprintf("seed %d: the next change began before %s had its outcome on disk", r.seed, g.ID))
		}
	}
}

// play runs some ticks, with changes by operators.
func (r *repairModel) play(ticks int) {
	for range ticks {
		if r.rnd.IntN(changeEvery) == 0 {
			r.operatorChange()
		}
		r.tick()
	}
}

// operatorChange starts a change at a random machine that is free.
func (r *repairModel) operatorChange() {
	list := r.sortedMachines()
	m := list[r.rnd.IntN(len(list))]
	if !m.up || m.removed || len(m.known.Group) == 0 || r.inRound(m) {
		return
	}
	r.propose(m, setBody(fmt.Sprint(r.serial)))
}

// newest is the newest value that a live machine knows.
func (r *repairModel) newest() messages.Value {
	var v messages.Value
	for _, m := range r.sortedMachines() {
		if m.up && (m.known.Version > v.Version || len(v.Group) == 0) {
			v = m.known
		}
	}
	return v
}

// isRepaired reports whether the group has the wanted size, all of it is alive under
// its identities, and the last change is complete for all who know of it.
func (r *repairModel) isRepaired() bool {
	v := r.newest()
	for _, g := range v.Group {
		if m := r.machines[g.Addr]; m == nil || !m.up || m.acceptor.ID != g.ID {
			return false
		}
	}
	for _, m := range r.sortedMachines() {
		if m.up && sameGroup(m.known.Group, v.Group) && !m.coordinator.Complete(v.Group) {
			return false
		}
	}
	return len(v.Group) == r.size
}

// waitRepaired plays until the group is repaired, and fails if that takes too long.
func (r *repairModel) waitRepaired() {
	r.t.Helper()
	beganUs := r.nowUs
	for !r.isRepaired() {
		if r.nowUs-beganUs > catchUpUs {
			r.t.Fatalf("seed %d, size %d: group not repaired after %d ms: %s", r.seed, r.size, (r.nowUs-beganUs)/1000, r.describe())
		}
		r.tick()
	}
}

// describe returns the state of each machine, for a failure message.
func (r *repairModel) describe() string {
	out := fmt.Sprintf("group %v\n", r.newest().Group)
	for _, m := range r.sortedMachines() {
		out += fmt.Sprintf("%s up=%t cut=%t full=%t known=%d record=%d promised=%v\n", m.acceptor.ID, m.up, m.partitioned, m.diskFull, m.known.Version, m.acceptor.Rec.Committed.Version, m.acceptor.Rec.Promised)
	}
	return out
}

// checkNothingLost checks that no acknowledged change is lost and that another one
// can be committed.
func (r *repairModel) checkNothingLost() {
	r.t.Helper()
	acked := r.acknowledged
	r.inFlight = nil
	ups := map[string]bool{}
	for addr, m := range r.machines {
		ups[addr] = m.up
	}
	for _, m := range r.machines {
		if m.removed {
			delete(r.nodes, m.addr)
		}
	}
	last := r.commitFinal()
	must.Greater(r.t, acked, last.Version, must.Sprintf("seed %d, size %d: acknowledged change lost", r.seed, r.size))
	for addr, m := range r.machines {
		m.up = ups[addr]
		if !m.removed {
			m.disk = m.acceptor.Rec
			r.learn(m.node, last)
		}
	}
}

// members are the machines of the group, in its order.
func (r *repairModel) members() []*machine {
	var out []*machine
	for _, g := range r.newest().Group {
		if m := r.machines[g.Addr]; m != nil && !m.removed && m.acceptor.ID == g.ID {
			out = append(out, m)
		}
	}
	return out
}

// othersLosePower is a loss of power at all machines but these.
func (r *repairModel) othersLosePower(but ...*machine) {
	for _, m := range r.sortedMachines() {
		spared := false
		for _, b := range but {
			spared = spared || b == m
		}
		if !spared {
			r.losePower(m)
		}
	}
}

// forEachModel plays a history with groups of 3, 5 and 7, by seed.
func forEachModel(t *testing.T, seeds uint64, history func(model *repairModel)) {
	t.Helper()
	for _, size := range []int{3, 5, 7} {
		for seed := range seeds {
			model := newRepairModel(t, seed, size)
			model.play(5 + model.rnd.IntN(10))
			history(model)
			model.checkNothingLost()
		}
	}
}

// tolerableLosses is how many simultaneous losses a group survives.
func (r *repairModel) tolerableLosses() int { return min(2, r.size/2) }

// pickRandom gives n different machines.
func pickRandom(r *rand.Rand, list []*machine, n int) []*machine {
	list = append([]*machine{}, list...)
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

// As many disks as tolerable are lost at once while all others lose power; once
// that is repaired, it happens again.
func TestRepairAfterSimultaneousDiskLosses(t *testing.T) {
	forEachModel(t, 60, func(model *repairModel) {
		for range 3 {
			lost := pickRandom(model.rnd, model.members(), model.tolerableLosses())
			for _, m := range lost {
				model.loseDisk(m)
			}
			model.othersLosePower(lost...)
			model.checkNothingLost()
			model.play(2)
			model.waitRepaired()
		}
	})
}

// The newest member is lost right after it joined, and all others lose power.
func TestRepairAfterNewestMemberIsLost(t *testing.T) {
	forEachModel(t, 60, func(model *repairModel) {
		for range 3 {
			model.remove(pickRandom(model.rnd, model.members(), 1)[0])
			newest := model.join()
			model.play(8)
			model.waitRepaired()
			must.True(t, containsMember(model.newest().Group, newest.acceptor.ID))
			model.loseDisk(newest)
			model.othersLosePower(newest)
			model.checkNothingLost()
			model.waitRepaired()
		}
	})
}

// The proposer of the repair is lost in the middle of it, or loses power if only
// one loss is tolerable.
func TestRepairAfterProposerFails(t *testing.T) {
	forEachModel(t, 60, func(model *repairModel) {
		struck := false
		model.onStep = func(m *machine, s RepairStep) {
			if struck || len(s.Propose) == 0 || model.rnd.IntN(2) == 0 {
				return
			}
			struck = true
			if model.tolerableLosses() > 1 && containsMember(model.newest().Group, m.acceptor.ID) {
				model.remove(m)
				model.join()
			} else {
				model.losePower(m)
			}
		}
		model.remove(pickRandom(model.rnd, model.members(), 1)[0])
		model.join()
		model.play(12)
		model.waitRepaired()
	})
}

// The machine of the first rank is partitioned, though health checks reach it, or
// its disk is full: another one repairs.
func TestRepairWhenFirstRankIsPartitionedOrDiskFull(t *testing.T) {
	for _, size := range []int{5, 7} {
		for seed := range uint64(60) {
			model := newRepairModel(t, seed, size)
			first := model.machines["10.0.0.1:1"]
			first.partitioned, first.diskFull = seed%2 == 0, seed%2 == 1
			model.play(5)
			model.loseDisk(model.machines["10.0.0.3:1"])
			model.waitRepaired()
			first.partitioned, first.diskFull = false, false
			model.checkNothingLost()
		}
	}
}

// A candidate whose disk refuses writes never joins; another one does.
func TestRepairSkipsCandidateWithFailingDisk(t *testing.T) {
	forEachModel(t, 30, func(model *repairModel) {
		bad, good := model.join(), model.join()
		bad.diskFull = true
		model.remove(pickRandom(model.rnd, model.members(), 1)[0])
		model.play(5)
		model.size = len(model.newest().Group)
		model.waitRepaired()
		must.False(t, containsMember(model.newest().Group, bad.acceptor.ID))
		must.True(t, containsMember(model.newest().Group, good.acceptor.ID))
		bad.diskFull = false
	})
}

// A leaving member has one of the two replicas of an acknowledged change. A
// candidate takes its place first, so that the other replica may be lost. If lost
// messages prevent that within the bound, the group is repaired afterwards.
func TestHandOverCompletesBeforeLeaving(t *testing.T) {
	const histories, boundUs = 100, 2_500_000
	late := 0
	for seed := range uint64(histories) {
		model := newRepairModel(t, seed, 3)
		model.play(6)
		all := pickRandom(model.rnd, model.members(), 3)
		leaver, other, absent := all[0], all[1], all[2]
		absent.up = false
		model.playWithout(absent, func() bool { return model.acknowledged >= 5 })
		newcomer := model.join()
		leaver.leaving = true
		beganUs := model.nowUs
		model.playWithout(absent, func() bool { return model.handedOver(leaver) || model.nowUs-beganUs >= boundUs })
		whole := model.handedOver(leaver)
		model.remove(leaver)
		model.losePower(absent)
		if whole {
			must.True(t, containsMember(model.newest().Group, newcomer.acceptor.ID), must.Sprintf("seed %d: %s", seed, model.describe()))
			model.loseDisk(other)
			model.othersLosePower(other)
		} else {
			late++
		}
		model.checkNothingLost()
		model.play(10)
		model.waitRepaired()
		model.checkNothingLost()
	}
	must.LessEq(t, histories/50, late)
}

// As many disks as tolerable are lost at any moment of a hand-over, while all
// others lose power, the leaving member included.
func TestRepairAfterDiskLossesDuringHandOver(t *testing.T) {
	forEachModel(t, 60, func(model *repairModel) {
		leaver := pickRandom(model.rnd, model.members(), 1)[0]
		model.join()
		model.play(3)
		leaver.leaving = true
		model.play(model.rnd.IntN(10))
		var others []*machine
		for _, m := range model.members() {
			if m != leaver {
				others = append(others, m)
			}
		}
		lost := pickRandom(model.rnd, others, model.tolerableLosses())
		for _, m := range lost {
			model.loseDisk(m)
		}
		model.othersLosePower(lost...)
		model.checkNothingLost()
		leaver.leaving = false
		model.play(2)
		model.waitRepaired()
	})
}

// playWithout plays until a condition holds, while a member is down for too short a
// time to be replaced.
func (r *repairModel) playWithout(absent *machine, until func() bool) {
	for !until() {
		r.play(1)
		absent.downUs = r.nowUs
	}
}

// handedOver reports whether a leaving machine has nothing left to hand over.
func (r *repairModel) handedOver(leaver *machine) bool {
	_, may := HandOver(leaver.known.Group, leaver.addr, r.status())
	return !may && leaver.coordinator.Complete(leaver.known.Group)
}

// A member that comes back after a short restart is not replaced.
func TestRestartDoesNotChangeGroup(t *testing.T) {
	model := newRepairModel(t, 3, 3)
	model.join()
	model.play(5)
	group := model.newest().Group
	for _, m := range model.members() {
		m.up, m.downUs = false, model.nowUs
		model.play(int(detectUs/tickUs) - 1)
		model.losePower(m)
		model.play(5)
	}
	must.True(t, sameGroup(group, model.newest().Group))
}
