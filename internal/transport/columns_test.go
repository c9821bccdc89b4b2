package transport

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

func TestJoinColumnsRestoresAnyInput(t *testing.T) {
	var records []byte
	for i := range 300 {
		records = fmt.Appendf(records, `{"name":"r-%x","host":"%07x.example","n":%d}`, i*7919, i*104729, i)
	}
	for _, b := range [][]byte{nil, {streamEscape}, {streamEscape, escapedField}, []byte("word"), bytes.Repeat([]byte{streamEscape, 'a', 'b', 'c'}, 20), records} {
		back, err := joinColumns(splitColumns(b), len(b))
		must.NoError(t, err)
		must.Eq(t, string(b), string(back))
	}
}

// The records repeat a field value in the key of the record, as configuration entries do.
func TestSplitColumnsImprovesCompression(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var records []byte
	for range 1000 {
		name, host := random.Uint32(), random.Uint32()
		records = fmt.Appendf(records, `{"name":"r-%08x","host":"%08x.example","kind":"stream"}route/000/%08x.example/%08x`, name, host, host, name)
	}
	must.Less(t, len(compress(records))*85/100, len(compress(splitColumns(records))))
}

func FuzzJoinColumns(f *testing.F) {
	f.Add(splitColumns([]byte(`{"host":"a81f3c2.example"}{"host":"99c01ff.example"}`)))
	f.Add([]byte{2, streamEscape, escapedField, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		const maxBytes = 1 << 16
		out, err := joinColumns(b, maxBytes)
		if err == nil && len(out) > maxBytes {
			t.Fatal("longer than allowed")
		}
		back, err := joinColumns(splitColumns(b), len(b))
		if err != nil || !bytes.Equal(b, back) {
			t.Fatalf("%q became %q, %v", b, back, err)
		}
	})
}
