package tally

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key stands for the name of a tally and the id of an add: the first bytes of a SHA-256.
type Key [16]byte

// KeyOf returns the key of an add.
func KeyOf(name, id string) Key {
	text := binary.AppendUvarint(nil, uint64(len(name)))
	text = append(append(text, name...), id...)
	sum := sha256.Sum256(text)
	return Key(sum[:len(Key{})])
}

// Add is an add to a tally.
type Add struct {
	Tally  string
	Key    Key
	Amount int64
}

// Origin names the log of one replica. A replica that has lost its disk gets another one.
type Origin string

// Vector says how much is held of the log of each origin: all numbers up to the one given.
type Vector map[Origin]uint64

// Run is a piece of the log of one origin, without a gap.
type Run struct {
	Origin Origin
	First  uint64 // the number of the first of the adds; numbers begin with 1
	Adds   []Add
}

// Digest is equal for equal vectors; it does not depend on an order.
func (v Vector) Digest() uint64 {
	digest := uint64(0)
	for origin, held := range v {
		if held > 0 {
			digest += xxhash.Sum64(binary.AppendUvarint([]byte(origin), held))
		}
	}
	return digest
}
