package registry

// Doubt applies a hint that a runner was not at its address. The runner counts as silent
// for long enough to be stale, and for no longer: a hint alone never makes it lost, and
// its next heartbeat makes it fresh again.
func (r *Registry) Doubt(id string, after Silence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil || !e.usable() {
		return
	}
	e.lastObservedUs = min(e.lastObservedUs, r.newestObservedUs-after.StaleUs-1)
}
