package simulation

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// registersRange is the fixed set of seeds that CI runs.
var registersRange = Range{Model: "registers", First: 0, Count: 300, Parallel: 3}

// regressionSeeds lists seeds that violated a check before a fault was fixed.
var regressionSeeds = []uint64{71, 90, 1033, 1046, 1488, 1878, 2023, 3160}

func TestRegistersSeedsViolateNoCheck(t *testing.T) {
	counts := Run(registersRange, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Positive(t, counts.ConfigsAccepted)
	must.Positive(t, counts.ConfigsRejected)
	must.Positive(t, counts.Reads)
	must.Positive(t, counts.CallsUnclear)
	must.Positive(t, counts.GroupChanges)
	must.Positive(t, counts.DisksLost)
	must.Positive(t, counts.LeaseActs)
	must.Positive(t, counts.HandOvers)
	must.Positive(t, counts.OutOfContact)
}

func TestRegressionSeedsViolateNoCheck(t *testing.T) {
	for _, seed := range regressionSeeds {
		r := Play(seed, Options{Record: true})
		must.Eq(t, "", r.Failure, must.Sprintf("seed %d\n%s", seed, strings.Join(r.History, "\n")))
	}
}

func TestRegistersSameSeedReproducesHistory(t *testing.T) {
	for seed := range uint64(10) {
		a, b := Play(seed, Options{Record: true}), Play(seed, Options{Record: true})
		must.Eq(t, strings.Join(a.History, "\n"), strings.Join(b.History, "\n"))
	}
}

// For each mechanism that the model can disable, a check must detect that it is missing.
func TestRegistersChecksDetectDefects(t *testing.T) {
	for _, c := range []struct {
		name    string
		defects Defects
		from    uint64 // a seed shortly before the first that detects the defect
		finds   string // part of the failure text
	}{
		{"response before durability", Defects{RespondBeforeDurable: true}, 0, ""},
		{"rejection without a round", Defects{RejectWithoutRound: true}, 0, "history"},
		{"read without a majority", Defects{ReadWithoutMajority: true}, 0, "history"},
		{"repeated changes not detected", Defects{IgnoreAccepted: true}, 0, "history"},
		{"lease without its waiting times", Defects{ActWithoutWaiting: true}, 0, "acts under"},
		{"initial group not made durable", Defects{SkipInitialGroupWrite: true}, 550, "no group"},
		{"members added without confirmation", Defects{AddMembersUnconfirmed: true}, 0, "joins part"},
		{"answers without the contact lease", Defects{AnswerWithoutContactLease: true}, 830, "no majority has handled"},
		{"shutdown without a hand-over", Defects{ShutDownWithoutHandOver: true}, 0, "stood ready"},
		{"unused lease treated as used", Defects{TreatUnusedLeaseAsUsed: true}, 70, "acts under"},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed, failure := firstFailure(c.from, Options{Defects: c.defects}, c.finds)
			t.Logf("detected by seed %d: %s", seed, failure)
			must.NotEq(t, "", failure)
		})
	}
}

// Controllers without a disk, of which any number may be lost, beside counted ones.
func TestRegistersWithMemoryControllersViolateNoCheck(t *testing.T) {
	counts := Run(Range{Model: "registers-memory", Count: 150, Parallel: 3}, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Positive(t, counts.ConfigsAccepted)
	must.Positive(t, counts.GroupChanges)
	must.Positive(t, counts.DisksLost)
}

// maxSeedsToDetect bounds the search for a seed that detects a defect.
const maxSeedsToDetect = 2000

// firstFailureOf is firstFailure for another model, starting at seed 0.
func firstFailureOf(play func(uint64, Options) Result, options Options, failureText string) (uint64, string) {
	for seed := range uint64(maxSeedsToDetect) {
		if r := play(seed, options); r.Failure != "" && strings.Contains(r.Failure, failureText) {
			return seed, r.Failure
		}
	}
	return maxSeedsToDetect, ""
}

// firstFailure returns the first seed whose failure contains the given text, and the failure.
// The text is needed because a defect may violate other checks first.
func firstFailure(from uint64, options Options, failureText string) (uint64, string) {
	for seed := from; seed < from+maxSeedsToDetect; seed++ {
		if r := Play(seed, options); r.Failure != "" && strings.Contains(r.Failure, failureText) {
			return seed, r.Failure
		}
	}
	return maxSeedsToDetect, ""
}
