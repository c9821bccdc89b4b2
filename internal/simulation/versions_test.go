package simulation

import (
	"testing"

	"github.com/shoenig/test/must"
)

// versionRange is the fixed range of seeds that CI simulates.
var versionRange = Range{Model: "versions", Count: 60, Parallel: 3}

func TestVersionSeedsViolateNoCheck(t *testing.T) {
	counts := Run(versionRange, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Positive(t, counts.VersionsSettled)
	must.Positive(t, counts.VersionsReverted)
}

// Each injected defect must be detected by a check.
func TestVersionChecksDetectDefects(t *testing.T) {
	for _, c := range []struct {
		name    string
		defects Defects
		finds   string
	}{
		{"no trial", Defects{SkipCanary: true}, "allowed"},
		{"outcomes ignored", Defects{IgnoreOutcomes: true}, "bad"},
		{"baseline outcomes ignored", Defects{IgnoreBaseline: true}, "a good version"},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed, failure := firstFailureOf(PlayVersions, Options{Defects: c.defects}, c.finds)
			t.Logf("detected by seed %d: %s", seed, failure)
			must.NotEq(t, "", failure)
		})
	}
}
