package admission

// Abandon takes a waiting request out of its queue, as when its client has left.
// It tells whether the request was still there.
func (a *Admitter) Abandon(request Request) bool {
	p := a.pool(request.Service)
	for _, b := range p.queue.bands {
		if b.rank != request.Rank {
			continue
		}
		for i, w := range b.tenants[request.Tenant] {
			if w.ask.Ref == request.Ref {
				p.queue.remove(b, request.Tenant, i)
				return true
			}
		}
	}
	return false
}
