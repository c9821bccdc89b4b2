// Package dissemination distributes updates from the controllers to all routers along
// a relay tree.
//
// A Publisher is the sending side of a node, a Subscriber its link to a parent, and
// Parents the order in which a router tries its parents. ParentPolicy and RequestPacer
// are the pure decisions of a subscriber, Comparisons those of a router that queries
// controllers other than its parent. The caller supplies and applies the content of
// updates through the callbacks of Publisher and Subscriber; package statesync implements
// the streams.
//
// A subscriber sends its SyncState and receives a snapshot or delta, then every update as
// it is published. Updates of one subscription arrive in order. The queue of a subscriber is
// bounded in bytes; on overflow it is dropped, and the subscriber, which detects the gap,
// sends its SyncState again and receives the merged changes since. Load reports travel up
// the same connection and are acknowledged by sequence number. A subscriber leaves a parent
// that stops sending, or that reports that it is cut off from the core, for the next one.
//
// A mutex in Publisher guards the set of subscribers, one in each subscriberQueue guards
// that queue; one goroutine for each subscriber writes to its connection, and at most one
// prepares its snapshot or delta. A Subscriber runs on the goroutine of Listen; updates
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

// maxQueuedBytes bounds the queue of one subscriber.
const maxQueuedBytes = 4 << 20

// PublisherCallbacks holds the functions that a publisher calls on behalf of its subscribers.
type PublisherCallbacks struct {
	DeltaSince   func(h messages.SyncState) messages.Feed      // the update that a receiver with this state lacks
	ApplyReport  func(from string, t messages.LoadReport) bool // applies loads of a subtree; false requests all of them again
	Unsubscribed func(from string)                             // the subscription of a node has ended
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
	mu            sync.Mutex
	queues        map[*transport.Conn]*subscriberQueue
	callbacks     PublisherCallbacks
	snapshotSlots chan struct{} // semaphore for the snapshots and deltas being prepared
	DroppedQueues atomic.Int64
	answerCounts  answerCounts
}

// subscriberQueue holds the frames queued for one subscriber and its pending request.
type subscriberQueue struct {
	mu             sync.Mutex
	queued         []byte
	wake           chan struct{}
	controller     bool
	compression    transport.Compression // compression that the subscriber can decode
	ackedSeq       int64
	pendingRequest *messages.SyncState // state sent with the latest request not yet answered
	answering      bool                // an answer is being prepared
}

// maxConcurrentSnapshots bounds how many snapshots or deltas are prepared at a time.
const maxConcurrentSnapshots = 2

// NewPublisher makes a publisher and registers its handlers at the transport.
func NewPublisher(node *transport.Transport, callbacks PublisherCallbacks) *Publisher {
	p := &Publisher{queues: map[*transport.Conn]*subscriberQueue{}, callbacks: callbacks, snapshotSlots: make(chan struct{}, maxConcurrentSnapshots)}
	node.OnCall(transport.KindSubscribe, func(_ context.Context, from *transport.Conn, body []byte) ([]byte, error) {
		var state messages.SyncState
		if _, err := state.UnmarshalMsg(body); err != nil {
			return nil, err
		}
		p.add(from, state)
		return nil, nil
	})
	node.OnCall(transport.KindSince, func(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
		var state messages.SyncState
		if _, err := state.UnmarshalMsg(body); err != nil {
			return nil, err
		}
		return p.deltaSince(state)
	})
	node.OnPush(transport.KindSyncState, func(from *transport.Conn, body []byte) {
		var state messages.SyncState
		if _, err := state.UnmarshalMsg(body); err != nil {
			return
		}
		if s := p.queueOf(from); s != nil {
			p.catchUp(s, state)
		}
	})
	node.OnPush(transport.KindLoadReport, func(from *transport.Conn, body []byte) {
		var report messages.LoadReport
		if _, err := report.UnmarshalMsg(body); err != nil {
			return
		}
		s := p.queueOf(from)
		if s == nil {
			return
		}
		if !p.callbacks.ApplyReport(from.RemoteAddr(), report) {
			p.enqueue(s, transport.KindResendLoads, nil)
			return
		}
		s.mu.Lock()
		s.ackedSeq = report.Seq
		s.mu.Unlock()
	})
	return p
}

