// Model "loads": routers report their in-flight requests per runner up the relay tree to the
// controllers. The load sums and streams (package statesync) are the production code; connections
// are modelled: reports arrive in order, or the connection ends.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Durations and sizes of a load history.
const (
	loadsFaultsUs      = 8 * Second
	loadsRecoveryUs    = 4 * Second
	loadReportUs       = 50 * Millisecond
	loadParentUs       = 250 * Millisecond
	loadRunners        = 8
	ownLoads           = "own"
	firstRelayedRouter = 2 // routers with a lower index have only controllers as parents
)

// loadHistory is the state of one simulated history.
type loadHistory struct {
	kernel    *Kernel
	nodes     []*loadNode // controllers first
	cores     int
	defects   Defects
	counts    Counts
	linkCount int64
	healed    bool
}

// loadNode is a controller, or a router that reports to its parent.
type loadNode struct {
	history *loadHistory
	number  int
	addr    string
	process *Process

	// The following fields are lost when the process restarts.
	own      map[string]messages.RunnerLoad // requests in flight
	stream   *statesync.Loads
	subtree  *statesync.LoadSum
	parent   *loadLink
	sendAll  bool
	children []*loadLink
}

// loadLink is a connection from a router to its parent.
type loadLink struct {
	senderName            string // under which the parent sums the child's loads
	child, parent         *loadNode
	childLife, parentLife int64
	openAtChild           bool // state at the child
	openAtParent          bool // state at the parent
	lastUs                int64
	cut                   bool
}

// PlayLoads simulates the load history of a seed.
func PlayLoads(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	h := &loadHistory{kernel: k, cores: 2 + k.Below(2), defects: options.Defects}
	for i := range h.cores + 4 + k.Below(12) {
		h.nodes = append(h.nodes, &loadNode{history: h, number: i, addr: fmt.Sprintf("n%d", i+1), process: NewProcess(k)})
	}
	for _, n := range h.nodes {
		n.boot()
	}
	for range 3 + k.Below(8) {
		k.After(k.Between(Second/2, loadsFaultsUs), h.injectFault)
	}
	k.RunUntil(loadsFaultsUs)
	h.heal()
	k.RunUntil(loadsFaultsUs + loadsRecoveryUs)
	h.checkSums()
	h.counts.LoadHistories = 1
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: h.counts}
}

func (n *loadNode) isCore() bool { return n.number < n.history.cores }

func (n *loadNode) boot() {
	n.process.Start()
	epoch := n.history.kernel.NowUs()*1000 + int64(n.number)
	n.own, n.stream, n.subtree = map[string]messages.RunnerLoad{}, statesync.NewLoads(), statesync.NewLoadSum(epoch)
	n.stream.Begin(epoch, 0)
	n.parent, n.sendAll, n.children = nil, true, nil
	n.every(loadReportUs, n.report)
	if !n.isCore() {
		n.every(loadParentUs, n.maintainParent)
		n.every(loadReportUs, n.changeLoads)
	}
}

func (n *loadNode) every(periodUs int64, run func()) {
	n.process.After(n.history.kernel.Between(periodUs/2, periodUs), func() {
		run()
		n.every(periodUs, run)
	})
}

// changeLoads changes the in-flight requests at random until all faults have been healed.
func (n *loadNode) changeLoads() {
	k := n.history.kernel
	if n.history.healed || k.Chance(400) {
		return
	}
	id := fmt.Sprintf("s%d", k.Below(loadRunners))
	load := messages.RunnerLoad{ID: id, Count: k.Below(4), Prefill: k.Below(3000)}
	if load.Count == 0 {
		delete(n.own, id)
		return
	}
	n.own[id] = load
}

// preferredParent returns the node that a router should report to: a router with a lower index or
// a controller, or nil if none is running.
func (n *loadNode) preferredParent() *loadNode {
	h := n.history
	index := n.number - h.cores
	if index >= firstRelayedRouter && index%2 == 0 {
		if relay := h.nodes[h.cores+index/2]; relay.process.Up() && !relay.process.frozen {
			return relay
		}
	}
	for i := range h.cores {
		if core := h.nodes[(index+i)%h.cores]; core.process.Up() && !core.process.frozen {
			return core
		}
	}
	return nil
}

// maintainParent maintains a connection to the preferred parent.
func (n *loadNode) maintainParent() {
	parent := n.preferredParent()
	if n.parent != nil && (n.parent.parent != parent || !n.parent.isAlive() || n.parent.cut) {
		n.parent.disconnect()
		n.parent = nil
	}
	if n.parent != nil || parent == nil || n.history.kernel.Chance(200) {
		return
	}
	n.history.linkCount++
	link := &loadLink{senderName: fmt.Sprintf("%s/%d", n.addr, n.history.linkCount), child: n, parent: parent, childLife: n.process.life, parentLife: parent.process.life, openAtChild: true, openAtParent: true}
	n.history.kernel.Log("%s follows %s", n.addr, parent.addr)
	n.parent, n.sendAll = link, true
	parent.children = append(parent.children, link)
}

