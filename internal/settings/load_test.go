package settings

import (
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const testSettings = `
node: "n1"
ip: "10.0.0.1"
zone: "a"
listen:
  front: "10.0.0.1:80"
portRange: [7000, 7015]
seeds: ["10.0.0.1:90", "10.0.0.2:90"]
somethingNew: {x: 1}
bounds: {leaseMs: 2500}
`

func TestParseIgnoresUnknownFieldsAndSetsDefaults(t *testing.T) {
	s, err := Parse([]byte(testSettings))
	must.NoError(t, err)
	must.Eq(t, "10.0.0.1:7000", s.RouterAddr())
	must.Eq(t, "10.0.0.1:7001", s.ControllerAddr())
	must.Eq(t, []string{"10.0.0.1:7001", "10.0.0.2:7001"}, s.SeedAddrs())
	must.Eq(t, "10.0.0.1:7002", s.RouterMetricsAddr())
	must.Eq(t, "10.0.0.1:7003", s.ControllerMetricsAddr())
	must.Eq(t, 2500, s.Bounds.LeaseMs)
	must.Eq(t, 8.0, s.Bounds.GraceS)
	must.Eq(t, 10.0, s.Bounds.RetryWindowS)
	must.Eq(t, 8000, s.Bounds.VersionMs)
	must.Eq(t, 2000, s.Bounds.DrainMs)
	must.Eq(t, 1000, s.BeatPeriodMs)
}

func TestMetricsAddrsAreEmptyOutsideThePortRange(t *testing.T) {
	s, err := Parse([]byte(strings.Replace(testSettings, "7015", "7002", 1)))
	must.NoError(t, err)
	must.Eq(t, "10.0.0.1:7002", s.RouterMetricsAddr())
	must.Eq(t, "", s.ControllerMetricsAddr())
}

func TestParseNamesInvalidField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`node: "n1"`, ``, "Node"},
		{`"10.0.0.1"`, `"nowhere"`, "Ip"},
		{`[7000, 7015]`, `[7000]`, "Ports"},
		{`[7000, 7015]`, `[7000, 7000]`, "portRange"},
		{`["10.0.0.1:90", "10.0.0.2:90"]`, `[]`, "Seeds"},
		{`zone: "a"`, `zone: [`, "settings"},
		{`leaseMs: 2500`, `leaseMs: "soon"`, "leaseMs"},
	} {
		_, err := Parse([]byte(strings.Replace(testSettings, c.old, c.new, 1)))
		must.ErrorIs(t, err, ErrSettings)
		must.StrContains(t, err.Error(), c.want)
		must.StrNotContains(t, err.Error(), "\n  ")
	}
}

func TestLoadKeepsCauseOfError(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "missing.yaml"))
	must.ErrorIs(t, err, ErrSettings)
	must.ErrorIs(t, err, fs.ErrNotExist)
}
