package tally

import "encoding/binary"

// keyIndex finds stored adds by their key: an open-addressing hash table of positions in
// Set.adds, with linear probing. Keys are hashes already, so their first bytes are used as the
// hash value.
type keyIndex struct {
	slots []uint32 // position + 1; 0 is an empty slot
	used  int
}

const (
	minIndexSlots = 64
	// maxIndexLoad is the percentage of used slots above which the table doubles.
	maxIndexLoad = 75
)

func (k *keyIndex) slot(key Key) int {
	return int(binary.LittleEndian.Uint64(key[:]) & uint64(len(k.slots)-1))
}

// find returns the position of the add that counts for a key.
func (k *keyIndex) find(adds []storedAdd, key Key) (position uint32, ok bool) {
	if len(k.slots) == 0 {
		return 0, false
	}
	for slot := k.slot(key); k.slots[slot] != 0; slot = (slot + 1) % len(k.slots) {
		if position = k.slots[slot] - 1; adds[position].key == key {
			return position, true
		}
	}
	return 0, false
}

// insert adds a position whose key is not in the index yet.
func (k *keyIndex) insert(adds []storedAdd, position uint32) {
	if (k.used+1)*100 > len(k.slots)*maxIndexLoad {
		k.grow(adds)
	}
	k.setSlot(adds[position].key, position)
	k.used++
}

func (k *keyIndex) setSlot(key Key, position uint32) {
	slot := k.slot(key)
	for k.slots[slot] != 0 {
		slot = (slot + 1) % len(k.slots)
	}
	k.slots[slot] = position + 1
}

// replace replaces the position that counts for a key by that of another add with the same key.
func (k *keyIndex) replace(adds []storedAdd, oldPosition, newPosition uint32) {
	slot := k.slot(adds[newPosition].key)
	for k.slots[slot] != oldPosition+1 {
		slot = (slot + 1) % len(k.slots)
	}
	k.slots[slot] = newPosition + 1
}

func (k *keyIndex) grow(adds []storedAdd) {
	oldSlots := k.slots
	k.slots = make([]uint32, max(2*len(oldSlots), minIndexSlots))
	for _, slot := range oldSlots {
		if slot != 0 {
			k.setSlot(adds[slot-1].key, slot-1)
		}
	}
}
