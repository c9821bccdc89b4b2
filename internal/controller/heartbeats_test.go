package controller

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestPackBatchesKeepsHeartbeatsInPacketsOfBoundedSize(t *testing.T) {
	var records []messages.RunnerRecord
	for i := range 40 {
		records = append(records, messages.RunnerRecord{ID: fmt.Sprint("i-", i), Service: "s", Addr: "10.0.0.1:80", Zone: "a", Seq: 1, Models: []messages.Target{{Model: "m", Version: 1}}})
	}
	batches := packBatches(records)
	must.Less(t, len(records)/3, len(batches))
	var arrived []messages.RunnerRecord
	for _, batch := range batches {
		b, err := batch.MarshalMsg(nil)
		must.NoError(t, err)
		must.LessEq(t, maxBatchBytes, len(b))
		var read messages.RunnerBatch
		_, err = read.UnmarshalMsg(b)
		must.NoError(t, err)
		arrived = append(arrived, read.Runners...)
	}
	must.Eq(t, records, arrived)
	must.SliceEmpty(t, packBatches(nil))
}

func TestReceiveHeartbeatsAppliesBatchAndIgnoresMalformedOne(t *testing.T) {
	d, clock := newIsolatedController(t)
	batch := messages.RunnerBatch{Runners: []messages.RunnerRecord{
		{ID: "i-1", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Seq: 1, Models: []messages.Target{}},
		{ID: "i-2", Service: "s", Addr: "10.0.0.2:80", Zone: "a", Seq: 1, Models: []messages.Target{}},
	}}
	b, err := batch.MarshalMsg(nil)
	must.NoError(t, err)
	clock.Add(1)
	d.receiveHeartbeats("", b)
	must.MapLen(t, 2, d.registry.Snapshot().ByID)
	d.receiveHeartbeats("", []byte("no heartbeats"))
	must.MapLen(t, 2, d.registry.Snapshot().ByID)
}
