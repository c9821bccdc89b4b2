// Evaluation of the tally.

package soak

// checkTallies requires that every controller has each acknowledged add at the end, and nothing twice. No
// link between nodes is cut in a soak, and no more disks are lost than the tolerance allows, so
// that every acknowledged add is owed.
func checkTallies(e *evaluator) {
	acknowledged, mayCount := int64(0), int64(0)
	for _, add := range e.Adds {
		if add.Acknowledged {
			acknowledged++
		}
		if add.MayCount {
			mayCount++
		}
	}
	for _, total := range e.Totals {
		switch {
		case !total.Answered:
			e.addViolation(RuleTally, e.Calm, "%s doesn't give the tally at the end", total.Node)
		case total.Total < acknowledged:
			e.addViolation(RuleTally, e.Calm, "%s has %d adds, %d were acknowledged", total.Node, total.Total, acknowledged)
		case total.Total > mayCount:
			e.addViolation(RuleTally, e.Calm, "%s has %d adds, %d may count", total.Node, total.Total, mayCount)
		}
	}
}
