// Unfinished rounds: a member has accepted a value and hears no more of it. The
// round may have been won, and its proposer have acknowledged the change, before
// the proposer ended, froze or was cut off.
package consensus

// Unfinished gives the slot for which this member has accepted a value that it
// does not know to be committed; false where there is none, or where the part is
// at work just now. A Read brings such a round to its end.
func (l *Registers) Unfinished(p int) (slot int64, unfinished bool) {
	at := l.parts[p]
	select {
	case at.sem <- struct{}{}:
	default:
		return 0, false
	}
	record := at.acc.Rec
	<-at.sem
	slot = record.Committed.Version + 1
	if known := at.learned.Load(); known != nil && known.Version >= slot {
		return 0, false
	}
	return slot, record.HasAccepted
}
