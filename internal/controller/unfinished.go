// Values that were accepted here and are not known as committed. The proposer says
// so once a majority has accepted; if it ends at that moment, or its message is
// lost, nobody else knows of a change that may have been acknowledged.
package controller

import (
	"context"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// finishWait bounds a read that finishes a round.
const finishWait = time.Second

// unfinishedRounds are the registers with an accepted value, by part, with the
// committed version at which that was seen.
type unfinishedRounds struct {
	mu   sync.Mutex // guards seen
	seen map[int]int64
}

// due notes whether a register has an accepted value now, and tells whether it had
// one at the same version at the last look.
func (u *unfinishedRounds) due(part int, accepted bool, version int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	before, known := u.seen[part]
	delete(u.seen, part)
	if !accepted {
		return false
	}
	if u.seen == nil {
		u.seen = map[int]int64{}
	}
	u.seen[part] = version
	return known && before == version
}

// finishRounds reads the registers in which a round has not come to its end between
// two looks. The read learns or completes what was accepted.
func (d *Controller) finishRounds(ctx context.Context) {
	for part := range consensus.Parts {
		v, ok := d.registers.Committed(part)
		if !ok || !d.unfinished.due(part, d.hasAccepted(ctx, part, v.Version), v.Version) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, finishWait)
			defer cancel()
			_, err := d.readRegister(ctx, part)
			d.log.Info("unfinished round read", "part", part, "version", v.Version, "err", err)
		}()
	}
}

// hasAccepted tells whether this member has accepted a value after a version.
func (d *Controller) hasAccepted(ctx context.Context, part int, version int64) bool {
	request := messages.ConsensusRequest{Part: part, To: d.registers.ID(), Step: messages.Read, Slot: version + 1}
	b, err := request.MarshalMsg(nil)
	if err != nil {
		return false
	}
	out, err := d.registers.Handle(ctx, b)
	if err != nil {
		return false
	}
	var response messages.ConsensusResponse
	_, err = response.UnmarshalMsg(out)
	return err == nil && response.Verdict == messages.Granted && response.HasAccepted
}
