package consensus

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// maxGroupSize is the maximum number of members of the group of a register.
const maxGroupSize = 9

// Status is a controller's view of the other controllers.
type Status struct {
	Ready                []messages.Member            // alive and eligible, with their current identities
	UnreachableFor       func(addr string) (us int64) // how long a controller has been unreachable, 0 if it is alive
	UnreachableTimeoutUs int64                        // how long a member must be unreachable to be replaced or removed
}

// HasCounted reports whether any of the controllers is counted, that is whether the number of them
// that fail at once is bounded.
func HasCounted(controllers []messages.Peer) bool {
	return slices.ContainsFunc(controllers, func(p messages.Peer) bool { return p.Counted })
}

// NewStatus returns the Status for a set of live controllers. If the deployment has counted
// controllers, only these are eligible as members: any number of the others may fail at once, so an
// uncounted member is treated as unreachable and replaced once a counted controller is ready.
// countedSeen is whether this process has ever seen one; those alive now may all be uncounted.
func NewStatus(alive []messages.Peer, countedSeen bool, unreachableFor func(addr string) int64, unreachableTimeoutUs int64) Status {
	counted := countedSeen || HasCounted(alive)
	status := Status{UnreachableTimeoutUs: unreachableTimeoutUs}
	uncounted := map[string]bool{}
	for _, peer := range alive {
		if counted && !peer.Counted {
			uncounted[peer.Addr] = true
			continue
		}
		status.Ready = append(status.Ready, messages.Member{ID: peer.MemberID, Addr: peer.Addr})
	}
	status.UnreachableFor = func(addr string) int64 {
		if uncounted[addr] {
			return unreachableTimeoutUs
		}
		return unreachableFor(addr)
	}
	return status
}

// RepairGroup returns the next group of a register, and false if the group should not
// change. It makes at most one change, the first that applies: a wiped member is replaced
// by its new identity; an unreachable member is replaced by a candidate or, in a group of
// even size without a candidate, removed; a candidate is added, unless the group would
// stay at an even size for lack of a second candidate.
func RepairGroup(group []messages.Member, s Status) ([]messages.Member, bool) {
	candidates := Candidates(group, s)
	if next, wiped := replaceWiped(group, candidates); wiped {
		return next, true
	}
	unreachableIndex, isUnreachable := firstUnreachable(group, s)
	switch {
	case isUnreachable && len(candidates) > 0:
		return replaceMember(group, unreachableIndex, &candidates[0]), true
	case isUnreachable && len(group)%2 == 0:
		return replaceMember(group, unreachableIndex, nil), true
	case !isUnreachable && canGrow(group, candidates):
		return append(append([]messages.Member{}, group...), candidates[0]), true
	}
	return nil, false
}

// replaceWiped replaces the first member that has restarted under a new identity.
func replaceWiped(group, candidates []messages.Member) ([]messages.Member, bool) {
	for _, candidate := range candidates {
		for i, m := range group {
			if m.Addr == candidate.Addr {
				return replaceMember(group, i, &candidate), true
			}
		}
	}
	return nil, false
}

// firstUnreachable returns the index of the first member that is unreachable for so long
// that it is to be replaced or removed.
func firstUnreachable(group []messages.Member, s Status) (int, bool) {
	for i, m := range group {
		if s.UnreachableFor(m.Addr) >= s.UnreachableTimeoutUs {
			return i, true
		}
	}
	return 0, false
}

// canGrow reports whether a candidate may be added: an odd group grows only if a second
// candidate can follow.
func canGrow(group, candidates []messages.Member) bool {
	if len(candidates) == 0 || len(group) >= maxGroupSize {
		return false
	}
	return len(group)%2 == 0 || len(candidates) > 1
}

// HandOver returns the group in which a member that is shutting down is replaced by a
// candidate, and false if there is no candidate. A candidate at the address of a member
// is that member after the loss of its disk, which only RepairGroup replaces.
func HandOver(group []messages.Member, self string, s Status) ([]messages.Member, bool) {
	for _, candidate := range Candidates(group, s) {
		if memberAt(group, candidate.Addr).ID != "" {
			continue
		}
		for i, m := range group {
			if m.Addr == self {
				return replaceMember(group, i, &candidate), true
			}
		}
	}
	return nil, false
}

// Candidates returns the candidates for membership: the ready controllers that are not
// members, sorted by identity.
func Candidates(group []messages.Member, s Status) []messages.Member {
	var out []messages.Member
	for _, m := range s.Ready {
		if m.ID != "" && !containsMember(group, m.ID) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b messages.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
