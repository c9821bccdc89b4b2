package operatorapi

import (
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/invariant"
	"beechtide.org/beechtide/internal/messages"
)

// A change that was acknowledged to the operator must survive the end of this process.
var acknowledgedIsCommitted = invariant.New("acknowledged_change_is_committed",
	"a change that is acknowledged to the operator is committed, as far as this controller knows")

// Reads are linearizable: a read returns the version that was acknowledged before it began, or a
// newer one.
var readNotOlderThanAcknowledged = invariant.New("read_not_older_than_acknowledged",
	"a read of the configuration gives no older version than this controller had acknowledged when it began")

// checkAcknowledged checks that a change that is about to be acknowledged is committed; v is the
// value of the register after the round of the change.
func (s *Service) checkAcknowledged(version int64, v messages.Value) {
	s.acknowledged.Advance(version)
	if committed, _ := s.config.Registers.Committed(consensus.ConfigRegister); committed.Version < v.Version {
		acknowledgedIsCommitted.Violated("version", version, "register", v.Version, "committed", committed.Version)
	}
}

// checkRead checks that a version that is about to be returned is not older than the newest one
// that was acknowledged before the read began.
func checkRead(version, acknowledged int64) {
	if version < acknowledged {
		readNotOlderThanAcknowledged.Violated("version", version, "acknowledged", acknowledged)
	}
}
