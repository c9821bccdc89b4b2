// Subscriber is the receiving side of the tree: it keeps one subscription, to the
// first of the wanted parents that answers, and moves when the wanted parent changes,
// the connection ends, the parent falls silent, or the parent says that it is cut off
// from the core.

package dissemination

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// Times of a subscription.
const (
	// UpdateInterval is the longest time between two updates, be they empty.
	UpdateInterval = 250 * time.Millisecond
	// silentFor is after how long without one a parent is left.
	silentFor = 900 * time.Millisecond
	// dialWait and subscribeWait are how long a parent may take to be joined.
	dialWait      = 250 * time.Millisecond
	subscribeWait = 600 * time.Millisecond
	// shunFor is how long a parent that stopped sending is not the first choice.
	shunFor = 2 * time.Second
	// shunCut is the same for one that the core is out of reach of. It also
	// bounds how often a node moves for that: if it is so with all parents,
	// moving is of no use.
	shunCut = 6 * time.Second
	// anythingAfter is for how long a node that holds nothing looks for a parent
	// that has the core in reach. After that it takes what there is: rather an old
	// configuration than none, when the whole core is down. A machine that has
	// just started is not held to be in touch for longer than this.
	anythingAfter = 2500 * time.Millisecond
)

// Subscriber is a node's link to its parent. The functions are set before Listen.
type Subscriber struct {
	Controller   bool // this node is a controller
	SyncState    func() messages.SyncState
	Parents      func() []string
	ApplyUpdate  func(parent string, f messages.Feed, raw []byte) (want *messages.SyncState)
	Acked        func(seq int64)     // the parent has applied the report with this seq
	ResendAll    func()              // the parent needs all reports again
	Unsubscribed func(addr string)   // the subscription there has ended
	Patience     time.Duration       // instead of anythingAfter
	Counts       *SubscriptionCounts // where subscriptions are counted, or nil

	Malformed atomic.Int64

	pacer  RequestPacer
	policy ParentPolicy
	link   atomic.Pointer[transport.Conn]
	joined atomic.Pointer[transport.Conn] // the one whose feeds are taken, from before the parent knows of it
	began  time.Time                      // when Listen began
}

// nowUs is the subscriber's clock.
func (u *Subscriber) nowUs() int64 { return time.Since(u.began).Microseconds() + 1 }

// Listen subscribes until ctx ends.
func (u *Subscriber) Listen(ctx context.Context, r *transport.Transport) {
	u.began = time.Now()
	if u.Patience == 0 {
		u.Patience = anythingAfter
	}
	for ctx.Err() == nil {
		for _, p := range u.policy.Order(u.Parents(), u.nowUs()) {
			if u.subscribe(ctx, r, p) {
				break
			}
		}
		loop.Pause(ctx, 50*time.Millisecond)
	}
}

// Send pushes a message to the parent; false where there is none now.
func (u *Subscriber) Send(kind int, body msgp.Marshaler) bool {
	l := u.link.Load()
	if l == nil {
		return false
	}
	b, err := body.MarshalMsg(nil)
	return err == nil && l.Push(kind, b) == nil
}

// syncState returns what this node has, and who requests.
func (u *Subscriber) syncState() messages.SyncState {
	h := u.SyncState()
	u.complete(&h)
	return h
}

func (u *Subscriber) complete(h *messages.SyncState) {
	h.Controller = u.Controller
	h.Anything = unsynced(*h) && time.Since(u.began) > u.Patience
}

// unsynced reports whether a node has no configuration yet.
func unsynced(h messages.SyncState) bool { return !h.Controller && h.Configuration.Version == 0 }

// subscription is a connection to a parent while it lasts.
type subscription struct {
	conn         *transport.Conn
	parent       string
	lastUpdateUs atomic.Int64  // when the parent last sent an update
	cutOff       chan struct{} // the parent says that the core is out of its reach
}

