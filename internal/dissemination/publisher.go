// Package dissemination distributes updates from the controllers to all routers along
// a relay tree.
//
// A Publisher is the sending side of a node, a Subscriber its link to a parent, and
// Parents the order in which a router tries its parents. ParentPolicy and RequestPacer
// are the pure decisions of a subscriber, Comparisons those of a router that asks
// other controllers beside the tree. What is in an update is for the caller to say, by
// the functions of Upstream and Subscriber; package statesync has the streams.
//
// A subscriber names what it has and gets what it needs, then every update as it
// is published. Updates of one subscription arrive in order. What waits for a subscriber is
// bounded in bytes; beyond that it is dropped, and the subscriber, which sees the gap,
// names again what it has and gets the changes since, merged. Loads travel up the
// same connection and are acknowledged by sequence number. A parent that stops sending, or
// that says it is cut off from the core, is left for the next one.
//
// A mutex in Publisher guards the set of subscribers, one in each subscriber what
// waits for it; one goroutine for each subscriber writes to its connection, and one at
// most makes up its snapshot or delta. A Subscriber runs on the goroutine of Listen; updates
// and acknowledgements (ApplyUpdate, Acked) are handled on the goroutine that serves its
// connection, so callbacks must be safe for concurrent use. Any goroutine may call
// Send.
package dissemination

