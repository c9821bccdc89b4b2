package disk

import (
	"io/fs"
	"testing"

	"github.com/shoenig/test/must"
)

func writeFile(t *testing.T, d *Disk, name, body string, sync bool) {
	f, err := d.Create(name)
	must.NoError(t, err)
	_, err = f.Write([]byte(body))
	must.NoError(t, err)
	if sync {
		must.NoError(t, f.Sync())
	}
}

// Synced bytes under a synced name must survive every power loss. Unsynced names must be
// kept or lost independently of each other, and unsynced bytes may be torn.
func TestPowerLossKeepsSyncedData(t *testing.T) {
	outcomes := map[[2]bool]int{}
	torn := 0
	for seed := range uint64(200) {
		d := New(seed)
		writeFile(t, d, "sure", "kept", true)
		must.NoError(t, d.Sync())
		writeFile(t, d, "first.new", "synced", true)
		must.NoError(t, d.Rename("first.new", "first"))
		writeFile(t, d, "second", "not synced", false)
		d.LosePower()
		b, err := d.Read("sure")
		must.NoError(t, err)
		must.Eq(t, "kept", string(b))
		b, err = d.Read("first")
		first := err == nil
		if first {
			must.Eq(t, "synced", string(b))
		}
		b, err = d.Read("second")
		if err == nil && len(b) < len("not synced") {
			torn++
		}
		outcomes[[2]bool{first, err == nil}]++
	}
	must.MapLen(t, 4, outcomes)
	must.Positive(t, torn)
}

func TestPowerLossRevertsSomeUnsyncedRemovals(t *testing.T) {
	back := 0
	for seed := range uint64(50) {
		d := New(seed)
		writeFile(t, d, "a", "x", true)
		must.NoError(t, d.Sync())
		must.NoError(t, d.Remove("a"))
		d.LosePower()
		if _, err := d.Read("a"); err == nil {
			back++
		}
	}
	must.Positive(t, back)
	must.Less(t, 50, back)
}

func TestFullDiskStopAndRestart(t *testing.T) {
	d := New(1)
	writeFile(t, d, "a", "x", false)
	d.SetFull(true)
	f, err := d.Create("b")
	must.NoError(t, err)
	_, err = f.Write([]byte("y"))
	must.ErrorIs(t, err, ErrFull)
	d.SetFull(false)
	d.StopAfter(1)
	_, err = d.Read("a")
	must.NoError(t, err)
	_, err = d.List()
	must.ErrorIs(t, err, ErrStopped)
	d.Restart()
	b, err := d.Read("a")
	must.NoError(t, err, must.Sprint("the end of the process must not lose files"))
	must.Eq(t, "x", string(b))
	d.Erase()
	_, err = d.Read("a")
	must.ErrorIs(t, err, fs.ErrNotExist)
}
