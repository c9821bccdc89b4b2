package compliance

import (
	"bytes"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
)

func menuOf(version int64) api.Configuration {
	return api.Configuration{
		Version:  version,
		Services: []api.Service{{Name: "s"}, {Name: "t"}},
		Regimes:  []api.Regime{{Name: "allergen"}, {Name: "strict", Policy: `regime in certificates && runner.site == "a"`}},
		Certificates: []api.Certificate{
			{Regime: "allergen", Service: "s", Zone: "a"},
			{Regime: "allergen", Runners: []string{"r9"}},
			{Regime: "strict", Service: "s"},
		},
		Tenants: []api.Tenant{{Name: "directorate", Regime: "allergen"}, {Name: "taxi"}},
	}
}

func TestCertificatesByServiceSiteAndID(t *testing.T) {
	p, err := Compile(menuOf(1))
	must.NoError(t, err)
	for _, c := range []struct {
		regime string
		r      Runner
		cert   int
		ok     bool
	}{
		{"allergen", Runner{"r1", "s", "a"}, 0, true},
		{"allergen", Runner{"r1", "s", "b"}, -1, false},
		{"allergen", Runner{"r9", "t", "b"}, 1, true},
		{"allergen", Runner{"r1", "t", "a"}, -1, false},
		{"strict", Runner{"r1", "s", "a"}, 2, true},
		{"strict", Runner{"r1", "s", "b"}, -1, false},
		{"unknown", Runner{"r1", "s", "a"}, -1, false},
	} {
		cert, ok := p.Allows(c.regime, c.r)
		must.Eq(t, c.ok, ok, must.Sprint(c))
		must.Eq(t, c.cert, cert, must.Sprint(c))
	}
}

func TestSenselessDeclarationsNameTheField(t *testing.T) {
	for _, c := range []struct {
		field string
		spoil func(*api.Configuration)
	}{
		{"tenants[0].regime", func(m *api.Configuration) { m.Tenants[0].Regime = "none" }},
		{"certificates[0].regime", func(m *api.Configuration) { m.Certificates[0].Regime = "none" }},
		{"certificates[1]", func(m *api.Configuration) { m.Certificates[1].Runners = nil }},
		{"certificates[2].service", func(m *api.Configuration) { m.Certificates[2].Service = "none" }},
		{"certificates[1].runners", func(m *api.Configuration) { m.Certificates[1].Runners = []string{""} }},
		{"regimes[1].name", func(m *api.Configuration) { m.Regimes[1].Name = "allergen" }},
		{"regimes[1].policy", func(m *api.Configuration) { m.Regimes[1].Policy = "runner.colour == 1" }},
		{"regimes[1].policy", func(m *api.Configuration) { m.Regimes[1].Policy = "1 + 1" }},
		{"regimes[1].policy", func(m *api.Configuration) { m.Regimes[1].Policy = "now().Year() > 1" }},
		{"regimes[1].policy", func(m *api.Configuration) { m.Regimes[1].Policy = strings.Repeat("true && ", 200) + "true" }},
	} {
		m := menuOf(1)
		c.spoil(&m)
		_, err := Compile(m)
		var f *Fault
		must.True(t, errors.As(err, &f), must.Sprint(c.field, err))
		must.Eq(t, c.field, f.Field)
	}
}

func TestCostlyOrFailingPolicyLetsNobodyIn(t *testing.T) {
	for _, policy := range []string{
		`all(1..100000, # > 0)`,
		`certificates[7] == "x"`,
	} {
		m := menuOf(1)
		m.Regimes[1].Policy = policy
		p, err := Compile(m)
		must.NoError(t, err, must.Sprint(policy))
		_, ok := p.Allows("strict", Runner{"r1", "s", "a"})
		must.False(t, ok, must.Sprint(policy))
	}
}

func sent(attempt, runner string, cert int) []Entry {
	e := Entry{Node: "n", Attempt: attempt, Tenant: "directorate", Regime: "allergen", Version: 1, Certificate: -1}
	a, s, z := e, e, e
	a.Step, s.Step, z.Step = Asked, Sent, Answered
	s.Runner, s.Service, s.Zone, s.Certificate = runner, "s", "a", cert
	return []Entry{a, s, z}
}

func TestCheckerPassesAGoodTrailAndNamesEachPlantedViolation(t *testing.T) {
	menus := []api.Configuration{menuOf(1)}
	good := append(sent("1", "r1", 0), sent("2", "r2", 0)...)
	must.SliceEmpty(t, CheckTrail(good, menus))
	for _, c := range []struct {
		reason string
		plant  func([]Entry) []Entry
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
		bad := CheckTrail(c.plant(append([]Entry{}, good...)), menus)
		must.SliceNotEmpty(t, bad, must.Sprint(c.reason))
		must.StrContains(t, bad[0].String(), c.reason)
	}
}

func TestTrailIsBoundedAndReadsBack(t *testing.T) {
	var tr Trail
	for range trailSize + 10 {
		tr.Note(Entry{Step: Asked, Attempt: "x"})
	}
	var b bytes.Buffer
	must.NoError(t, tr.Write(&b))
	list, err := ReadTrail(&b)
	must.NoError(t, err)
	must.Len(t, trailSize, list)
	must.Eq(t, int64(11), list[0].Seq)
	must.Eq(t, int64(trailSize+10), list[trailSize-1].Seq)
}

func BenchmarkAllows(b *testing.B) {
	p, err := Compile(menuOf(1))
	must.NoError(b, err)
	for b.Loop() {
		p.Allows("strict", Runner{"r1", "s", "a"})
	}
}
