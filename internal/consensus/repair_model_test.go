package consensus

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const (
	tickUs      = 100_000
	detectUs    = 1_000_000
	catchUpUs   = 4_000_000 // within which a replaced member is a voter again
	roundUs     = 500_000   // after which a round is given up
	changeEvery = 3         // ticks, on average
	oneLostIn   = 40        // messages, one is lost
)

// repairWorld plays repairs: every node runs a coordinator, and time goes on in
// ticks in which messages are delivered in random order, some of them lost. It
// checks at every change of a group what a group may count on.
type repairModel struct {
	*paxosModel
	seed     uint64
	nowUs    int64
	size     int
	machines map[string]*machine
	serials  int
	onStep   func(m *machine, s RepairStep)
	busy     map[string]*Round // the round a machine is at
}

// machine is a node with its faults.
type machine struct {
	*node
	coordinator   RepairCoordinator
	downUs        int64 // since when it is down, 0 where it is up
	removed       bool  // taken away for good
	partitioned   bool  // alive to probes, but out of contact
	diskFull      bool  // the disk refuses writes
	leaving       bool
	roundBeganUs  int64 // when its last round began
	joinedVersion int64 // version of the change that took it in last
}

func newRepairModel(t *testing.T, seed uint64, size int) *repairModel {
	model := &repairModel{paxosModel: newPaxosModel(t, seed, size), seed: seed, size: size, machines: map[string]*machine{}, busy: map[string]*Round{}}
	for addr, n := range model.nodes {
		model.machines[addr] = &machine{node: n}
	}
	return model
}

// list gives the machines by address, so that a seed plays the same each time.
func (r *repairModel) sortedMachines() []*machine {
	var out []*machine
	for _, m := range r.machines {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].addr < out[j].addr })
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

func (r *repairModel) remove(m *machine) {
	m.up, m.removed, m.downUs = false, true, r.nowUs
	delete(r.busy, m.addr)
}

// loseDisk takes a machine's disk; it is back at once under a new identity.
func (r *repairModel) loseDisk(m *machine) {
	r.wipeDisk(m.node)
	r.restart(m)
}

// losePower takes what is not on the disk; the machine is back at once.
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

// tick moves time on: values spread and reach disks, coordinators step, and
// messages go.
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

// spread lets some learn from others what is committed, and some of that reach
// the disks.
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
			return nil, nil, fmt.Errorf("moved on")
		}
		return step.Propose, cur.Body, nil
	})
}

// atRound tells whether a machine is at a round that may still end.
func (r *repairModel) inRound(m *machine) bool {
	round := r.busy[m.addr]
	return round != nil && round.End == InProgress && r.nowUs-m.roundBeganUs < roundUs
}

// begin starts a round with a ballot above all before it.
func (r *repairModel) propose(m *machine, change Change) {
	r.serial++
	stamp := fmt.Sprintf("s%d", r.serial)
	round := NewRound(0, m.known, messages.Ballot{N: int64(r.serial), Who: stamp}, stamp, change)
	r.busy[m.addr], m.roundBeganUs = round, r.nowUs
	for _, request := range round.Requests() {
		r.inFlight = append(r.inFlight, message{round: round, request: request, ok: true})
	}
}

// confirm brings a member the base and tells whether its disk holds it.
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

// proposer is who works at a round, if it still lives.
func (r *repairModel) proposer(round *Round) *machine {
	for _, m := range r.machines {
		if r.busy[m.addr] == round && m.up {
			return m
		}
	}
	return nil
}

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

// check looks at a change of the group: each newcomer had the base on its disk,
// and those that the change before took in, as far as they live, had its outcome.
func (r *repairModel) checkJoining(round *Round) {
	for _, g := range addedMembers(round.Base.Group, round.Value.Group) {
		m := r.machines[g.Addr]
		if m.acceptor.ID != g.ID {
			continue // lost since
		}
		must.GreaterEq(r.t, round.Base.Version, m.disk.Committed.Version, must.Sprintf("seed %d: %s counts without the state", r.seed, g.ID))
		must.SliceNotEmpty(r.t, m.disk.Committed.Group, must.Sprintf("seed %d: %s counts without the state", r.seed, g.ID))
		m.joinedVersion = round.Value.Version
	}
	if sameGroup(round.Base.Group, round.Value.Group) {
		return
	}
	for _, g := range round.Base.Group {
		m := r.machines[g.Addr]
		if m.up && m.acceptor.ID == g.ID && m.joinedVersion > 0 && m.joinedVersion <= round.Base.Version && !m.diskFull {
			must.GreaterEq(r.t, m.joinedVersion, m.disk.Committed.Version, must.Sprintf("seed %d: the next change began before %s had said so", r.seed, g.ID))
		}
	}
}