import (
	"context"
	"sync"
	"sync/atomic"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// maxQueuedBytes bounds the backlog of one subscriber.
const maxQueuedBytes = 4 << 20

// Upstream is what a publisher calls for its subscribers.
type Upstream struct {
	DeltaSince   func(h messages.SyncState) messages.Feed      // what a receiver needs
	ApplyReport  func(from string, t messages.LoadReport) bool // loads of a subtree; false: all of them are to be sent again
	Unsubscribed func(from string)                             // a subscriber has ended
}

// Audience selects subscribers.
type Audience int

// Audiences of an update.
const (
	ToRouters Audience = iota
	ToControllers
)

// Publisher is the sending side of a node. It is safe for concurrent use.
type Publisher struct {
	mu        sync.Mutex
	queues    map[*transport.Conn]*subscriberQueue
	up        Upstream
	snapshots chan struct{} // bounds how many receivers are caught up at a time
	Dropped   atomic.Int64
	answers   answers
}

// subscriberQueue is what waits for one subscriber.
type subscriberQueue struct {
	mu         sync.Mutex
	queued     []byte
	wake       chan struct{}
	controller bool
	reads      transport.Compression // what the subscriber reads
	acked      int64
	requested  *messages.SyncState // what the receiver had when it last requested
	answering  bool                // an answer to it is being made
}

// maxConcurrentSnapshots bounds how many subscribers are caught up at a time.
const maxConcurrentSnapshots = 2

// NewPublisher makes a publisher and registers its handlers at the transport.
func NewPublisher(r *transport.Transport, up Upstream) *Publisher {
	p := &Publisher{queues: map[*transport.Conn]*subscriberQueue{}, up: up, snapshots: make(chan struct{}, maxConcurrentSnapshots)}
	r.OnCall(transport.KindSubscribe, func(_ context.Context, from *transport.Conn, body []byte) ([]byte, error) {
		var h messages.SyncState
		if _, err := h.UnmarshalMsg(body); err != nil {
			return nil, err
		}
		p.add(from, h)
		return nil, nil
	})
	r.OnCall(transport.KindSince, func(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
		var h messages.SyncState
		if _, err := h.UnmarshalMsg(body); err != nil {
			return nil, err
		}
		return p.deltaSince(h)
	})
	r.OnPush(transport.KindSyncState, func(from *transport.Conn, body []byte) {
		var h messages.SyncState
		if _, err := h.UnmarshalMsg(body); err != nil {
			return
		}
		if s := p.queueOf(from); s != nil {
			p.catchUp(s, h)
		}
	})
	r.OnPush(transport.KindLoadReport, func(from *transport.Conn, body []byte) {
		var t messages.LoadReport
		if _, err := t.UnmarshalMsg(body); err != nil {
			return
		}
		s := p.queueOf(from)
		if s == nil {
			return
		}
		if !p.up.ApplyReport(from.Remote(), t) {
			p.enqueue(s, transport.KindResendLoads, nil)
			return
		}
		s.mu.Lock()
		s.acked = t.Seq
		s.mu.Unlock()
	})
	return p
}

func (p *Publisher) queueOf(l *transport.Conn) *subscriberQueue {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queues[l]
}

func (p *Publisher) deltaSince(h messages.SyncState) ([]byte, error) {
	p.snapshots <- struct{}{}
	defer func() { <-p.snapshots }()
	f := p.up.DeltaSince(h)
	b, err := f.MarshalMsg(nil)
	p.answers.count(&f, len(b))
	return b, err
}

// catchUp sends a subscriber what it does not have. One answer is made at a time; of the
// requests that arrive meanwhile the last counts.
func (p *Publisher) catchUp(s *subscriberQueue, h messages.SyncState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requested = &h
	if s.answering {
		return
	}
	s.answering = true
	go func() {
		for h := s.nextRequested(); h != nil; h = s.nextRequested() {
			if b, err := p.deltaSince(*h); err == nil {
				p.enqueue(s, transport.KindFeed, b)
			}
		}
	}()
}

// nextRequested returns what is to be answered next; nil ends the answering.
func (s *subscriberQueue) nextRequested() *messages.SyncState {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.requested
	s.requested, s.answering = nil, h != nil
	return h
}

func (p *Publisher) add(l *transport.Conn, h messages.SyncState) {
	s := &subscriberQueue{wake: make(chan struct{}, 1), controller: h.Controller, reads: l.Reads()}
	p.mu.Lock()
	p.queues[l] = s
	p.mu.Unlock()
	go func() {
		defer func() {
			p.mu.Lock()
			delete(p.queues, l)
			p.mu.Unlock()
			l.Close()
			p.up.Unsubscribed(l.Remote())
		}()
		p.catchUp(s, h)
		for {
			select {
			case <-s.wake:
			case <-l.Done():
				return
			}
			s.mu.Lock()
			b := s.queued
			s.queued = nil
			s.mu.Unlock()
			if len(b) > 0 && l.SendRaw(b) != nil {
				return
			}
		}
	}()
}

func (p *Publisher) enqueue(s *subscriberQueue, kind int, body []byte) {
	if f, err := transport.EncodeFrame(messages.Frame{Kind: kind, Body: body}); err == nil {
		p.enqueueFrame(s, kind, f)
	}
}

func (p *Publisher) enqueueFrame(s *subscriberQueue, kind int, f transport.EncodedFrame) {
	b := f.BytesFor(s.reads)
	s.mu.Lock()
	if len(s.queued)+len(b) > maxQueuedBytes {
		s.queued = nil
		p.Dropped.Add(1)
	}
	if kind == transport.KindFeed && s.acked > 0 {
		t := messages.LoadReport{Seq: s.acked}
		if b, err := t.MarshalMsg(nil); err == nil {
			h := messages.Frame{Kind: transport.KindLoadAck, Body: b}
			s.queued, _ = h.MarshalMsg(s.queued)
		}
	}
	s.queued = append(s.queued, b...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// HasSubscribers reports whether anybody of an audience is subscribed.
func (p *Publisher) HasSubscribers(to Audience) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.queues {
		if s.controller == (to == ToControllers) {
			return true
		}
	}
	return false
}

// Publish sends an update to an audience.
func (p *Publisher) Publish(to Audience, f messages.Feed) {
	if !p.HasSubscribers(to) {
		return
	}
	if b, err := f.MarshalMsg(nil); err == nil {
		p.broadcast(to, b)
	}
}

// Forward sends an encoded update to an audience as it was received.
func (p *Publisher) Forward(to Audience, body []byte) {
	if p.HasSubscribers(to) {
		p.broadcast(to, body)
	}
}

// broadcast encodes an update once and queues it for all subscribers of an audience.
func (p *Publisher) broadcast(to Audience, body []byte) {
	f, err := transport.EncodeBroadcast(messages.Frame{Kind: transport.KindFeed, Body: body})
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.queues {
		if s.controller == (to == ToControllers) {
			p.enqueueFrame(s, transport.KindFeed, f)
		}
	}
}
