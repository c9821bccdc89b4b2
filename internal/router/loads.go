// Loads: what this node and those below it have in flight at the runners goes up the
// tree as deltas; the sum over all nodes comes down. The parent acknowledges which of
// the load reports the sum holds, so that a node can subtract its own exactly.

package router

import (
	"context"
	"maps"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
	"beechtide.org/beechtide/internal/transport"
)

// tellEvery is the least time between two words, tellSoon how long a change that
// does not press may wait, and tellRest how often loads are looked at without
// one: the flow of prompts sinks by itself, and nodes come and go.
const (
	tellEvery = 2 * time.Millisecond
	tellSoon  = 50 * time.Millisecond
	tellRest  = 500 * time.Millisecond
)

// mostTold bounds the words that are remembered until the parent has heard one.
const mostTold = 32

// itself is the teller's name for the node's own loads.
const itself = "itself"

type toldWord struct {
	seq int64
	own map[string]messages.RunnerLoad
}

type loads struct {
	mu     sync.Mutex
	own    *statesync.Loads
	below  *statesync.Sum // this node's and those below it
	total  *statesync.Loads
	coming []messages.KeptNote
	absent []string // runners that were not at their address
	seq    int64
	whole  bool
	told   []toldWord
	heard  map[string]messages.RunnerLoad // of this node's own, what the total holds

	touched map[string]bool // runners of which the others' part has changed
	all     bool            // it may have of any
}

func (l *loads) init(epoch int64) {
	l.own, l.total = statesync.NewLoads(), statesync.NewLoads()
	l.own.Begin(epoch, 0)
	l.below = statesync.NewSum(epoch)
	l.whole, l.all, l.touched = true, true, map[string]bool{}
}

func (l *loads) hold() messages.StreamHold {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, version := l.total.Cursor()
	return messages.StreamHold{Epoch: epoch, Version: version}
}

func (l *loads) since(h messages.StreamHold) (messages.LoadChange, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, lacks := l.total.DeltaSince(h.Epoch, h.Version)
	return statesync.EncodeLoads(c), lacks
}

func (l *loads) take(c messages.LoadChange) statesync.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.total.Apply(statesync.DecodeLoads(c))
	if r == statesync.Applied {
		l.all = l.all || c.Snapshot
		for i := range c.Loads {
			l.touched[c.Loads[i].ID] = true
		}
	}
	return r
}

// heardUp notes that the total holds what was told under seq.
func (l *loads) heardUp(seq int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.told) > 0 && l.told[0].seq <= seq {
		l.touch(l.heard)
		l.heard = l.told[0].own
		l.touch(l.heard)
		l.told = l.told[1:]
	}
}

func (l *loads) touch(of map[string]messages.RunnerLoad) {
	for id := range of {
		l.touched[id] = true
	}
}

// others is what the other nodes have at a runner.
func (l *loads) others(id string) messages.RunnerLoad {
	t, _ := l.total.Get(id)
	mine := l.heard[id]
	t.Blocks -= mine.Blocks
	t.Prefill -= mine.Prefill
	t.Count -= mine.Count
	t.Flow -= mine.Flow
	t.Tried -= mine.Tried
	t.Failed -= mine.Failed
	return t
}

// tell brings the admission control to what the other nodes have.
func (l *loads) tell(d *admission.Admitter, nowUs int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all {
		d.Others(l.others, nowUs)
	} else {
		for id := range l.touched {
			d.Other(id, l.others(id))
		}
		d.Told(nowUs)
	}
	l.all = false
	clear(l.touched)
}

// anew makes the next telling one of all runners.
func (l *loads) anew() {
	l.mu.Lock()
	l.all = true
	l.mu.Unlock()
}

// next makes the word that is to go up; false where there is nothing to say.
func (l *loads) next(own map[string]messages.RunnerLoad, coming []messages.KeptNote, absent []string) (messages.Told, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own.Replace(own)
	if l.own.Dirty() {
		l.own.Commit(l.own.Version + 1)
		l.below.Follow(itself, l.own)
	}
	total := l.below.Total
	w := messages.Told{Coming: append(l.coming, coming...), Absent: append(l.absent, absent...)}
	if !l.whole && !total.Dirty() && len(w.Coming)+len(w.Absent) == 0 {
		return w, false
	}
	l.coming, l.absent = nil, nil
	l.seq++
	w.Seq = l.seq
	ch := total.Commit(total.Version + 1)
	if l.whole {
		ch, _ = total.DeltaSince(0, 0)
	}
	w.Loads = append(w.Loads, statesync.EncodeLoads(ch))
	l.whole = false
	if len(l.told) >= mostTold {
		l.told = l.told[1:]
	}
	l.told = append(l.told, toldWord{l.seq, maps.Clone(own)})
	return w, true
}

// tellAgain makes the next word a whole one, for a parent that lacks the ones
// before.
func (c *Router) tellAgain() {
	c.loads.mu.Lock()
	c.loads.whole, c.loads.told, c.loads.heard, c.loads.all = true, nil, nil, true
	c.loads.mu.Unlock()
	poke(c.stir)
}

// toldBelow takes the word of a node below.
func (c *Router) toldBelow(from string, t messages.Told) bool {
	l := &c.loads
	l.mu.Lock()
	ok := true
	for _, ch := range t.Loads {
		r := l.below.Apply(from, ch)
		ok = ok && (r == statesync.Applied || r == statesync.Known)
	}
	l.coming, l.absent = append(l.coming, t.Coming...), append(l.absent, t.Absent...)
	l.mu.Unlock()
	if len(t.Coming) > 0 {
		c.dmu.Lock()
		c.admission.Coming(t.Coming)
		c.dmu.Unlock()
		poke(c.fresh)
	}
	poke(c.stir)
	return ok
}

func (c *Router) goneBelow(from string) {
	c.loads.mu.Lock()
	c.loads.below.Remove(from)
	c.loads.mu.Unlock()
}

func (c *Router) tellOnce() {
	if n := len(c.monitor.Alive(messages.Router)); n > 0 {
		c.nodes.Store(int64(n))
	}
	c.dmu.Lock()
	c.admission.SetNodes(int(c.nodes.Load()))
	own, coming, absent := c.admission.Own(c.clock()), c.admission.TakeFresh(), c.admission.TakeAbsent()
	c.dmu.Unlock()
	if w, some := c.loads.next(own, coming, absent); some && !c.up.Send(transport.KindTold, &w) {
		c.tellAgain()
	}
}

// tellLoads tells them up the tree: at once when a runner has been sent shared
// parts to read, a little later when anything else has stirred.
func (c *Router) tellLoads(ctx context.Context) {
	t := time.NewTicker(tellRest)
	defer t.Stop()
	for {
		c.tellOnce()
		select {
		case <-c.fresh:
		case <-t.C:
		case <-c.stir:
			select {
			case <-c.fresh:
			case <-time.After(tellSoon):
			case <-ctx.Done():
				return
			}
		case <-ctx.Done():
			return
		}
		loop.Pause(ctx, tellEvery)
	}
}