// play runs for some ticks, with operators' changes now and then.
func (r *repairModel) play(ticks int) {
	for range ticks {
		if r.rnd.IntN(changeEvery) == 0 {
			r.operatorChange()
		}
		r.tick()
	}
}

func (r *repairModel) operatorChange() {
	list := r.sortedMachines()
	m := list[r.rnd.IntN(len(list))]
	if !m.up || m.removed || len(m.known.Group) == 0 || r.inRound(m) {
		return
	}
	r.propose(m, setBody(fmt.Sprint(r.serial)))
}

// newest is the newest value that a machine in service knows.
func (r *repairModel) newest() messages.Value {
	var v messages.Value
	for _, m := range r.sortedMachines() {
		if m.up && (m.known.Version > v.Version || len(v.Group) == 0) {
			v = m.known
		}
	}
	return v
}

// whole tells whether the group is of the wanted size, all of it alive with the
// identity it has, and the last change complete for all who know of it.
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

// repaired plays until the group is whole, and fails where that takes too long.
func (r *repairModel) waitRepaired() {
	r.t.Helper()
	beganUs := r.nowUs
	for !r.isRepaired() {
		if r.nowUs-beganUs > catchUpUs {
			r.t.Fatalf("seed %d, size %d: no whole group after %d ms: %s", r.seed, r.size, (r.nowUs-beganUs)/1000, r.describe())
		}
		r.tick()
	}
}

// describe tells each machine's state, for a history that fails.
func (r *repairModel) describe() string {
	out := fmt.Sprintf("group %v\n", r.newest().Group)
	for _, m := range r.sortedMachines() {
		out += fmt.Sprintf("%s up=%t cut=%t full=%t known=%d record=%d promised=%v\n", m.acceptor.ID, m.up, m.partitioned, m.diskFull, m.known.Version, m.acceptor.Rec.Committed.Version, m.acceptor.Rec.Promised)
	}
	return out
}

// stands checks that what was acknowledged is still there and that changes go on.
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
	must.Greater(r.t, acked, last.Version, must.Sprintf("seed %d, size %d: acknowledged version lost", r.seed, r.size))
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

// eachWorld plays a history at groups of 3, 5 and 7, by seed.
func forEachModel(t *testing.T, seeds uint64, history func(model *repairModel)) {
	for _, size := range []int{3, 5, 7} {
		for seed := range seeds {
			model := newRepairModel(t, seed, size)
			model.play(5 + model.rnd.IntN(10))
			history(model)
			model.checkNothingLost()
		}
	}
}

// lossesAtOnce is how many losses a group bears.
func (r *repairModel) tolerableLosses() int { return min(2, r.size/2) }

func pickRandom(r *rand.Rand, list []*machine, n int) []*machine {
	list = append([]*machine{}, list...)
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

// As many disks as may be are lost at one moment, while all others lose power;
// once that is repaired, it comes again.
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

// The newest member is the first to be lost, right after it was taken in, and
// all others lose power.
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

// The one who proposes the repair is lost in the middle of it, or, where one loss
// is all that is borne, loses power.
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

// Who is first by address is cut off though alive to probes, or has a full disk:
// somebody else repairs.
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

// A newcomer whose disk takes nothing never counts; another one does.
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

// A member that leaves holds one of the two copies of what was acknowledged. It
// gives its place to a newcomer first, so that the other copy may be lost. Where
// lost messages keep it from that within its bound, the group repairs afterwards.
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

// As many disks as may be are lost at any moment of a handing over, while all
// others lose power, the one that hands over too.
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

// playWithout plays until something holds, while a member is down for a moment.
func (r *repairModel) playWithout(absent *machine, until func() bool) {
	for !until() {
		r.play(1)
		absent.downUs = r.nowUs
	}
}

func (r *repairModel) handedOver(leaver *machine) bool {
	_, may := HandOver(leaver.known.Group, leaver.addr, r.status())
	return !may && leaver.coordinator.Complete(leaver.known.Group)
}

// A member that returns from a plain restart is not swapped out.
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
