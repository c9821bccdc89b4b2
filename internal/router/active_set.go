package router

import "sync"

// activeSet is a set of operations in progress. It is safe for concurrent use; the zero value is
// empty.
type activeSet[T comparable] struct {
	mu    sync.Mutex
	items map[T]struct{}
}

func (u *activeSet[T]) begin(item T) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.items == nil {
		u.items = map[T]struct{}{}
	}
	u.items[item] = struct{}{}
}

func (u *activeSet[T]) end(item T) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.items, item)
}

func (u *activeSet[T]) snapshot() []T {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]T, 0, len(u.items))
	for item := range u.items {
		out = append(out, item)
	}
	return out
}
