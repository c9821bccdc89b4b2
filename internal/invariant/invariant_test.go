package invariant

import (
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestViolatedCountsCallsHandlerAndLogsOnceASecond(t *testing.T) {
	var violations []Violation
	var lines []string
	previous := SetHandler(func(v Violation) { violations = append(violations, v) })
	defer func() { SetHandler(previous) }()
	LogTo(funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}))
	i := New("some_rule", "what always holds")
	i.Violated("version", 3)
	i.Violated("version", 4)
	must.Eq(t, 2, i.Violations())
	must.Eq(t, []Count{{Name: "some_rule", Rule: "what always holds", Violations: 2}}, Counts())
	must.Eq(t, []messages.ViolationCount{{Name: "some_rule", Count: 2}}, Violations())
	must.Len(t, 2, violations)
	must.Eq(t, []any{"version", 4}, violations[1].Detail)
	must.Len(t, 1, lines)
	must.StrContains(t, lines[0], `"what always holds"`)
	must.StrContains(t, lines[0], `"version"=3`)
}

func TestAdvanceReturnsHighestEarlierVersion(t *testing.T) {
	var n Newest
	must.Eq(t, 0, n.Advance(3))
	must.Eq(t, 3, n.Advance(2))
	must.Eq(t, 3, n.Load())
}
