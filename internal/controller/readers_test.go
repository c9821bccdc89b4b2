package controller

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// A controller that has heard of no other one divides the runners among the members that it
// knows from its disk.
func TestStartingControllerReadsItsShareOfTheRunners(t *testing.T) {
	nodes, _, _ := three(t)
	alone := []messages.Peer{{Addr: nodes[0].transport.Addr(), Zone: "a", Status: messages.Alive}}
	until(t, func() bool { return len(nodes[0].startPeers(alone)) == 3 })
	read := map[string]int{}
	const runners = 300
	for i := range runners {
		n := messages.RunnerRecord{ID: fmt.Sprint("i-", i), Zone: "a"}
		for _, d := range nodes {
			self := []messages.Peer{{Addr: d.transport.Addr(), Zone: "a", Status: messages.Alive}}
			if readerOf(n, d.startPeers(self)) == d.transport.Addr() {
				read[d.transport.Addr()]++
			}
		}
	}
	total := 0
	for _, d := range nodes {
		must.Between(t, runners/6, read[d.transport.Addr()], runners/2)
		total += read[d.transport.Addr()]
	}
	must.Eq(t, runners, total)
}

func TestControllerOfACoreOfOneReadsAllAtOnce(t *testing.T) {
	d, _, stop := core(t, t.TempDir(), freePort(t), true)
	defer stop()
	self := []messages.Peer{{Addr: d.transport.Addr(), Zone: "a", Status: messages.Alive}}
	must.Eq(t, self, d.startPeers(self))
}