func (p *Publisher) queueOf(conn *transport.Conn) *subscriberQueue {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queues[conn]
}

func (p *Publisher) deltaSince(state messages.SyncState) ([]byte, error) {
	p.snapshotSlots <- struct{}{}
	defer func() { <-p.snapshotSlots }()
	update := p.callbacks.DeltaSince(state)
	b, err := update.MarshalMsg(nil)
	p.answerCounts.count(&update, len(b))
	return b, err
}

// catchUp sends a subscriber the state it lacks. One answer is prepared at a time; of the
// requests that arrive meanwhile only the last is answered.
func (p *Publisher) catchUp(s *subscriberQueue, state messages.SyncState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingRequest = &state
	if s.answering {
		return
	}
	s.answering = true
	go func() {
		for state := s.dequeueRequest(); state != nil; state = s.dequeueRequest() {
			if b, err := p.deltaSince(*state); err == nil {
				p.enqueue(s, transport.KindFeed, b)
			}
		}
	}()
}

// dequeueRequest removes and returns the request to answer next; nil if there is none, which
// also clears answering.
func (s *subscriberQueue) dequeueRequest() *messages.SyncState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.pendingRequest
	s.pendingRequest, s.answering = nil, state != nil
	return state
}

func (p *Publisher) add(conn *transport.Conn, state messages.SyncState) {
	s := &subscriberQueue{wake: make(chan struct{}, 1), controller: state.Controller, compression: conn.PeerCompression()}
	p.mu.Lock()
	p.queues[conn] = s
	p.mu.Unlock()
	go func() {
		defer func() {
			p.mu.Lock()
			delete(p.queues, conn)
			p.mu.Unlock()
			conn.Close()
			p.callbacks.Unsubscribed(conn.RemoteAddr())
		}()
		p.catchUp(s, state)
		for {
			select {
			case <-s.wake:
			case <-conn.Done():
				return
			}
			s.mu.Lock()
			b := s.queued
			s.queued = nil
			s.mu.Unlock()
			if len(b) > 0 && conn.SendRaw(b) != nil {
				return
			}
		}
	}()
}

func (p *Publisher) enqueue(s *subscriberQueue, kind int, body []byte) {
	if frame, err := transport.EncodeFrame(messages.Frame{Kind: kind, Body: body}); err == nil {
		p.enqueueFrame(s, kind, frame)
	}
}

func (p *Publisher) enqueueFrame(s *subscriberQueue, kind int, frame transport.EncodedFrame) {
	b := frame.BytesFor(s.compression)
	s.mu.Lock()
	if len(s.queued)+len(b) > maxQueuedBytes {
		s.queued = nil
		p.DroppedQueues.Add(1)
	}
	if kind == transport.KindFeed && s.ackedSeq > 0 {
		ack := messages.LoadReport{Seq: s.ackedSeq}
		if b, err := ack.MarshalMsg(nil); err == nil {
			ackFrame := messages.Frame{Kind: transport.KindLoadAck, Body: b}
			s.queued, _ = ackFrame.MarshalMsg(s.queued)
		}
	}
	s.queued = append(s.queued, b...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// HasSubscribers reports whether the audience has any subscriber.
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
func (p *Publisher) Publish(to Audience, update messages.Feed) {
	if !p.HasSubscribers(to) {
		return
	}
	if b, err := update.MarshalMsg(nil); err == nil {
		p.broadcast(to, b)
	}
}

// Forward sends an already encoded update to an audience unchanged.
func (p *Publisher) Forward(to Audience, body []byte) {
	if p.HasSubscribers(to) {
		p.broadcast(to, body)
	}
}

// broadcast encodes an update once and queues it for all subscribers of an audience.
func (p *Publisher) broadcast(to Audience, body []byte) {
	frame, err := transport.EncodeBroadcast(messages.Frame{Kind: transport.KindFeed, Body: body})
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.queues {
		if s.controller == (to == ToControllers) {
			p.enqueueFrame(s, transport.KindFeed, frame)
		}
	}
}
