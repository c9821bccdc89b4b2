package targets

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func ageOf(model string, version, us int64) []messages.TargetAge {
	return []messages.TargetAge{{Model: model, Version: version, AgeUs: us}}
}

func TestAgesTransferBetweenUnrelatedClocks(t *testing.T) {
	var controller, relay, router Table
	controller.RecordNamed("m", 2, 1_000_000)
	relay.MergeAges(controller.Ages(1_500_000), 77)
	must.Eq(t, 500_000, relay.Newest("m").AgeUs(77))
	router.MergeAges(relay.Ages(77+300_000), 9_000_000)
	must.Eq(t, 800_000, router.Newest("m").AgeUs(9_000_000), must.Sprint("the relay adds the time since it received the age"))
}

func TestDelayedMessageDoesNotLowerAge(t *testing.T) {
	var table Table
	table.MergeAges(ageOf("m", 2, 400_000), 1_000_000)
	table.MergeAges(ageOf("m", 2, 100_000), 1_100_000)
	table.RecordAssumedAge("m", 2, 1_200_000)
	must.Eq(t, 800_000, table.Newest("m").AgeUs(1_400_000))
	table.MergeAges(ageOf("m", 2, 2_000_000), 1_500_000)
	must.Eq(t, 2_000_000, table.Newest("m").AgeUs(1_500_000))
}

func TestOutdatedUsCountsFromEarliestNewerVersion(t *testing.T) {
	var table Table
	table.RecordNamed("m", 2, 0)
	table.RecordNamed("m", 3, 5_000_000)
	table.MergeAges(ageOf("m", 4, 500_000), 6_000_000)
	must.Eq(t, 4, table.Newest("m").Version)
	must.Eq(t, 6_000_000, table.OutdatedUs("m", 1, 6_000_000), must.Sprint("since version 2 was named"))
	must.Eq(t, 1_000_000, table.OutdatedUs("m", 2, 6_000_000))
	must.Eq(t, 500_000, table.OutdatedUs("m", 3, 6_000_000))
	must.Eq(t, 0, table.OutdatedUs("m", 4, 6_000_000))
	var router Table
	router.RecordAssumedAge("m", 4, 1)
	router.MergeAges(table.Ages(6_000_000), 1)
	must.Eq(t, 6_000_000, router.OutdatedUs("m", 1, 1), must.Sprint("a node that had only version 4 receives the others"))
}

func TestRedundantVersionsArePruned(t *testing.T) {
	var table Table
	table.RecordNamed("m", 2, 0)
	table.RecordNamed("m", 3, 1_000_000)
	table.RecordNamed("m", 4, retentionUs)
	must.Eq(t, retentionUs, table.OutdatedUs("m", 1, retentionUs))
	table.RecordNamed("m", 5, 2_000_000+retentionUs)
	ages := table.Ages(2_000_000 + retentionUs)
	must.Len(t, 3, ages)
	must.Eq(t, 3, ages[0].Version)
	for version := range int64(2 * maxVersions) {
		table.RecordNamed("m", 6+version, 2_000_000+retentionUs)
	}
	must.Len(t, maxVersions, table.Ages(2_000_000+retentionUs))
}

func TestRecalledTargetIsPastEveryBoundUntilAgeObserved(t *testing.T) {
	var table Table
	table.RecordUnknownAge("m", 2, 0)
	must.Eq(t, math.MaxInt64, table.Newest("m").AgeUs(1))
	table.RecordAssumedAge("m", 2, 2)
	must.Eq(t, math.MaxInt64, table.Newest("m").AgeUs(3))
	must.Eq(t, ageOf("m", 2, UnknownAgeUs), table.Ages(3))
	table.MergeAges(ageOf("m", 2, 1_000_000), 3_000_000)
	must.Eq(t, 1_000_000, table.Newest("m").AgeUs(3_000_000))
	table.MergeAges(ageOf("m", 2, UnknownAgeUs), 3_100_000)
	must.Eq(t, 1_100_000, table.Newest("m").AgeUs(3_100_000), must.Sprint("an unknown age does not replace a known one"))
}

func TestAssumedAgeIsNotSentAndIsReplacedByObservedAge(t *testing.T) {
	var table Table
	table.RecordAssumedAge("m", 2, 5_000_000)
	must.SliceEmpty(t, table.Ages(6_000_000))
	must.Eq(t, 1_000_000, table.Newest("m").AgeUs(6_000_000))
	table.MergeAges(ageOf("m", 2, UnknownAgeUs), 6_000_000)
	must.Eq(t, math.MaxInt64, table.Newest("m").AgeUs(6_000_000))
}

func TestModelWithoutTargetHasVersionZero(t *testing.T) {
	var table Table
	must.Eq(t, 0, table.Newest("m").Version)
	must.SliceEmpty(t, table.Ages(1))
}
