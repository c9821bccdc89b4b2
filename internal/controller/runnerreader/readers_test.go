package runnerreader

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// Guards against each controller reading all runners after all have restarted: one without live
// peers divides the runners among the members that are stored on its disk.
func TestStartingControllerReadsItsShareOfRunners(t *testing.T) {
	members := []string{"a:1", "b:1", "c:1"}
	read := map[string]int{}
	const runners = 300
	for i := range runners {
		runner := messages.RunnerRecord{ID: fmt.Sprint("i-", i), Zone: "a"}
		for _, addr := range members {
			self := []messages.Peer{{Addr: addr, Zone: "a", Status: messages.Alive}}
			if ReaderOf(runner, startPeers(self, members)) == addr {
				read[addr]++
			}
		}
	}
	total := 0
	for _, addr := range members {
		must.Between(t, runners/6, read[addr], runners/2)
		total += read[addr]
	}
	must.Eq(t, runners, total)
}

func TestOnlyCoreMemberReadsAllRunnersAtStart(t *testing.T) {
	self := []messages.Peer{{Addr: "a:1", Zone: "a", Status: messages.Alive}}
	must.Eq(t, self, startPeers(self, []string{"a:1"}))
	must.Eq(t, self, startPeers(self, nil))
}
