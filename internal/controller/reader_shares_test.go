package controller

import (
	"testing"

	"github.com/shoenig/test/must"
)

// What a starting controller divides the runners by is known to every member of the core.
func TestMembersOfTheConfigurationsRegisterAreKnownToAll(t *testing.T) {
	nodes, _, _ := three(t)
	for _, c := range nodes {
		until(t, func() bool { return len(c.configMembers()) == len(nodes) })
		must.SliceContains(t, c.configMembers(), c.transport.Addr())
	}
}
