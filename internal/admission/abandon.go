package admission

// Abandon removes a queued request, for example when its client has disconnected. It
// reports whether the request was still queued.
func (a *Admitter) Abandon(request Request) bool {
	p := a.pool(request.Service)
	for _, b := range p.queue.bands {
		if b.rank != request.Rank {
			continue
		}
		for i, w := range b.tenants[request.Tenant] {
			if w.request.Ref == request.Ref {
				p.queue.remove(b, request.Tenant, i)
				return true
			}
		}
	}
	return false
}
