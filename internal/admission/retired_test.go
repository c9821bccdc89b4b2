package admission

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const testSecondUs = int64(1_000_000)

var testRetired = map[string]int64{"m": 2}

func TestRunnersWithRetiredWeightsAreNotCandidates(t *testing.T) {
	admitter := newAdmitter("x")
	for _, c := range []struct {
		version    int64
		candidates int
	}{{0, 0}, {1, 0}, {2, 1}, {3, 1}} {
		setRunnerVersion(admitter, c.version)
		admitter.SetRetired(testRetired)
		must.Len(t, c.candidates, admitter.Candidates(newRequest(16, 1), testSecondUs), must.Sprintf("version %d", c.version))
		admitter.SetRetired(nil)
		must.Len(t, 1, admitter.Candidates(newRequest(16, 1), testSecondUs), must.Sprintf("version %d, none retired", c.version))
	}
}

// A runner that restarts with its old, now retired, weights must not receive requests, even if
// events that arrive late report cached prefixes for it.
func TestCachedPrefixesDoNotRestoreRunnerWithRetiredWeights(t *testing.T) {
	admitter := newAdmitter("x")
	setRunnerVersion(admitter, 1)
	admitter.SetRetired(testRetired)
	request := newRequest(16, 1)
	for i, key := range admitter.keysOf(request)(1) {
		admitter.Index.RecordPrefilled("x", key, int32(request.Parts[i].Tokens))
	}
	must.SliceEmpty(t, admitter.Candidates(request, testSecondUs))
	must.Nil(t, admitter.Submit(request, testSecondUs).Admission)
}

func TestAdmissionIsNotSentAfterItsWeightsAreRetired(t *testing.T) {
	admitter := newAdmitter("x")
	setRunnerVersion(admitter, 1)
	adm := admitter.Submit(newRequest(16, 1), testSecondUs).Admission
	must.NotNil(t, adm)
	must.True(t, admitter.WeightsAllowed(adm, testSecondUs))
	admitter.SetRetired(testRetired)
	must.False(t, admitter.WeightsAllowed(adm, testSecondUs))
	setRunnerVersion(admitter, 2)
	must.True(t, admitter.HasRetiredWeights(adm), must.Sprint("the admission's cached prefixes belong to the old weights"))
}

func TestBlocksAreNotFetchedFromRunnerWithRetiredWeights(t *testing.T) {
	admitter := newAdmitter("x", "y")
	records := []messages.RunnerRecord{testRecord("x"), testRecord("y")}
	for i := range records {
		records[i].Models = []messages.Target{{Model: "m", Version: int64(i + 1)}}
	}
	admitter.SetService("s", records, testMemoryTokens, 2)
	admitter.SetRetired(testRetired)
	request := newRequest(16, 1)
	for _, version := range []int64{1, 2} {
		for i, key := range admitter.keysOf(request)(version) {
			admitter.Index.RecordPrefilled("x", key, int32(request.Parts[i].Tokens))
		}
	}
	adm := admitter.Submit(request, testSecondUs).Admission
	must.NotNil(t, adm)
	must.Eq(t, "y", adm.Runner.ID)
	must.Eq(t, "", adm.Source)
}

func TestRunnersAndPartsWithRetiredWeightsAreCounted(t *testing.T) {
	admitter := newAdmitter("x")
	setRunnerVersion(admitter, 1)
	admitter.SetRetired(testRetired)
	stream := admitter.Index.CachedPrefixes("x")
	stream.Begin(1, 0)
	stream.Replace(map[uint64]int32{7: 16, 8: 16})
	stream.Commit(1)
	runners, parts := admitter.CountRetired("m")
	must.Eq(t, 1, runners)
	must.Eq(t, 2, parts)
	setRunnerVersion(admitter, 2)
	runners, _ = admitter.CountRetired("m")
	must.Zero(t, runners)
}
