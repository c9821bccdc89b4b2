// Package dissemination distributes updates from the controllers to all routers along
// a relay tree.
//
// A Publisher is the sending side of a node, a Subscriber its link to a parent, and
// Parents the order in which a router tries its parents. ParentPolicy and RequestPacer
// are the pure decisions of a subscriber, Comparisons those of a router that asks
// other controllers beside the tree. What is in a feed is for the caller to say, by
// the functions of Upstream and Subscriber; package statesync has the streams.
//
// A subscriber names what it holds and gets what it lacks, then every feed as it is
// published. Feeds of one subscription arrive in order. What waits for a subscriber is
// bounded in bytes; beyond that it is dropped, and the subscriber, which sees the gap,
// names again what it holds and gets the changes since, merged. Loads travel up the
// same connection and are acknowledged by sequence number. A parent that is silent, or
// that says it is cut off from the core, is left for the next one.
//
// A mutex in Publisher guards the set of subscribers, one in each subscriber what
// waits for it; one goroutine for each subscriber writes to its connection, and one at
// most makes up what it lacks. A Subscriber runs on the goroutine of Listen; feeds and
// acknowledgements (Take, Heard) are handled on the goroutine that serves its
// connection, so callbacks must be safe for concurrent use. Any goroutine may call
// Tell.
package dissemination

import (
	"context"
	"sync"
	"sync/atomic"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// mostWaiting bounds the bytes that wait for one subscriber.
const mostWaiting = 4 << 20

// Upstream is what a relay does with what comes from below.
type Upstream struct {
	DeltaSince   func(h messages.Hold) messages.Feed     // what a receiver lacks
	ApplyReport  func(from string, t messages.Told) bool // loads from below; false: they do not fit what came before
	Unsubscribed func(from string)                       // a subscriber has ended
}

// Audience picks subscribers.
type Audience int

// Audiences of a feed.
const (
	ToRouters Audience = iota
	ToControllers
)

// Publisher is one node's place in the tree.
type Publisher struct {
	mu      sync.Mutex
	subs    map[*transport.Conn]*sub
	up      Upstream
	wholes  chan struct{} // bounds how many receivers are brought up at a time
	Dropped atomic.Int64
}

type sub struct {
	mu         sync.Mutex
	waiting    []byte
	kick       chan struct{}
	controller bool
	heard      int64
	wanted     *messages.Hold // what the receiver held when it last asked
	bringing   bool           // an answer to it is being made
}

// atOnce bounds how many subscribers are brought up to date at one time.
const atOnce = 2

// NewPublisher hangs the subscription into the transport.
func NewPublisher(r *transport.Transport, up Upstream) *Publisher {
	y := &Publisher{subs: map[*transport.Conn]*sub{}, up: up, wholes: make(chan struct{}, atOnce)}
	r.OnCall(transport.KindSubscribe, func(_ context.Context, from *transport.Conn, body []byte) ([]byte, error) {
		var h messages.Hold
		if _, err := h.UnmarshalMsg(body); err != nil {
			return nil, err
		}
		y.add(from, h)
		return nil, nil
	})
	r.OnCall(transport.KindSince, func(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
		var h messages.Hold
		if _, err := h.UnmarshalMsg(body); err != nil {
			return nil, err
		}
		return y.since(h)
	})
	r.OnPush(transport.KindWant, func(from *transport.Conn, body []byte) {
		var h messages.Hold
		if _, err := h.UnmarshalMsg(body); err != nil {
			return
		}
		if s := y.sub(from); s != nil {
			y.bring(s, h)
		}
	})
	r.OnPush(transport.KindTold, func(from *transport.Conn, body []byte) {
		var t messages.Told
		if _, err := t.UnmarshalMsg(body); err != nil {
			return
		}
		s := y.sub(from)
		if s == nil {
			return
		}
		if !y.up.ApplyReport(from.Remote(), t) {
			y.put(s, transport.KindTellAgain, nil)
			return
		}
		s.mu.Lock()
		s.heard = t.Seq
		s.mu.Unlock()
	})
	return y
}

func (y *Publisher) sub(l *transport.Conn) *sub {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.subs[l]
}

func (y *Publisher) since(h messages.Hold) ([]byte, error) {
	y.wholes <- struct{}{}
	defer func() { <-y.wholes }()
	f := y.up.DeltaSince(h)
	return f.MarshalMsg(nil)
}

// bring sends a receiver what it lacks. One answer for it is made at a time; of what
// it asks meanwhile the last counts.
func (y *Publisher) bring(s *sub, h messages.Hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted = &h
	if s.bringing {
		return
	}
	s.bringing = true
	go func() {
		for h := s.nextWanted(); h != nil; h = s.nextWanted() {
			if b, err := y.since(*h); err == nil {
				y.put(s, transport.KindFeed, b)
			}
		}
	}()
}

// nextWanted gives what is to be answered next; nil ends the answering.
func (s *sub) nextWanted() *messages.Hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.wanted
	s.wanted, s.bringing = nil, h != nil
	return h
}

func (y *Publisher) add(l *transport.Conn, h messages.Hold) {
	s := &sub{kick: make(chan struct{}, 1), controller: h.Controller}
	y.mu.Lock()
	y.subs[l] = s
	y.mu.Unlock()
	go func() {
		defer func() {
			y.mu.Lock()
			delete(y.subs, l)
			y.mu.Unlock()
			l.Close()
			y.up.Unsubscribed(l.Remote())
		}()
		y.bring(s, h)
		for {
			select {
			case <-s.kick:
			case <-l.Done():
				return
			}
			s.mu.Lock()
			b := s.waiting
			s.waiting = nil
			s.mu.Unlock()
			if len(b) > 0 && l.SendRaw(b) != nil {
				return
			}
		}
	}()
}

func (y *Publisher) put(s *sub, kind int, body []byte) {
	f := messages.Frame{Kind: kind, Body: body}
	s.mu.Lock()
	if len(s.waiting)+len(body) > mostWaiting {
		s.waiting = nil
		y.Dropped.Add(1)
	}
	if kind == transport.KindFeed && s.heard > 0 {
		t := messages.Told{Seq: s.heard}
		if b, err := t.MarshalMsg(nil); err == nil {
			h := messages.Frame{Kind: transport.KindHeard, Body: b}
			s.waiting, _ = h.MarshalMsg(s.waiting)
		}
	}
	s.waiting, _ = f.MarshalMsg(s.waiting)
	s.mu.Unlock()
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// HasSubscribers tells whether anybody of an audience listens.
func (y *Publisher) HasSubscribers(to Audience) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, s := range y.subs {
		if s.controller == (to == ToControllers) {
			return true
		}
	}
	return false
}

// Publish sends a feed to an audience.
func (y *Publisher) Publish(to Audience, f messages.Feed) {
	if !y.HasSubscribers(to) {
		return
	}
	if b, err := f.MarshalMsg(nil); err == nil {
		y.Forward(to, b)
	}
}

// Forward sends a feed on as it came.
func (y *Publisher) Forward(to Audience, body []byte) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, s := range y.subs {
		if s.controller == (to == ToControllers) {
			y.put(s, transport.KindFeed, body)
		}
	}
}
