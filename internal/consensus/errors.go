package consensus

import "github.com/pkg/errors"

var (
	// ErrOutcomeUnknown means that a change may or may not have been committed.
	ErrOutcomeUnknown = errors.New("consensus: no majority answered; the change may or may not have been made")
	// ErrNoGroup means that this node has not learned any group yet.
	ErrNoGroup = errors.New("consensus: no group known yet")
	// ErrTransferStalled means that the transfer of a value was interrupted. The chunks
	// received so far are retained, and the next transfer resumes after them.
	ErrTransferStalled = errors.New("consensus: the sender of a value fell silent")
	// ErrStore is wrapped by every error of a store.
	ErrStore = errors.New("consensus: store")
	// ErrDamaged means that a record was written to disk and can no longer be read: its
	// votes are lost.
	ErrDamaged = errors.New("consensus: damaged record")
)
