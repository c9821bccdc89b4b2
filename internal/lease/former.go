package lease

// Former says who held a duty before self takes it. A claim of an earlier life
// of self counts as its own only where that life is known to have acted under
// it: one that was won without an answer, or just before a restart, was still
// waiting for the holder before it, who may act for as long as ever.
func Former(holder, self string, acted bool) Before {
	switch {
	case holder == "":
		return Nobody
	case holder == self && acted:
		return Itself
	}
	return Another
}
