// Regroup decides whether the group of a register should change: a wiped
// member is swapped for its new incarnation, one that is gone for a newcomer
// that stands ready, and a group grows only to an odd size. One change at a
// time; what is decided here still has to win a round.
package consensus

import (
	"sort"

	"beechtide.org/beechtide/internal/messages"
)

// maxGroup bounds the members of one register.
const maxGroupSize = 9

// Status is what a controller sees of the others.
type Status struct {
	Ready   []messages.Member // alive, with the identity they now have
	GoneFor func(addr string) int64
	GoneUs  int64 // how long a member must be gone to be swapped or dropped
}

// Stand sorts the live controllers. Where some of them count among those whose
// loss is bounded, only they are to be members: any number of the others may go
// at once, so a member that does not count is as good as gone once another
// stands ready.
func Stand(alive []messages.Peer, goneFor func(addr string) int64, goneUs int64) Status {
	counted := false
	for _, p := range alive {
		counted = counted || p.Counted
	}
	s := Status{GoneUs: goneUs}
	uncounted := map[string]bool{}
	for _, p := range alive {
		if counted && !p.Counted {
			uncounted[p.Addr] = true
			continue
		}
		s.Ready = append(s.Ready, messages.Member{ID: p.MemberID, Addr: p.Addr})
	}
	s.GoneFor = func(addr string) int64 {
		if uncounted[addr] {
			return goneUs
		}
		return goneFor(addr)
	}
	return s
}

// Regroup returns the wanted group, and false where it should stay as it is.
func RepairGroup(group []messages.Member, s Status) ([]messages.Member, bool) {
	candidates := Newcomers(group, s)
	for _, n := range candidates {
		for i, m := range group {
			if m.Addr == n.Addr {
				return replaceMember(group, i, &n), true
			}
		}
	}
	gone := -1
	for i, m := range group {
		if s.GoneFor(m.Addr) >= s.GoneUs {
			gone = i
			break
		}
	}
	switch {
	case gone >= 0 && len(candidates) > 0:
		return replaceMember(group, gone, &candidates[0]), true
	case gone >= 0 && len(group)%2 == 0:
		return replaceMember(group, gone, nil), true
	case gone < 0 && len(candidates) > 0 && len(group) < maxGroupSize && (len(group)%2 == 0 || len(candidates) > 1):
		return append(append([]messages.Member{}, group...), candidates[0]), true
	}
	return nil, false
}

// HandOver is the group in which a member that is about to end has given its
// place to a newcomer that stands ready. A newcomer at the address of a member
// has lost that member's disk and takes its place, which is Regroup's affair.
func HandOver(group []messages.Member, self string, s Status) ([]messages.Member, bool) {
	for _, n := range Newcomers(group, s) {
		if memberAt(group, n.Addr).ID != "" {
			continue
		}
		for i, m := range group {
			if m.Addr == self {
				return replaceMember(group, i, &n), true
			}
		}
	}
	return nil, false
}

// Newcomers are those that stand ready and are no members, by identity.
func Newcomers(group []messages.Member, s Status) []messages.Member {
	var out []messages.Member
	for _, m := range s.Ready {
		if m.ID != "" && !containsMember(group, m.ID) {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func replaceMember(group []messages.Member, i int, by *messages.Member) []messages.Member {
	out := append([]messages.Member{}, group[:i]...)
	if by != nil {
		out = append(out, *by)
	}
	return append(out, group[i+1:]...)
}
