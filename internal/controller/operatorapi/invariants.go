package operatorapi

import (
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/invariant"
	"beechtide.org/beechtide/internal/messages"
)

// What was acknowledged to the operator must survive this process.
var acknowledgedIsCommitted = invariant.New("acknowledged_change_is_committed",
	"a change that is acknowledged to the operator is committed, as far as this controller knows")

// A read is linearizable: it gives what was acknowledged before it began, or something
// newer.
var readIsNewest = invariant.New("read_not_older_than_acknowledged",
	"a read of the configuration gives no older version than this controller had acknowledged when it began")

// checkAcknowledged checks a change that is about to be acknowledged; v is the value of
// the register that its round gave.
func (s *Service) checkAcknowledged(version int64, v messages.Value) {
	s.acknowledged.Advance(version)
	if committed, _ := s.config.Registers.Committed(consensus.ConfigRegister); committed.Version < v.Version {
		acknowledgedIsCommitted.Violated("version", version, "register", v.Version, "committed", committed.Version)
	}
}

// checkRead checks a version that is about to be given to a reader against the newest
// that was acknowledged before the read began.
func checkRead(version, acknowledged int64) {
	if version < acknowledged {
		readIsNewest.Violated("version", version, "acknowledged", acknowledged)
	}
}
