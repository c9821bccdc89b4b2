package tally

// Storage is what a replica knows about the disks of the deployment. It decides whether copies in
// memory count for the quorum, and is a property of the deployment: which replicas are alive at
// the moment has no influence on it.
type Storage int

const (
	// StorageUnknown is the state of a replica without a disk that has learned neither of the
	// following. Copies in memory do not count.
	StorageUnknown Storage = iota
	// StorageDisk means that some replica has a disk. Copies in memory do not count, since any
	// number of the machines without a disk may be lost. A replica never leaves this state.
	StorageDisk
	// StorageMemory means that no member of the core has a disk, so that copies in memory are
	// the only ones and count.
	StorageMemory
)

// setCore sets the other members of the core.
func (ps *Peers) setCore(members []string) {
	if ps.storage != StorageUnknown {
		return
	}
	for _, addr := range members {
		if p := ps.byAddr[addr]; p == nil || !p.hasAcked {
			return
		}
	}
	for _, p := range ps.byAddr {
		if !p.hasAcked && !p.unreachable() {
			return
		}
	}
	ps.storage = StorageMemory
}

// ownCopyCounts reports whether this replica's own copy counts for the quorum.
func (ps *Peers) ownCopyCounts() bool { return ps.durable || ps.storage == StorageMemory }

// copyCounts reports whether the copy of a peer counts for the quorum. One of a peer that has not
// acknowledged anything yet may be on a disk.
func (ps *Peers) copyCounts(p *peerState) bool {
	return p.durable || !p.hasAcked || ps.storage == StorageMemory
}

// ownCopies returns the copies of an add that this replica itself contributes to the quorum.
func (ps *Peers) ownCopies() (own copies) {
	if ps.ownCopyCounts() {
		own.add(ps.zone)
	}
	return own
}
