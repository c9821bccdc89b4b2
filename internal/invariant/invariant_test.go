package invariant

import (
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestViolationIsCountedReportedAndLoggedOnceASecond(t *testing.T) {
	var seen []Violation
	var lines []string
	before := SetHandler(func(v Violation) { seen = append(seen, v) })
	defer func() { SetHandler(before) }()
	LogTo(funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}))
	i := New("some_rule", "what always holds")
	i.Violated("version", 3)
	i.Violated("version", 4)
	must.Eq(t, 2, i.Violations())
	must.Eq(t, []Count{{Name: "some_rule", Rule: "what always holds", Violations: 2}}, Counts())
	must.Eq(t, []messages.ViolationCount{{Name: "some_rule", Count: 2}}, Violations())
	must.Len(t, 2, seen)
	must.Eq(t, []any{"version", 4}, seen[1].Detail)
	must.Len(t, 1, lines)
	must.StrContains(t, lines[0], `"what always holds"`)
	must.StrContains(t, lines[0], `"version"=3`)
}

func TestNewestKeepsHighestVersion(t *testing.T) {
	var n Newest
	must.Eq(t, 0, n.Advance(3))
	must.Eq(t, 3, n.Advance(2))
	must.Eq(t, 3, n.Load())
}
