package tally

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an add by the name of its tally and its ID: the first bytes of their SHA-256.
type Key [16]byte

// KeyOf returns the key of the add with the given ID to the tally with the given name.
func KeyOf(name, id string) Key {
	text := binary.AppendUvarint(nil, uint64(len(name)))
	text = append(append(text, name...), id...)
	sum := sha256.Sum256(text)
	return Key(sum[:len(Key{})])
}

// Add is one increment of a tally.
type Add struct {
	Tally  string
	Key    Key
	Amount int64
}

// Origin names the log of one replica. A replica that has lost its disk gets a new origin.
type Origin string

// Vector is a version vector: by origin, the number up to which its log is complete.
type Vector map[Origin]uint64

// Run is a contiguous range of the log of one origin.
type Run struct {
	Origin Origin
	First  uint64 // number of the first add in Adds; numbers start at 1
	Adds   []Add
}

// Digest returns a hash that is equal for equal vectors, whatever the iteration order.
func (v Vector) Digest() uint64 {
	digest := uint64(0)
	for origin, number := range v {
		if number > 0 {
			digest += xxhash.Sum64(binary.AppendUvarint([]byte(origin), number))
		}
	}
	return digest
}
