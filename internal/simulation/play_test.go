package simulation

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// testRange is the fixed set of seeds that CI runs.
var testRange = Range{Model: "registers", First: 0, Count: 300, Parallel: 3}

// onceFailing lists seeds that violated a check before a fault was fixed.
var onceFailing = []uint64{71, 90, 1033, 1046, 1488, 1878, 2023, 3160}

func TestSeedsBreakNothing(t *testing.T) {
	counts := Run(testRange, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Positive(t, counts.Taken)
	must.Positive(t, counts.Refused)
	must.Positive(t, counts.Read)
	must.Positive(t, counts.Unclear)
	must.Positive(t, counts.Regroups)
	must.Positive(t, counts.Wipes)
	must.Positive(t, counts.Acts)
	must.Positive(t, counts.HandOvers)
	must.Positive(t, counts.OutOfContact)
}

func TestOnceFailingSeedsBreakNothing(t *testing.T) {
	for _, seed := range onceFailing {
		r := Play(seed, Options{Record: true})
		must.Eq(t, "", r.Failure, must.Sprintf("seed %d\n%s", seed, strings.Join(r.History, "\n")))
	}
}

func TestOneSeedPlaysOneHistory(t *testing.T) {
	for seed := range uint64(10) {
		a, b := Play(seed, Options{Record: true}), Play(seed, Options{Record: true})
		must.Eq(t, strings.Join(a.History, "\n"), strings.Join(b.History, "\n"))
	}
}

// For each mechanism that the model can disable, a check must detect that it is missing.
func TestChecksFindWhatIsTakenOut(t *testing.T) {
	for _, c := range []struct {
		name    string
		defects Defects
		from    uint64 // a seed shortly before the first that detects the defect
		finds   string // part of the failure text
	}{
		{"response before durability", Defects{RespondBeforeDurable: true}, 0, ""},
		{"rejection without a round", Defects{DenyWithoutRound: true}, 0, "history"},
		{"read without a majority", Defects{ReadWithoutMajority: true}, 0, "history"},
		{"repeated changes not detected", Defects{ForgetTaken: true}, 0, "history"},
		{"lease without its waiting times", Defects{ActWithoutWaiting: true}, 0, "acts under"},
		{"initial group not made durable", Defects{ForgetGenesis: true}, 550, "no group"},
		{"members added without confirmation", Defects{JoinUnconfirmed: true}, 0, "joins part"},
		{"answers without the contact lease", Defects{AnswerOutOfContact: true}, 830, "no majority has handled"},
		{"shutdown without a hand-over", Defects{EndWithoutHandOver: true}, 0, "stood ready"},
		{"unused lease treated as used", Defects{TrustUnusedClaim: true}, 70, "acts under"},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed, failure := firstFailure(c.from, Options{Defects: c.defects}, c.finds)
			t.Logf("detected by seed %d: %s", seed, failure)
			must.NotEq(t, "", failure)
		})
	}
}

// mostSeedsToFind bounds the search for a seed that detects a defect.
const mostSeedsToFind = 2000

// firstFailureOf is firstFailure for another model, starting at seed 0.
func firstFailureOf(play func(uint64, Options) Result, options Options, finds string) (uint64, string) {
	for seed := range uint64(mostSeedsToFind) {
		if r := play(seed, options); r.Failure != "" && strings.Contains(r.Failure, finds) {
			return seed, r.Failure
		}
	}
	return mostSeedsToFind, ""
}

// firstFailure returns the first seed whose failure contains the given text, and the failure.
// The text is needed because a defect may violate other checks first.
func firstFailure(from uint64, options Options, finds string) (uint64, string) {
	for seed := from; seed < from+mostSeedsToFind; seed++ {
		if r := Play(seed, options); r.Failure != "" && strings.Contains(r.Failure, finds) {
			return seed, r.Failure
		}
	}
	return mostSeedsToFind, ""
}
