// The quorum read by which a router finds the newest committed version of the configuration,
// without reading the configuration itself.

package router

import (
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// versionRead is a linearizable read of the version of the configuration register. A committed
// version has been accepted by a majority of the register's members, but they may not have learned
// that it is committed. So the newest version that any respondent reports as committed is the
// newest there is only if a majority of the members has accepted nothing newer. The zero value has
// received no response. It does no I/O.
type versionRead struct {
	committed int64            // the newest version that any respondent reports as committed
	group     []string         // the member IDs of the register at that version
	newestAt  string           // the address of a controller that has it
	accepted  map[string]int64 // newest accepted version, by member ID
}

// receive records the response of the controller at addr.
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
// committed version. A controller of an earlier release sends no group; an empty group is no
// quorum.
func (r *versionRead) hasQuorum() bool {
	unaccepted := 0
	for id, accepted := range r.accepted {
		if accepted <= r.committed && slices.Contains(r.group, id) {
			unaccepted++
		}
	}
	return unaccepted > len(r.group)/2
}
