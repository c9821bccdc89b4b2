package tally

import "encoding/binary"

// keyIndex finds stored adds by their key: an open hash table of places in Set.adds, with
// linear probing. The keys are hashes, so their first bytes serve as the hash of the table.
type keyIndex struct {
	slots []uint32 // place + 1; 0 is an empty slot
	used  int
}

const (
	minIndexSlots = 64
	// maxIndexLoad is the share of used slots, in percent, above which the table doubles.
	maxIndexLoad = 75
)

func (k *keyIndex) slot(key Key) int {
	return int(binary.LittleEndian.Uint64(key[:]) & uint64(len(k.slots)-1))
}

// find returns the place of the add that counts for a key.
func (k *keyIndex) find(adds []stored, key Key) (place uint32, ok bool) {
	if len(k.slots) == 0 {
		return 0, false
	}
	for at := k.slot(key); k.slots[at] != 0; at = (at + 1) % len(k.slots) {
		if place = k.slots[at] - 1; adds[place].key == key {
			return place, true
		}
	}
	return 0, false
}

// insert adds a place whose key is not there.
func (k *keyIndex) insert(adds []stored, place uint32) {
	if (k.used+1)*100 > len(k.slots)*maxIndexLoad {
		k.grow(adds)
	}
	k.put(adds[place].key, place)
	k.used++
}

func (k *keyIndex) put(key Key, place uint32) {
	at := k.slot(key)
	for k.slots[at] != 0 {
		at = (at + 1) % len(k.slots)
	}
	k.slots[at] = place + 1
}

// replace makes another place the one that counts for its key.
func (k *keyIndex) replace(adds []stored, former, place uint32) {
	at := k.slot(adds[place].key)
	for k.slots[at] != former+1 {
		at = (at + 1) % len(k.slots)
	}
	k.slots[at] = place + 1
}

func (k *keyIndex) grow(adds []stored) {
	former := k.slots
	k.slots = make([]uint32, max(2*len(former), minIndexSlots))
	for _, slot := range former {
		if slot != 0 {
			k.put(adds[slot-1].key, slot-1)
		}
	}
}
