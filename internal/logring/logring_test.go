package logring

import (
	"bytes"
	"testing"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func TestRingIsDumpedOnlyOnError(t *testing.T) {
	var out bytes.Buffer
	ring := New(4, &out)
	log := logr.New(ring).WithName("x").WithValues("k", 1)
	for range 9 {
		log.Info("quiet")
	}
	must.Eq(t, 0, out.Len())
	log.Error(errors.New("boom"), "wrong")
	must.StrContains(t, out.String(), "boom")
	must.Eq(t, 4, bytes.Count(out.Bytes(), []byte("\n")))
	must.Eq(t, 3, bytes.Count(out.Bytes(), []byte("quiet k=1")))
	out.Reset()
	ring.Dump(&out)
	must.Eq(t, 0, out.Len())
}

func TestShowKeepsLinesAndDumpRemovesThem(t *testing.T) {
	var errorsOut, out bytes.Buffer
	ring := New(4, &errorsOut)
	logr.New(ring).Info("line")
	for range 2 {
		out.Reset()
		ring.Show(&out)
		must.StrContains(t, out.String(), "line")
	}
	out.Reset()
	ring.Dump(&out)
	must.StrContains(t, out.String(), "line")
	out.Reset()
	ring.Show(&out)
	must.Eq(t, 0, out.Len())
}

func TestWriteAllWritesEachLineOnce(t *testing.T) {
	var out bytes.Buffer
	ring := New(4, &out)
	ring.WriteAll()
	log := logr.New(ring)
	log.Info("first")
	must.Eq(t, 1, bytes.Count(out.Bytes(), []byte("\n")))
	log.Error(errors.New("boom"), "second")
	must.Eq(t, 2, bytes.Count(out.Bytes(), []byte("\n")), must.Sprint("with WriteAll an error does not dump the ring"))
}
