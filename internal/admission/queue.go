// The queue of one service: strict priority bands by rank, round robin between the
// tenants of a band, and a time to live for every request.

package admission

import "sort"

// queuedRequest is a request that waits for capacity until it expires.
type queuedRequest struct {
	request   Request
	expiresUs int64
}

// band holds the queued requests of one rank, by tenant, and the round-robin order of the
// tenants.
type band struct {
	rank     int
	rotation []string
	tenants  map[string][]*queuedRequest
}

// queue holds the bands in ascending rank order, and the number of requests and of their
// prompt tokens. The zero value is an empty queue.
type queue struct {
	bands  []*band
	count  int
	tokens int
}

// enqueue appends a request to its tenant's list in the band of its rank.
func (q *queue) enqueue(w *queuedRequest) {
	i := sort.Search(len(q.bands), func(i int) bool { return q.bands[i].rank >= w.request.Rank })
	if i == len(q.bands) || q.bands[i].rank != w.request.Rank {
		q.bands = append(q.bands, nil)
		copy(q.bands[i+1:], q.bands[i:])
		q.bands[i] = &band{rank: w.request.Rank, tenants: map[string][]*queuedRequest{}}
	}
	b := q.bands[i]
	if len(b.tenants[w.request.Tenant]) == 0 {
		b.rotation = append(b.rotation, w.request.Tenant)
	}
	b.tenants[w.request.Tenant] = append(b.tenants[w.request.Tenant], w)
	q.count++
	q.tokens += w.request.TokensIn
}

// remove removes the i-th request of a tenant in a band.
func (q *queue) remove(b *band, tenant string, i int) *queuedRequest {
	list := b.tenants[tenant]
	w := list[i]
	b.tenants[tenant] = append(list[:i:i], list[i+1:]...)
	if len(b.tenants[tenant]) == 0 {
		delete(b.tenants, tenant)
		for j, t := range b.rotation {
			if t == tenant {
				b.rotation = append(b.rotation[:j:j], b.rotation[j+1:]...)
				break
			}
		}
	}
	q.count--
	q.tokens -= w.request.TokensIn
	return w
}

// expired removes and returns the requests whose time to live has elapsed.
func (q *queue) expired(nowUs int64) []*queuedRequest {
	var out []*queuedRequest
	for _, b := range q.bands {
		for _, tenant := range append([]string{}, b.rotation...) {
			for i := len(b.tenants[tenant]) - 1; i >= 0; i-- {
				if b.tenants[tenant][i].expiresUs <= nowUs {
					out = append(out, q.remove(b, tenant, i))
				}
			}
		}
	}
	return out
}

// shed removes and returns the newest request of the tenant with the most requests in
// the lowest-priority band after rank. It returns nil if there is none.
func (q *queue) shed(rank int) *queuedRequest {
	for i := len(q.bands) - 1; i >= 0 && q.bands[i].rank > rank; i-- {
		b := q.bands[i]
		largest, newest := "", -1
		for tenant, list := range b.tenants {
			if newest < 0 || len(list) > len(b.tenants[largest]) || len(list) == len(b.tenants[largest]) && tenant < largest {
				largest, newest = tenant, len(list)-1
			}
		}
		if newest >= 0 {
			return q.remove(b, largest, newest)
		}
	}
	return nil
}

// dequeueAccepted calls accept with the queued requests, band by band and round robin
// between the tenants of a band, and removes those for which it returns true. A tenant
// whose first request is not accepted is skipped until another one is accepted.
func (q *queue) dequeueAccepted(accept func(*queuedRequest) bool) {
	for _, b := range q.bands {
		for remaining := len(b.rotation); remaining > 0 && len(b.rotation) > 0; remaining-- {
			tenant := b.rotation[0]
			b.rotation = append(b.rotation[1:], tenant)
			if accept(b.tenants[tenant][0]) {
				q.remove(b, tenant, 0)
				remaining = len(b.rotation) + 1
			}
		}
	}
}