// subscribe joins a parent and stays until the subscription ends. It returns false where
// the parent was not joined, or has nothing for a node that has no configuration yet.
func (u *Subscriber) subscribe(ctx context.Context, r *transport.Transport, parent string) bool {
	if parent == r.Addr() {
		return false
	}
	conn, err := dial(ctx, r, parent)
	if err != nil {
		return false
	}
	defer conn.Close()
	s := &subscription{conn: conn, parent: parent, cutOff: make(chan struct{}, 1)}
	conn.OnPush = func(kind int, body []byte) { u.receive(s, kind, body) }
	go conn.Serve(ctx)
	u.joined.Store(conn)
	if u.requestSubscription(ctx, conn) != nil {
		return false
	}
	u.link.Store(conn)
	u.Counts.begin()
	u.ResendAll()
	defer func() {
		u.link.CompareAndSwap(conn, nil)
		u.Unsubscribed(parent)
	}()
	s.lastUpdateUs.Store(u.nowUs())
	return u.follow(ctx, s)
}

func dial(ctx context.Context, r *transport.Transport, parent string) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialWait)
	defer cancel()
	return r.DialFresh(ctx, parent)
}

// requestSubscription names what this node has and waits for the response.
func (u *Subscriber) requestSubscription(ctx context.Context, conn *transport.Conn) error {
	state := u.syncState()
	ctx, cancel := context.WithTimeout(ctx, subscribeWait)
	defer cancel()
	_, err := conn.Call(ctx, transport.KindSubscribe, &state)
	return err
}

// follow waits until the subscription ends or the parent is left. It returns what
// subscribe does.
func (u *Subscriber) follow(ctx context.Context, s *subscription) bool {
	t := time.NewTicker(UpdateInterval)
	defer t.Stop()
	for {
		select {
		case <-s.conn.Done():
			return u.Counts.end(EndClosed, true)
		case <-ctx.Done():
			return u.Counts.end(EndStopped, true)
		case <-s.cutOff:
			if state := u.syncState(); unsynced(state) && !state.Anything {
				return u.Counts.end(EndCutOff, false)
			}
			if u.policy.LeaveCutOff(s.parent, u.nowUs()) {
				return u.Counts.end(EndCutOff, true)
			}
		case <-t.C:
			if reason, leaves := u.leaves(s); leaves {
				return u.Counts.end(reason, true)
			}
		}
	}
}

// leaves reports whether the parent is left that is followed now, and why.
func (u *Subscriber) leaves(s *subscription) (reason EndReason, leaves bool) {
	nowUs := u.nowUs()
	if u.policy.LeaveSilent(s.parent, u.silentUs(s), nowUs) {
		return EndSilent, true
	}
	return EndMoved, u.policy.Moves(u.Parents(), s.parent, nowUs)
}

// silentUs is for how long the parent has been silent. One whose update is on its way
// over a slow link is not.
func (u *Subscriber) silentUs(s *subscription) int64 {
	return min(u.nowUs()-s.lastUpdateUs.Load(), s.conn.SilentFor().Microseconds())
}

// receive handles a push of the parent.
func (u *Subscriber) receive(s *subscription, kind int, body []byte) {
	switch kind {
	case transport.KindFeed:
		u.receiveUpdate(s, body)
	case transport.KindLoadAck:
		var t messages.LoadReport
		if _, err := t.UnmarshalMsg(body); err == nil {
			u.Acked(t.Seq)
		}
	case transport.KindResendLoads:
		u.ResendAll()
	default:
		u.Malformed.Add(1)
	}
}

func (u *Subscriber) receiveUpdate(s *subscription, body []byte) {
	if u.joined.Load() != s.conn {
		return // of a parent that was left: its list of runners would replace the new one's
	}
	s.lastUpdateUs.Store(u.nowUs())
	var f messages.Feed
	if _, err := f.UnmarshalMsg(body); err != nil {
		u.Malformed.Add(1)
		u.requestMissing(s.conn, nil, true)
		return
	}
	missing := u.ApplyUpdate(s.parent, f, body)
	u.requestMissing(s.conn, missing, missing != nil)
	if f.CutOff && !u.Controller {
		select {
		case s.cutOff <- struct{}{}:
		default:
		}
	}
}

// requestMissing requests what this node does not have, if it is behind and the pacer
// allows it. A nil state stands for SyncState.
func (u *Subscriber) requestMissing(conn *transport.Conn, state *messages.SyncState, behind bool) {
	if !u.pacer.Due(behind, u.nowUs()) {
		return
	}
	if state == nil {
		current := u.SyncState()
		state = &current
	}
	u.complete(state)
	if b, err := state.MarshalMsg(nil); err == nil {
		_ = conn.Push(transport.KindSyncState, b)
	}
}
