package router

import "sync"

// underWay is a set of what goes on at the moment. It is safe for concurrent use; the zero set is
// empty.
type underWay[T comparable] struct {
	mu   sync.Mutex
	list map[T]struct{}
}

func (u *underWay[T]) begin(item T) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.list == nil {
		u.list = map[T]struct{}{}
	}
	u.list[item] = struct{}{}
}

func (u *underWay[T]) end(item T) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.list, item)
}

func (u *underWay[T]) snapshot() []T {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]T, 0, len(u.list))
	for item := range u.list {
		out = append(out, item)
	}
	return out
}
