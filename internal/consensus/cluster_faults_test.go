package consensus

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
)

// persist writes the committed values to the disk of a node.
func (n *clusterNode) persist() {
	for index := range n.acceptors {
		if n.acceptors[index].Learn(n.learned[index]) {
			n.disk[index] = n.acceptors[index].Record
		}
	}
}

// crash stops a node, which loses the state that is not on its disk and the operations in
// progress at it.
func (c *cluster) crash(node *clusterNode) {
	node.up = false
	for index := range node.acceptors {
		node.acceptors[index].Record = node.disk[index]
		node.learned[index] = node.disk[index].Committed
	}
	var remaining []*operation
	for _, op := range c.operations {
		if op.node != node {
			remaining = append(remaining, op)
		}
	}
	c.operations = remaining
}

// wipe erases the disk of a node and assigns it a new identity.
func (c *cluster) wipe(node *clusterNode) {
	node.incarnation++
	id := fmt.Sprintf("%s/w%d", node.addr, node.incarnation)
	node.disk, node.learned = [2]messages.Record{}, [2]messages.Value{}
	node.acceptors = [2]Acceptor{{ID: id}, {ID: id}}
}

// fullyReplicated reports whether every member of both groups has the newest value on
// disk: only then may another disk be lost.
func (c *cluster) fullyReplicated() bool {
	for index, v := range c.newest {
		for _, m := range v.Group {
			node := c.nodeAt(m.Addr)
			if node.acceptors[index].ID != m.ID || node.disk[index].Committed.Version != v.Version {
				return false
			}
		}
	}
	return true
}

// loseDisk wipes a random node if the state is fully replicated.
func (c *cluster) loseDisk() {
	for _, node := range c.nodes {
		node.persist()
	}
	if !c.fullyReplicated() {
		return
	}
	node := c.nodes[c.rnd.IntN(len(c.nodes))]
	c.hist.Logf("%s loses its disk", node.addr)
	c.crash(node)
	c.wipe(node)
	node.up = true
}

// changeGroup starts a membership change at a random node: to the new identity of a wiped
// member, or to the spare node in place of a member that is considered unreachable.
func (c *cluster) changeGroup() {
	node := c.randomNode()
	if node == nil {
		return
	}
	var unreachable string
	if c.oneIn(3) {
		unreachable = c.nodes[c.rnd.IntN(len(c.nodes))].addr
	}
	for index := range node.acceptors {
		status := c.statusWithout(unreachable, index)
		c.startChange(&operation{id: -1, node: node, register: index}, func(cur messages.Value) ([]messages.Member, []byte, error) {
			group, needed := RepairGroup(cur.Group, status)
			if !needed {
				return nil, nil, errNothingToChange
			}
			return group, cur.Body, nil
		})
	}
}

// statusWithout returns the status in which one node is unreachable and all others that
// are up are ready.
func (c *cluster) statusWithout(unreachable string, index int) Status {
	status := Status{UnreachableTimeoutUs: 1, UnreachableFor: func(addr string) int64 {
		if addr == unreachable {
			return 1
		}
		return 0
	}}
	for _, node := range c.nodes {
		if node.up && node.addr != unreachable {
			status.Ready = append(status.Ready, messages.Member{ID: node.acceptors[index].ID, Addr: node.addr})
		}
	}
	return status
}

// upgrade restarts every node with a version of the program that has the other kind of
// validation, strict or lax.
func (c *cluster) upgrade() {
	c.strictValidation = !c.strictValidation
	c.hist.Logf("all nodes restart, strict validation: %v", c.strictValidation)
	for _, node := range c.nodes {
		c.crash(node)
		node.up = true
	}
}
