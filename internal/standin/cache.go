// The prompt parts that a runner keeps, and the events by which it tells them.

package standin

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"

	"beechtide.org/beechtide/internal/api"
)

const maxCacheEvents = 1024 // older ones are dropped

// part is a kept part of a prompt.
type part struct {
	salt, id, model string
	tokens          int
}

// cache keeps parts; the longest unused give way.
type cache struct {
	capacity int // tokens

	mu      sync.Mutex
	epoch   int64
	last    int64  // number of the newest event
	parts   []part // the longest unused first
	events  [][]any
	changed chan struct{} // closed at the next event
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, epoch: int64(rand.Uint32()), changed: make(chan struct{})}
}

// keep keeps the parts of a prompt, given as ID:TOKENS separated by commas.
func (c *cache) keep(salt, prompt, model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for field := range strings.SplitSeq(prompt, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(count)
		if found && err == nil {
			c.use(part{salt: salt, id: id, model: model, tokens: tokens})
		}
	}
	for c.tokens() > c.capacity {
		c.tell("-", c.parts[0])
		c.parts = c.parts[1:]
	}
}

// use moves a part to the end, and tells it if it is new.
func (c *cache) use(used part) {
	for i, known := range c.parts {
		if known == used {
			c.parts = append(append(c.parts[:i:i], c.parts[i+1:]...), used)
			return
		}
	}
	c.parts = append(c.parts, used)
	c.tell("+", used)
}

func (c *cache) tokens() int {
	sum := 0
	for _, kept := range c.parts {
		sum += kept.tokens
	}
	return sum
}

func (c *cache) tell(sign string, changed part) {
	c.last++
	c.events = append(c.events, []any{c.last, sign, changed.salt, changed.id, changed.tokens, changed.model})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// dropAll forgets every part, as when other weights are loaded.
func (c *cache) dropAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kept := range c.parts {
		c.tell("-", kept)
	}
	c.parts = nil
}

// eventsSince gives the events after a number; it waits for one until ctx ends.
func (c *cache) eventsSince(ctx context.Context, since int64) api.PrefixEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last <= since {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		c.mu.Lock()
	}
	first := c.last - int64(len(c.events)) // number before the oldest event kept
	result := api.PrefixEvents{Epoch: c.epoch, NextPage: c.last, Lost: since < first, Events: [][]any{}}
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
	return api.PrefixList{Epoch: c.epoch, NextPage: c.last, Held: held}
}
