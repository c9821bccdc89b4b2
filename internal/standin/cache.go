// The cached prompt prefixes of a runner, and the events that report changes of them.

package standin

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"

	"beechtide.org/beechtide/internal/api"
)

const maxCacheEvents = 1024 // the oldest events are dropped beyond this count

// promptPart is a cached part of a prompt.
type promptPart struct {
	salt, id, model string
	tokens          int
}

// cache is an LRU cache of prompt parts, bounded by their tokens.
type cache struct {
	capacity int // tokens

	mu        sync.Mutex
	epoch     int64
	lastEvent int64        // number of the newest event
	parts     []promptPart // least recently used first
	events    [][]any
	changed   chan struct{} // closed at the next event
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, epoch: int64(rand.Uint32()), changed: make(chan struct{})}
}

// insert caches the parts of a prompt, listed as ID:TOKENS separated by commas, and evicts
// the least recently used parts beyond the capacity.
func (c *cache) insert(salt, prompt, model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for field := range strings.SplitSeq(prompt, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(count)
		if found && err == nil {
			c.touch(promptPart{salt: salt, id: id, model: model, tokens: tokens})
		}
	}
	for c.tokens() > c.capacity {
		c.appendEvent("-", c.parts[0])
		c.parts = c.parts[1:]
	}
}

// touch marks a part as most recently used; a new part is added and an event records it.
func (c *cache) touch(used promptPart) {
	for i, known := range c.parts {
		if known == used {
			c.parts = append(append(c.parts[:i:i], c.parts[i+1:]...), used)
			return
		}
	}
	c.parts = append(c.parts, used)
	c.appendEvent("+", used)
}

func (c *cache) tokens() int {
	sum := 0
	for _, kept := range c.parts {
		sum += kept.tokens
	}
	return sum
}

func (c *cache) appendEvent(sign string, changed promptPart) {
	c.lastEvent++
	c.events = append(c.events, []any{c.lastEvent, sign, changed.salt, changed.id, changed.tokens, changed.model})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// dropAll evicts every part, as on loading other weights.
func (c *cache) dropAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kept := range c.parts {
		c.appendEvent("-", kept)
	}
	c.parts = nil
}

// eventsSince returns the events after the number since. If there are none yet, it waits
// for the next one until ctx ends.
func (c *cache) eventsSince(ctx context.Context, since int64) api.PrefixEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastEvent <= since {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		c.mu.Lock()
	}
	first := c.lastEvent - int64(len(c.events)) // number before the oldest stored event
	result := api.PrefixEvents{Epoch: c.epoch, NextPage: c.lastEvent, Lost: since < first, Events: [][]any{}}
	if skip := since - first; skip < int64(len(c.events)) {
		result.Events = append(result.Events, c.events[max(skip, 0):]...)
	}
	return result
}

func (c *cache) list() api.PrefixList {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := [][]any{}
	for _, kept := range c.parts {
		held = append(held, []any{kept.salt, kept.id, kept.tokens, kept.model})
	}
	return api.PrefixList{Epoch: c.epoch, NextPage: c.lastEvent, Held: held}
}
