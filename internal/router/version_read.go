// The quorum read of a router: which version of the configuration is the newest, without
// the configuration itself.

package router

import (
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// versionRead is a linearizable read of the version of the configuration's register. A
// version that is committed has been accepted by a majority of the register's members, who
// may not have learned that it is committed. So the newest committed version that anybody
// knows is the newest there is only if a majority of its members has accepted nothing
// newer. The zero value has received nothing. It is pure.
type versionRead struct {
	committed int64    // the newest version that anybody knows to be committed
	group     []string // its members' identities
	newestAt  string   // the address of one that knows it
	accepted  map[string]int64
}

// receive records the response of the controller at an address.
func (r *versionRead) receive(addr string, m messages.Versions) {
	if r.accepted == nil {
		r.accepted = map[string]int64{}
	}
	r.accepted[m.MemberID] = m.ConfigAccepted
	if r.newestAt == "" || m.ConfigCommitted > r.committed {
		r.committed, r.group, r.newestAt = m.ConfigCommitted, m.ConfigGroup, addr
	}
}

// hasQuorum reports whether a majority of the members has accepted nothing newer than the
// committed version. One of an earlier release names no group, and none is no quorum.
func (r *versionRead) hasQuorum() bool {
	unaccepted := 0
	for id, accepted := range r.accepted {
		if accepted <= r.committed && slices.Contains(r.group, id) {
			unaccepted++
		}
	}
	return unaccepted > len(r.group)/2
}
