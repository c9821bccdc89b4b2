package controller

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/filesystem"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/tally"
)

// storedByEarlierVersion copies a data directory written by a controller of version f0fb356 after
// it had received a configuration, a weights version, an evacuation, a rollout, three adds to a
// tally and a heartbeat.
func storedByEarlierVersion(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	must.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "stored-by-f0fb356"))))
	return dir
}

// storedBodies returns the committed bodies of the registers with a lease.
func storedBodies(t *testing.T, disk *consensus.DiskStore) []messages.LeaseBody {
	t.Helper()
	var bodies []messages.LeaseBody
	for register := 1; register < consensus.RegisterCount; register++ {
		record, ok, err := disk.Load(register)
		must.NoError(t, err)
		must.True(t, ok)
		body, err := messages.DecodeLeaseBody(record.Committed)
		must.NoError(t, err)
		bodies = append(bodies, body)
	}
	return bodies
}

func TestRegistersOfEarlierVersionAreRead(t *testing.T) {
	disk, err := consensus.NewDiskStore(filepath.Join(storedByEarlierVersion(t), "ledger"))
	must.NoError(t, err)
	identity, ok := disk.ReadFile("identity")
	must.True(t, ok)
	must.Eq(t, "127.0.0.1:17641/0", string(identity))
	record, ok, err := disk.Load(consensus.ConfigRegister)
	must.NoError(t, err)
	must.True(t, ok)
	config, err := messages.DecodeConfigBody(record.Committed)
	must.NoError(t, err)
	must.Eq(t, 7, config.Version)
	var targets []messages.Target
	var evacuations []messages.Evacuation
	var rollouts []messages.ServiceRollout
	for _, body := range storedBodies(t, disk) {
		targets = append(targets, body.Targets...)
		evacuations = append(evacuations, body.Evacuations...)
		rollouts = append(rollouts, body.Rollouts...)
	}
	must.Eq(t, []messages.Target{{Model: "m-1", Version: 4}}, targets)
	must.Eq(t, []messages.Evacuation{{Zone: "a", Evacuated: true, Changes: 1}}, evacuations)
	must.Len(t, 1, rollouts)
	must.Eq(t, "v2", rollouts[0].Target)
	must.True(t, canary.Stage(rollouts[0].Stage).Running())
}

func TestRunnersOfEarlierVersionAreRead(t *testing.T) {
	disk, err := consensus.NewDiskStore(filepath.Join(storedByEarlierVersion(t), "ledger"))
	must.NoError(t, err)
	c := &Controller{disk: disk, registry: registry.New(), clock: func() int64 { return 1 }, log: logr.Discard()}
	c.restoreRunners()
	runner := c.registry.Snapshot().ByID["i-1"]
	must.Eq(t, "127.0.0.1:9", runner.Addr)
	must.Eq(t, 4, runner.Capacity)
	must.Eq(t, "v1", runner.Version)
}

func TestTalliesOfEarlierVersionAreRead(t *testing.T) {
	files, err := filesystem.Open(filepath.Join(storedByEarlierVersion(t), "tallies"))
	must.NoError(t, err)
	opened, err := tally.OpenLog(files, func() tally.Origin { return "new" })
	must.NoError(t, err)
	must.SliceEmpty(t, opened.DamagedSegments)
	must.Eq(t, 3, opened.Set.Len())
	must.Eq(t, 9, opened.Set.Total("visits"))
	opened.Log.Close()
}
