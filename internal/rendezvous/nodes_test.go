package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

func addresses(count int) []string {
	var addrs []string
	for i := range count {
		addrs = append(addrs, fmt.Sprintf("10.0.0.%d:1", i))
	}
	return addrs
}

func TestNodesWithEqualViewsChooseEqualNodes(t *testing.T) {
	addrs := addresses(9)
	for key := range 20 {
		name := fmt.Sprint("key", key)
		chosen := 0
		var first []string
		for _, self := range addrs {
			nodes := NewNodes(self, 0)
			nodes.MarkSeen(addrs, 1)
			top := nodes.Top(name, 3)
			if first == nil {
				first = top
			}
			must.Eq(t, first, top)
			must.Eq(t, slices.Contains(top, self), nodes.SelfInTop(name, 3))
			if nodes.SelfInTop(name, 3) {
				chosen++
			}
		}
		must.Eq(t, 3, chosen)
	}
}

func TestUnseenNodesAreRetainedUntilTimeout(t *testing.T) {
	nodes := NewNodes("self", 0)
	nodes.MarkSeen([]string{"other"}, 0)
	nodes.MarkSeen(nil, retentionUs)
	must.Eq(t, 2, nodes.Len())
	nodes.MarkSeen(nil, retentionUs+1)
	must.Eq(t, []string{"self"}, nodes.Top("key", 2))
}
