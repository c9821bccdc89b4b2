package admission

// Abandon takes a waiting request out of its queue, as when its client has left.
// It tells whether the request was still there.
func (d *Controller) Abandon(a Ask) bool {
	p := d.pool(a.Service)
	for _, b := range p.queue.bands {
		if b.rank != a.Rank {
			continue
		}
		for i, w := range b.tenants[a.Tenant] {
			if w.ask.Ref == a.Ref {
				p.queue.remove(b, a.Tenant, i)
				return true
			}
		}
	}
	return false
}