// isAlive reports whether the connection is open and neither process has restarted since.
func (l *loadLink) isAlive() bool {
	return l.openAtChild && l.parent.process.life == l.parentLife && l.child.process.life == l.childLife
}

// disconnect ends the connection. The parent notices after a delay and drops the loads received on it.
func (l *loadLink) disconnect() {
	l.openAtChild = false
	k := l.parent.history.kernel
	k.After(k.Between(Millisecond, 900*Millisecond), func() { l.parent.process.inLifeOf(l.parentLife, l.forget)() })
}

func (l *loadLink) forget() {
	if l.openAtParent && !l.parent.history.defects.KeepEndedSenders {
		l.parent.subtree.Remove(l.senderName)
	}
	l.openAtParent = false
}

// report sends changed loads of the node's subtree to its parent.
func (n *loadNode) report() {
	n.stream.Replace(n.own)
	if n.stream.Dirty() {
		n.stream.Commit(n.stream.Version + 1)
		n.subtree.SyncFrom(ownLoads, n.stream)
	}
	total := n.subtree.Total
	if n.isCore() || n.parent == nil || !n.parent.isAlive() || !n.sendAll && !total.Dirty() {
		return
	}
	change := total.Commit(total.Version + 1)
	if n.sendAll {
		change, _ = total.DeltaSince(0, 0)
	}
	n.sendAll = false
	n.history.counts.LoadReports++
	n.parent.send(statesync.EncodeLoads(change))
}

// send delivers a report to the parent, in order with earlier ones. After a cut no more reports
// are delivered, and the child replaces the connection.
func (l *loadLink) send(change messages.LoadChange) {
	k := l.parent.history.kernel
	l.lastUs = max(l.lastUs+1, k.NowUs()+k.Between(200, 8*Millisecond))
	k.After(l.lastUs-k.NowUs(), func() {
		if l.cut {
			return // no more messages are delivered
		}
		l.parent.process.inLifeOf(l.parentLife, func() { l.handleReport(change) })()
	})
}

// handleReport applies a report, or requests all loads if an earlier report is missing.
func (l *loadLink) handleReport(change messages.LoadChange) {
	if !l.openAtParent {
		return
	}
	result := l.parent.subtree.Apply(l.senderName, change)
	if result == statesync.Applied || result == statesync.AlreadyApplied {
		return
	}
	l.child.process.inLifeOf(l.childLife, func() { l.child.sendAll = true })()
}

// injectFault kills or freezes a node, or cuts a connection.
func (h *loadHistory) injectFault() {
	if h.healed {
		return
	}
	k := h.kernel
	n, forUs := h.nodes[k.Below(len(h.nodes))], k.Between(50*Millisecond, 3*Second)
	if !n.process.Up() || n.process.frozen {
		return
	}
	switch k.Below(3) {
	case 0:
		k.Log("%s is killed for %d us", n.addr, forUs)
		n.process.Stop()
		n.closeConnections()
		k.After(forUs, n.restart)
	case 1:
		k.Log("%s freezes for %d us", n.addr, forUs)
		n.process.Freeze()
		k.After(forUs, n.process.Thaw)
	default:
		if n.parent != nil {
			k.Log("the connection of %s is cut", n.addr)
			n.parent.cut = true
		}
	}
}

// closeConnections closes the connections of a killed process at its peers.
func (n *loadNode) closeConnections() {
	if n.parent != nil {
		n.parent.disconnect()
	}
	for _, link := range n.children {
		link.openAtChild = false
	}
}

func (n *loadNode) restart() {
	if !n.process.Up() {
		n.boot()
	}
}

func (h *loadHistory) heal() {
	h.kernel.Log("everything heals")
	h.healed = true
	for _, n := range h.nodes {
		n.process.Thaw()
		n.restart()
	}
}

// checkSums compares the controllers' total loads with the routers' in-flight requests.
func (h *loadHistory) checkSums() {
	for i := range loadRunners {
		id := fmt.Sprintf("s%d", i)
		var have, want messages.RunnerLoad
		for _, n := range h.nodes {
			want.Count += n.own[id].Count
			want.Prefill += n.own[id].Prefill
			if n.isCore() {
				load, _ := n.subtree.Total.Get(id)
				have.Count += load.Count
				have.Prefill += load.Prefill
			}
		}
		if have != want {
			h.kernel.Fail("the controllers have %d requests and %d tokens at %s, the routers %d and %d", have.Count, have.Prefill, id, want.Count, want.Prefill)
		}
	}
}
