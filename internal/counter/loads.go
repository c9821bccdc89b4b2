// Loads: what this node and those below it have at the runners goes up the tree
// as changes; the sum over all nodes comes down. The parent says which of the
// words told to it the sum holds, so that a node can take its own out exactly.
package counter

import (
	"context"
	"maps"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/bulletin"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/radio"
	"beechtide.org/beechtide/internal/wire"
)

// tellEvery is how often loads go up at most, and tellRest how often at least
// where nothing presses.
const (
	tellEvery = 2 * time.Millisecond
	tellRest  = 50 * time.Millisecond
)

// mostTold bounds the words that are remembered until the parent has heard one.
const mostTold = 32

// itself is the teller's name for the node's own loads.
const itself = "itself"

type toldWord struct {
	seq int64
	own map[string]wire.RunnerLoad
}

type loads struct {
	mu     sync.Mutex
	own    *bulletin.Loads
	below  *bulletin.Sum // this node's and those below it
	total  *bulletin.Loads
	coming []wire.KeptNote
	seq    int64
	whole  bool
	told   []toldWord
	heard  map[string]wire.RunnerLoad // of this node's own, what the total holds
}

func (l *loads) init(epoch int64) {
	l.own, l.total = bulletin.NewLoads(), bulletin.NewLoads()
	l.own.Begin(epoch, 0)
	l.below = bulletin.NewSum(epoch)
	l.whole = true
}

func (l *loads) hold() wire.StreamHold {
	l.mu.Lock()
	defer l.mu.Unlock()
	return wire.StreamHold{Epoch: l.total.Epoch, Version: l.total.Version}
}

func (l *loads) since(h wire.StreamHold) (wire.LoadChange, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, lacks := l.total.Since(h.Epoch, h.Version)
	return bulletin.SendLoads(c), lacks
}

func (l *loads) take(c wire.LoadChange) bulletin.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total.Apply(bulletin.HearLoads(c))
}

// heardUp notes that the total holds what was told under seq.
func (l *loads) heardUp(seq int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.told) > 0 && l.told[0].seq <= seq {
		l.heard = l.told[0].own
		l.told = l.told[1:]
	}
}

// others gives what the other nodes have, as far as is known. It holds for as
// long as nothing else is taken.
func (l *loads) others() func(id string) wire.RunnerLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]wire.RunnerLoad, l.total.Len())
	l.total.Each(func(id string, t wire.RunnerLoad) {
		mine := l.heard[id]
		t.Blocks -= mine.Blocks
		t.Prefill -= mine.Prefill
		t.Count -= mine.Count
		t.Flow -= mine.Flow
		t.Tried -= mine.Tried
		t.Failed -= mine.Failed
		out[id] = t
	})
	return func(id string) wire.RunnerLoad { return out[id] }
}

// next makes the word that is to go up; false where there is nothing to say.
func (l *loads) next(own map[string]wire.RunnerLoad, coming []wire.KeptNote) (wire.Told, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own.Replace(own)
	if l.own.Dirty() {
		l.own.Commit(l.own.Version + 1)
		l.below.Follow(itself, l.own)
	}
	total := l.below.Total
	w := wire.Told{Coming: append(l.coming, coming...)}
	if !l.whole && !total.Dirty() && len(w.Coming) == 0 {
		return w, false
	}
	l.coming = nil
	l.seq++
	w.Seq = l.seq
	ch := total.Commit(total.Version + 1)
	if l.whole {
		ch, _ = total.Since(0, 0)
	}
	w.Loads = append(w.Loads, bulletin.SendLoads(ch))
	l.whole = false
	if len(l.told) >= mostTold {
		l.told = l.told[1:]
	}
	l.told = append(l.told, toldWord{l.seq, maps.Clone(own)})
	return w, true
}

// tellAgain makes the next word a whole one, for a parent that lacks the ones
// before.
func (c *Counter) tellAgain() {
	c.loads.mu.Lock()
	c.loads.whole, c.loads.told, c.loads.heard = true, nil, nil
	c.loads.mu.Unlock()
}

// toldBelow takes the word of a node below.
func (c *Counter) toldBelow(from string, t wire.Told) bool {
	l := &c.loads
	l.mu.Lock()
	ok := true
	for _, ch := range t.Loads {
		r := l.below.Tell(from, ch)
		ok = ok && (r == bulletin.Applied || r == bulletin.Known)
	}
	l.coming = append(l.coming, t.Coming...)
	l.mu.Unlock()
	if len(t.Coming) > 0 {
		c.dmu.Lock()
		c.door.Coming(t.Coming)
		c.dmu.Unlock()
		poke(c.fresh)
	}
	return ok
}

func (c *Counter) goneBelow(from string) {
	c.loads.mu.Lock()
	c.loads.below.Drop(from)
	c.loads.mu.Unlock()
}

// restTicks is after how many ticks without a change loads are looked at all the
// same: the flow of prompts sinks by itself, and nodes come and go.
const restTicks = 10

// pressed tells whether the parent waits for a whole, or nodes below have told
// something.
func (l *loads) pressed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.whole || len(l.coming) > 0 || l.below.Total.Dirty()
}

func (c *Counter) tellOnce() {
	if n := len(c.watch.Alive(wire.Counter)); n > 0 {
		c.nodes.Store(int64(n))
	}
	c.dmu.Lock()
	c.door.SetNodes(int(c.nodes.Load()))
	own, coming := c.door.Own(c.clock()), c.door.TakeFresh()
	c.dmu.Unlock()
	if w, some := c.loads.next(own, coming); some && !c.up.Tell(radio.KindTold, &w) {
		c.tellAgain()
	}
}

// tellLoads tells them up the tree, sooner when a runner has been sent shared
// parts to read.
func (c *Counter) tellLoads(ctx context.Context) {
	t := time.NewTicker(tellRest)
	defer t.Stop()
	for idle := restTicks; ; {
		idle++
		c.dmu.Lock()
		stirred := c.door.Stirred()
		c.dmu.Unlock()
		if stirred || idle >= restTicks || c.loads.pressed() {
			idle = 0
			c.tellOnce()
		}
		select {
		case <-t.C:
		case <-c.fresh:
		case <-ctx.Done():
			return
		}
		loop.Pause(ctx, tellEvery)
	}
}
