package lease

// PredecessorOf classifies the previous holder of a lease that self acquires. A lease of
// an earlier process of self counts as SameHolder only if that process is known to have
// acted under it. Otherwise that process may have ended while it was still waiting for
// its own predecessor, which may then act for as long as any other holder.
func PredecessorOf(holder, self string, acted bool) Predecessor {
	switch {
	case holder == "":
		return NoPredecessor
	case holder == self && acted:
		return SameHolder
	}
	return OtherHolder
}
