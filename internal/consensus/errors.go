package consensus

import "github.com/pkg/errors"

var (
	// ErrUnsure means that a change may or may not have been committed.
	ErrUnsure = errors.New("consensus: no majority answered; the change may or may not have been made")
	// ErrNoGroup means that this node does not know any group yet.
	ErrNoGroup = errors.New("consensus: no group known yet")
	// ErrTransferStalled means that a transfer of a value stopped; what has arrived
	// of it is kept.
	ErrTransferStalled = errors.New("consensus: the sender of a value fell silent")
	// ErrStore is wrapped by every error of a store.
	ErrStore = errors.New("consensus: store")
	// ErrDamaged means that a record was on disk and can't be read now: its votes
	// are lost.
	ErrDamaged = errors.New("consensus: damaged record")
)
