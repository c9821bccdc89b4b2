// Loads are streams of the load at runners, by runner. A Sum adds up the streams of
// several senders, so that a relay can send one stream for all nodes below it.

package statesync

import "beechtide.org/beechtide/internal/messages"

// Loads is a stream of them.
type Loads = Stream[string, messages.RunnerLoad]

// NewLoads makes an empty one.
func NewLoads() *Loads { return New(hashLoad) }

func hashLoad(id string, l messages.RunnerLoad) uint64 {
	h := text(fnvStart, id)
	for _, n := range [7]int{l.Blocks, l.Prefill, l.Count, l.Flow, int(l.Rate * 1e6), l.Tried, l.Failed} {
		h = Mix(h ^ uint64(n))
	}
	return h
}

// SendLoads is a change as it goes over the wire.
func SendLoads(c Change[string, messages.RunnerLoad]) messages.LoadChange {
	out := messages.LoadChange{Epoch: c.Epoch, From: c.From, To: c.To, Whole: c.Whole, Digest: c.Digest, Loads: make([]messages.RunnerLoad, 0, len(c.Puts))}
	for _, p := range c.Puts {
		l := p.Value
		if p.Gone {
			l = messages.RunnerLoad{}
		}
		l.ID = p.Key
		out.Loads = append(out.Loads, l)
	}
	return out
}

// HearLoads reads one from the wire.
func HearLoads(c messages.LoadChange) Change[string, messages.RunnerLoad] {
	out := Change[string, messages.RunnerLoad]{Epoch: c.Epoch, From: c.From, To: c.To, Whole: c.Whole, Digest: c.Digest}
	for _, l := range c.Loads {
		out.Puts = append(out.Puts, Put[string, messages.RunnerLoad]{Key: l.ID, Value: l, Gone: nothing(l)})
	}
	return out
}

func nothing(l messages.RunnerLoad) bool {
	return l.Blocks == 0 && l.Prefill == 0 && l.Count == 0 && l.Flow == 0 && l.Tried == 0 && l.Failed == 0
}

// Sum is not safe for concurrent use.
type Sum struct {
	tellers map[string]*Loads
	Total   *Loads
}

// NewSum starts with no tellers; epoch is that of the total.
func NewSum(epoch int64) *Sum {
	s := &Sum{tellers: map[string]*Loads{}, Total: NewLoads()}
	s.Total.Begin(epoch, 0)
	return s
}

// Tell takes a change of one teller's stream into the total.
func (s *Sum) Tell(teller string, c messages.LoadChange) Result {
	in := s.tellers[teller]
	if in == nil {
		in = NewLoads()
		s.tellers[teller] = in
	}
	before := map[string]messages.RunnerLoad{}
	if c.Whole {
		in.Each(func(id string, l messages.RunnerLoad) { before[id] = l })
	}
	for _, l := range c.Loads {
		before[l.ID], _ = in.Get(l.ID)
	}
	r := in.Apply(HearLoads(c))
	if r != Applied {
		return r
	}
	for id, was := range before {
		is, _ := in.Get(id)
		s.move(id, was, is)
	}
	return Applied
}

// Follow brings what one teller said up to a stream in the same process.
func (s *Sum) Follow(teller string, of *Loads) {
	epoch, version := int64(0), int64(0)
	if in := s.tellers[teller]; in != nil {
		epoch, version = in.Holds()
	}
	if c, lacks := of.Since(epoch, version); lacks {
		s.Tell(teller, SendLoads(c))
	}
}

// Drop takes a teller out of the total.
func (s *Sum) Drop(teller string) {
	in := s.tellers[teller]
	if in == nil {
		return
	}
	delete(s.tellers, teller)
	in.Each(func(id string, l messages.RunnerLoad) { s.move(id, l, messages.RunnerLoad{}) })
}

// Teller is what one teller said last.
func (s *Sum) Teller(teller string) *Loads { return s.tellers[teller] }

func (s *Sum) move(id string, was, is messages.RunnerLoad) {
	t, _ := s.Total.Get(id)
	t.ID = id
	t.Blocks += is.Blocks - was.Blocks
	t.Prefill += is.Prefill - was.Prefill
	t.Count += is.Count - was.Count
	t.Flow += is.Flow - was.Flow
	t.Tried += is.Tried - was.Tried
	t.Failed += is.Failed - was.Failed
	if is.Rate > 0 {
		t.Rate = is.Rate
	}
	if nothing(t) {
		s.Total.Drop(id)
		return
	}
	s.Total.Put(id, t)
}
