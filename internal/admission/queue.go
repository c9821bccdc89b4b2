// The queue of one service: strict bands by rank, round robin between the tenants of a
// band, and a time to live for every request.

package admission

import "sort"

type queuedRequest struct {
	request   Request
	expiresUs int64
}

type band struct {
	rank     int
	rotation []string
	tenants  map[string][]*queuedRequest
}

type queue struct {
	bands  []*band
	count  int
	tokens int
}

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

// expired removes and returns the requests whose time to live is over.
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

// shed removes and returns the newest request of the lowest band below rank, of the
// tenant with most requests there; nil if there is none.
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

// dequeueAccepted offers the requests in their order, band by band and round robin between the
// tenants of a band; those that take accepts leave the queue. A tenant whose first
// request is not accepted is skipped.
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
