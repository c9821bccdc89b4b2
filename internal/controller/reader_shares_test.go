package controller

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A starting controller divides the runners to read among these members.
func TestConfigMembersAreKnownToAllControllers(t *testing.T) {
	nodes, _, _ := startThreeControllers(t)
	for _, c := range nodes {
		waitUntil(t, func() bool { return len(c.configMembers()) == len(nodes) })
		must.SliceContains(t, c.configMembers(), c.transport.Addr())
	}
}
