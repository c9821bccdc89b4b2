package consensus

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/simulation/disk"
)

// The number of files is bounded over 2,260 changes of a configuration. The bytes on disk
// and in a round grow by 26 per change until the digests of earlier versions reach their
// limit (2,048), and are constant from then on.
func TestStorageStaysBoundedOver2000Changes(t *testing.T) {
	const changes, constantFrom = 2260, 2180 // 2,048 digests, and the last of the 127 whose version takes one byte is dropped
	const maxFiles = 1 + 1 + 2               // the identity, the record, one just written and one just replaced
	nodes, disks := map[string]*Registers{}, map[string]*disk.Disk{}
	var acceptBytes atomic.Int64 // bytes of the latest accept request
	net := callerFunc(func(ctx context.Context, addr string, b []byte) ([]byte, error) {
		var request messages.ConsensusRequest
		if _, err := request.UnmarshalMsg(b); err == nil && request.Step == messages.Accept {
			acceptBytes.Store(int64(len(b)))
		}
		return nodes[addr].Handle(ctx, b)
	})
	seeds := []string{"a", "b", "c"}
	for i, s := range seeds {
		disks[s] = disk.New(uint64(i))
		registers, err := Open(s, 1, true, seeds, net, openSimulated(t, disks[s]), logr.Discard(), nil)
		must.NoError(t, err)
		nodes[s] = registers
	}
	raw := bytes.Repeat([]byte("r"), 3000)
	otherRecords := RegisterCount - 1 // records of the other registers
	var acceptSizes []int64
	for n := range int64(changes) {
		update := routeconfig.Submission{Raw: append(fmt.Appendf(nil, "%06d", n), raw...), Version: n + 1, Base: n}
		_, err := nodes["a"].Change(t.Context(), ConfigRegister, applySubmission(update))
		must.NoError(t, err)
		acceptSizes = append(acceptSizes, acceptBytes.Load())
		for _, s := range seeds {
			names, err := disks[s].List()
			must.NoError(t, err)
			must.LessEq(t, maxFiles+otherRecords, len(names))
		}
	}
	maxDiskBytes := 0
	for _, s := range seeds {
		maxDiskBytes = max(maxDiskBytes, disks[s].TotalBytes())
	}
	t.Logf("accept request: %d bytes at change 10, %d at 1000, %d at 2000, %d at %d; largest disk %d bytes", acceptSizes[9], acceptSizes[999], acceptSizes[1999], acceptSizes[changes-1], changes, maxDiskBytes)
	must.Between(t, 25*990, acceptSizes[999]-acceptSizes[9], 28*990)
	must.Eq(t, acceptSizes[constantFrom], acceptSizes[changes-1])
	must.Less(t, 6*acceptSizes[changes-1], int64(maxDiskBytes), must.Sprint("a record has two values, and there are up to three files at a time"))
}

// applySubmission returns the change that applies a submission to the configuration.
func applySubmission(update routeconfig.Submission) Change {
	return func(cur messages.Value) ([]messages.Member, []byte, error) {
		next, err := update.Apply(bodyOf(cur))
		if err != nil {
			return nil, nil, err
		}
		body, err := next.MarshalMsg(nil)
		return nil, body, err
	}
}
