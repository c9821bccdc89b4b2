package compliance

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
)

// answeredRequest returns the entries of a request that one runner answered.
func answeredRequest(attempt, runner string, certificate int) []Entry {
	e := Entry{Node: "n", Attempt: attempt, Tenant: "directorate", Regime: "allergen", Version: 1, Certificate: -1}
	received, sent, answered := e, e, e
	received.Step, sent.Step, answered.Step = Received, Sent, Answered
	sent.Runner, sent.Service, sent.Zone, sent.Certificate = runner, "s", "a", certificate
	return []Entry{received, sent, answered}
}

func TestCheckTrailAcceptsCorrectTrailAndReportsEachViolation(t *testing.T) {
	configs := []api.Configuration{testConfig()}
	correct := append(answeredRequest("1", "r1", 0), answeredRequest("2", "r2", 0)...)
	must.SliceEmpty(t, CheckTrail(correct, configs))
	for _, c := range []struct {
		reason  string
		corrupt func([]Entry) []Entry
	}{
		{"not certified", func(l []Entry) []Entry { l[1].Zone = "b"; return l }},
		{"names certificate", func(l []Entry) []Entry { l[1].Certificate = 1; return l }},
		{"has regime", func(l []Entry) []Entry { l[1].Regime = "strict"; return l }},
		{"not at hand", func(l []Entry) []Entry { l[1].Version = 7; return l }},
		{"ended twice", func(l []Entry) []Entry { return append(l, l[2]) }},
		{"end is missing", func(l []Entry) []Entry { return append(l[:2:2], l[3:]...) }},
		{"sent after", func(l []Entry) []Entry { return append(l, l[1]) }},
		{"unknown step", func(l []Entry) []Entry { l[2].Step = "lost"; return l[:3] }},
	} {
		violations := CheckTrail(c.corrupt(append([]Entry{}, correct...)), configs)
		must.SliceNotEmpty(t, violations, must.Sprint(c.reason))
		must.StrContains(t, violations[0].String(), c.reason)
	}
}

func TestTrailRetainsNewestEntriesAndReadsBack(t *testing.T) {
	var trail Trail
	for range trailCapacity + 10 {
		trail.Append(Entry{Step: Received, Attempt: "x"})
	}
	var b bytes.Buffer
	must.NoError(t, trail.Write(&b))
	entries, err := ReadTrail(&b)
	must.NoError(t, err)
	must.Len(t, trailCapacity, entries)
	must.Eq(t, int64(11), entries[0].Seq)
	must.Eq(t, int64(trailCapacity+10), entries[trailCapacity-1].Seq)
}

func TestTrailWritesPartlyFilledRingInOrder(t *testing.T) {
	var trail Trail
	trail.Append(Entry{Attempt: "first"})
	trail.Append(Entry{Attempt: "second"})
	var b bytes.Buffer
	must.NoError(t, trail.Write(&b))
	entries, err := ReadTrail(&b)
	must.NoError(t, err)
	must.Len(t, 2, entries)
	must.Eq(t, "first", entries[0].Attempt)
	must.Eq(t, "second", entries[1].Attempt)
}

func TestReadTrailReportsInvalidLine(t *testing.T) {
	_, err := ReadTrail(strings.NewReader("{}\n\nnot JSON\n"))
	must.ErrorContains(t, err, "line 3")
}
