package registry

// MarkSuspect applies a hint that a runner was not found at its address. It sets the
// runner's silence to just above the stale limit: a hint alone never makes a runner lost,
// and the runner's next heartbeat makes it fresh again.
func (r *Registry) MarkSuspect(id string, limits SilenceLimits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil || !e.usable() {
		return
	}
	e.lastObservedUs = min(e.lastObservedUs, r.newestObservedUs-limits.StaleUs-1)
}
