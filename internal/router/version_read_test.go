package router

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestVersionReadNeedsMajorityWithoutNewerAcceptedVersion(t *testing.T) {
	group := []string{"a", "b", "c"}
	response := func(id string, committed, accepted int64) messages.Versions {
		return messages.Versions{MemberID: id, ConfigGroup: group, ConfigCommitted: committed, ConfigAccepted: accepted}
	}
	for _, test := range []struct {
		name      string
		responses []messages.Versions
		committed int64
		quorum    bool
	}{
		{"none", nil, 0, false},
		{"one of three", []messages.Versions{response("a", 4, 0)}, 4, false},
		{"one, twice", []messages.Versions{response("a", 4, 0), response("a", 4, 0)}, 4, false},
		{"two of three", []messages.Versions{response("a", 4, 0), response("b", 4, 0)}, 4, true},
		{"one has accepted the next", []messages.Versions{response("a", 4, 0), response("b", 4, 5)}, 4, false},
		{"one has accepted it, the others have not", []messages.Versions{response("a", 4, 0), response("b", 4, 5), response("c", 4, 0)}, 4, true},
		{"one has accepted a version that another reports as committed", []messages.Versions{response("a", 4, 5), response("b", 5, 0)}, 5, true},
		{"one is not a member", []messages.Versions{response("a", 4, 0), response("x", 4, 0)}, 4, false},
		{"an earlier release", []messages.Versions{{MemberID: "a"}, {MemberID: "b"}, {MemberID: "c"}}, 0, false},
	} {
		var read versionRead
		for _, m := range test.responses {
			read.receive("address", m)
		}
		must.Eq(t, test.quorum, read.hasQuorum(), must.Sprint(test.name))
		must.Eq(t, test.committed, read.committed, must.Sprint(test.name))
	}
}
