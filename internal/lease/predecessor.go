package lease

// PredecessorOf returns who held a lease before self acquires it. A lease of an earlier
// process of self counts as its own only if that process is known to have acted under
// it. Otherwise it may have ended while it was still waiting for its own predecessor,
// which may then act for as long as any other holder.
func PredecessorOf(holder, self string, acted bool) Predecessor {
	switch {
	case holder == "":
		return Nobody
	case holder == self && acted:
		return Itself
	}
	return Another
}
