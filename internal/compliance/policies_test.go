package compliance

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
)

// testConfig returns a configuration with two regimes, three certificates and two
// tenants, of which one is regulated.
func testConfig() api.Configuration {
	return api.Configuration{
		Version:  1,
		Services: []api.Service{{Name: "s"}, {Name: "t"}},
		Regimes: []api.Regime{
			{Name: "allergen"},
			{Name: "strict", Policy: `regime in certificates && runner.site == "a"`},
		},
		Certificates: []api.Certificate{
			{Regime: "allergen", Service: "s", Zone: "a"},
			{Regime: "allergen", Runners: []string{"r9"}},
			{Regime: "strict", Service: "s"},
		},
		Tenants: []api.Tenant{{Name: "directorate", Regime: "allergen"}, {Name: "taxi"}},
	}
}

func TestAllowsByServiceZoneAndRunnerID(t *testing.T) {
	policies, err := Compile(testConfig())
	must.NoError(t, err)
	for _, c := range []struct {
		regime      string
		runner      Runner
		certificate int
		ok          bool
	}{
		{"allergen", Runner{"r1", "s", "a"}, 0, true},
		{"allergen", Runner{"r1", "s", "b"}, -1, false},
		{"allergen", Runner{"r9", "t", "b"}, 1, true},
		{"allergen", Runner{"r1", "t", "a"}, -1, false},
		{"strict", Runner{"r1", "s", "a"}, 2, true},
		{"strict", Runner{"r1", "s", "b"}, -1, false},
		{"unknown", Runner{"r1", "s", "a"}, -1, false},
	} {
		certificate, ok := policies.Allows(c.regime, c.runner)
		must.Eq(t, c.ok, ok, must.Sprint(c))
		must.Eq(t, c.certificate, certificate, must.Sprint(c))
	}
}

func TestCompileReportsInvalidField(t *testing.T) {
	for _, c := range []struct {
		field   string
		corrupt func(*api.Configuration)
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
		config := testConfig()
		c.corrupt(&config)
		_, err := Compile(config)
		var invalid *ConfigError
		must.True(t, errors.As(err, &invalid), must.Sprint(c.field, err))
		must.Eq(t, c.field, invalid.Field)
	}
}

func TestAllowsRejectsWhenPolicyFailsOrExceedsBudget(t *testing.T) {
	for _, policy := range []string{
		`all(1..100000, # > 0)`,
		`certificates[7] == "x"`,
	} {
		config := testConfig()
		config.Regimes[1].Policy = policy
		policies, err := Compile(config)
		must.NoError(t, err, must.Sprint(policy))
		_, ok := policies.Allows("strict", Runner{"r1", "s", "a"})
		must.False(t, ok, must.Sprint(policy))
	}
}

func BenchmarkAllows(b *testing.B) {
	policies, err := Compile(testConfig())
	must.NoError(b, err)
	for b.Loop() {
		policies.Allows("strict", Runner{"r1", "s", "a"})
	}
}
