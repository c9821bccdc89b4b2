package consensus

import "beechtide.org/beechtide/internal/messages"

// isMajority reports whether the members with these identities are more than half of
// a group.
func isMajority(group []messages.Member, ids map[string]bool) bool {
	n := 0
	for _, m := range group {
		if ids[m.ID] {
			n++
		}
	}
	return n > len(group)/2
}

// unionOf returns the members of both groups, those of the first one first.
func unionOf(a, b []messages.Member) []messages.Member {
	out := append([]messages.Member{}, a...)
	for _, m := range b {
		if !containsMember(out, m.ID) {
			out = append(out, m)
		}
	}
	return out
}

// addedMembers returns the members of the group after that are not in the group before.
func addedMembers(before, after []messages.Member) []messages.Member {
	var out []messages.Member
	for _, m := range after {
		if !containsMember(before, m.ID) {
			out = append(out, m)
		}
	}
	return out
}

// containsMember reports whether a group has a member with an identity.
func containsMember(group []messages.Member, id string) bool {
	for _, m := range group {
		if m.ID == id {
			return true
		}
	}
	return false
}

// sameGroup reports whether two groups have the same members, in any order.
func sameGroup(a, b []messages.Member) bool {
	return len(a) == len(b) && len(addedMembers(a, b)) == 0
}

// memberAt returns the member at an address, or the zero Member.
func memberAt(members []messages.Member, addr string) messages.Member {
	for _, m := range members {
		if m.Addr == addr {
			return m
		}
	}
	return messages.Member{}
}

// replaceMember returns a copy of a group in which the member at index i is replaced by
// another, or removed if that is nil.
func replaceMember(group []messages.Member, i int, replacement *messages.Member) []messages.Member {
	out := append([]messages.Member{}, group[:i]...)
	if replacement != nil {
		out = append(out, *replacement)
	}
	return append(out, group[i+1:]...)
}
