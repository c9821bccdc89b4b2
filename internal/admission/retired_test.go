package admission

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const second = int64(1_000_000)

var retiredBelow2 = map[string]int64{"m": 2}

func TestRunnersWithRetiredWeightsAreNotCandidates(t *testing.T) {
	admitter := newAdmitter("x")
	for _, c := range []struct {
		version    int64
		candidates int
	}{{0, 0}, {1, 0}, {2, 1}, {3, 1}} {
		withVersion(admitter, c.version)
		admitter.SetRetired(retiredBelow2)
		must.Len(t, c.candidates, admitter.Candidates(newRequest(16, 1), second), must.Sprintf("version %d", c.version))
		admitter.SetRetired(nil)
		must.Len(t, 1, admitter.Candidates(newRequest(16, 1), second), must.Sprintf("version %d, none retired", c.version))
	}
}

// A runner that restarts with the weights that it had takes no work, whatever it reports
// as cached.
func TestCachedPrefixesDoNotRestoreRunnerWithRetiredWeights(t *testing.T) {
	admitter := newAdmitter("x")
	withVersion(admitter, 1)
	admitter.SetRetired(retiredBelow2)
	request := newRequest(16, 1)
	for i, key := range admitter.keysOf(request)(1) {
		admitter.Index.Put("x", key, int32(request.Parts[i].Tokens))
	}
	must.SliceEmpty(t, admitter.Candidates(request, second))
	must.Nil(t, admitter.Submit(request, second).Admit)
}

func TestAdmissionIsNotSentAfterItsWeightsAreRetired(t *testing.T) {
	admitter := newAdmitter("x")
	withVersion(admitter, 1)
	adm := admitter.Submit(newRequest(16, 1), second).Admit
	must.NotNil(t, adm)
	must.True(t, admitter.WeightsAllowed(adm, second))
	admitter.SetRetired(retiredBelow2)
	must.False(t, admitter.WeightsAllowed(adm, second))
	withVersion(admitter, 2)
	must.True(t, admitter.Retired(adm), must.Sprint("its prefixes are those of the old weights"))
}

func TestBlocksAreNotFetchedFromRunnerWithRetiredWeights(t *testing.T) {
	admitter := newAdmitter("x", "y")
	records := []messages.RunnerRecord{testRecord("x"), testRecord("y")}
	for i := range records {
		records[i].Models = []messages.Target{{Model: "m", Version: int64(i + 1)}}
	}
	admitter.SetService("s", records, memory, 2)
	admitter.SetRetired(retiredBelow2)
	request := newRequest(16, 1)
	for _, version := range []int64{1, 2} {
		for i, key := range admitter.keysOf(request)(version) {
			admitter.Index.Put("x", key, int32(request.Parts[i].Tokens))
		}
	}
	adm := admitter.Submit(request, second).Admit
	must.NotNil(t, adm)
	must.Eq(t, "y", adm.Runner.ID)
	must.Eq(t, "", adm.Source)
}

func TestRunnersAndPartsWithRetiredWeightsAreCounted(t *testing.T) {
	admitter := newAdmitter("x")
	withVersion(admitter, 1)
	admitter.SetRetired(retiredBelow2)
	stream := admitter.Index.CachedPrefixes("x")
	stream.Begin(1, 0)
	stream.Replace(map[uint64]int32{7: 16, 8: 16})
	stream.Commit(1)
	runners, parts := admitter.RetiredLeft("m")
	must.Eq(t, 1, runners)
	must.Eq(t, 2, parts)
	withVersion(admitter, 2)
	runners, _ = admitter.RetiredLeft("m")
	must.Zero(t, runners)
}
