// The receiving side of the tree: a Subscriber maintains one subscription, to the first of
// its preferred parents that answers, and moves to another parent when the preference
// changes, the connection ends, the parent falls silent, or the parent reports that it is
// cut off from the core.

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
	// UpdateInterval is the longest time between two updates; they are sent even if empty.
	UpdateInterval = 250 * time.Millisecond
	// silenceTimeout is the time without an update after which a parent is left.
	silenceTimeout = 900 * time.Millisecond
	// dialTimeout and subscribeTimeout bound connecting to a parent and subscribing to it.
	dialTimeout      = 250 * time.Millisecond
	subscribeTimeout = 600 * time.Millisecond
	// avoidSilentFor is how long a parent that stopped sending is not tried first.
	avoidSilentFor = 2 * time.Second
	// avoidCutOffFor is the same for a parent that cannot reach the core. It is also the
	// least time between two moves for that reason: if no parent can reach the
	// core, moving does not help.
	avoidCutOffFor = 6 * time.Second
	// unsyncedWait is how long a node without a configuration looks for a parent
	// that can reach the core. After that it accepts the state of any parent: when
	// the whole core is down, an old configuration is better than none. A machine
	// that has just started counts as connected for no longer than this.
	unsyncedWait = 2500 * time.Millisecond
)

// Subscriber maintains a node's subscription to a parent. Its functions and options must be
// set before Listen.
type Subscriber struct {
	Controller   bool // this node is a controller
	SyncState    func() messages.SyncState
	Parents      func() []string
	ApplyUpdate  func(parent string, f messages.Feed, raw []byte) (want *messages.SyncState)
	Acked        func(seq int64)     // the parent has applied the report with this seq
	ResendAll    func()              // the parent needs all reports again
	Unsubscribed func(addr string)   // the subscription to the parent at addr has ended
	UnsyncedWait time.Duration       // replaces unsyncedWait if not 0
	Counts       *SubscriptionCounts // counters of subscriptions, or nil

	Malformed atomic.Int64

	pacer          RequestPacer
	policy         ParentPolicy
	subscribedConn atomic.Pointer[transport.Conn]
	updatesConn    atomic.Pointer[transport.Conn] // connection whose updates are applied; set before the subscribe request is sent
	startTime      time.Time                      // when Listen was called
}

// nowUs returns the microseconds since Listen was called, starting at 1.
func (u *Subscriber) nowUs() int64 { return time.Since(u.startTime).Microseconds() + 1 }

// Listen subscribes to the first parent that accepts, again after each subscription ends, until
// ctx ends.
func (u *Subscriber) Listen(ctx context.Context, node *transport.Transport) {
	u.startTime = time.Now()
	if u.UnsyncedWait == 0 {
		u.UnsyncedWait = unsyncedWait
	}
	for ctx.Err() == nil {
		for _, parent := range u.policy.Order(u.Parents(), u.nowUs()) {
			if u.subscribe(ctx, node, parent) {
				break
			}
		}
		loop.Pause(ctx, 50*time.Millisecond)
	}
}

// Send pushes a message to the parent. It returns false if there is no subscription now or
// sending fails.
func (u *Subscriber) Send(kind int, body msgp.Marshaler) bool {
	conn := u.subscribedConn.Load()
	if conn == nil {
		return false
	}
	b, err := body.MarshalMsg(nil)
	return err == nil && conn.Push(kind, b) == nil
}

// syncState returns this node's sync state with the requester's fields set.
func (u *Subscriber) syncState() messages.SyncState {
	state := u.SyncState()
	u.setRequesterFields(&state)
	return state
}

func (u *Subscriber) setRequesterFields(state *messages.SyncState) {
	state.Controller = u.Controller
	state.Anything = unsynced(*state) && time.Since(u.startTime) > u.UnsyncedWait
}

// unsynced reports whether a router has no configuration yet.
func unsynced(state messages.SyncState) bool {
	return !state.Controller && state.Configuration.Version == 0
}

// subscription is the state of one subscription to a parent.
type subscription struct {
	conn         *transport.Conn
	parent       string
	lastUpdateUs atomic.Int64  // when the parent last sent an update
	cutOff       chan struct{} // receives when the parent reports that it cannot reach the core
}

// subscribe subscribes to a parent and returns when the subscription ends. It returns false
// if the subscription was not established, or if the parent is cut off and this node has no
// configuration yet; the caller then tries the next parent.
func (u *Subscriber) subscribe(ctx context.Context, node *transport.Transport, parent string) bool {
	if parent == node.Addr() {
		return false
	}
	conn, err := dial(ctx, node, parent)
	if err != nil {
		return false
	}
	defer conn.Close()
	s := &subscription{conn: conn, parent: parent, cutOff: make(chan struct{}, 1)}
	conn.OnPush = func(kind int, body []byte) { u.receive(s, kind, body) }
	go conn.Serve(ctx)
	u.updatesConn.Store(conn)
	if u.requestSubscription(ctx, conn) != nil {
		return false
	}
	u.subscribedConn.Store(conn)
	u.Counts.begin()
	u.ResendAll()
	defer func() {
		u.subscribedConn.CompareAndSwap(conn, nil)
		u.Unsubscribed(parent)
	}()
	s.lastUpdateUs.Store(u.nowUs())
	return u.follow(ctx, s)
}

func dial(ctx context.Context, node *transport.Transport, parent string) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return node.DialUnshared(ctx, parent)
}

// requestSubscription sends this node's sync state and waits for the response.
func (u *Subscriber) requestSubscription(ctx context.Context, conn *transport.Conn) error {
	state := u.syncState()
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	_, err := conn.Call(ctx, transport.KindSubscribe, &state)
	return err
}

// follow waits until the subscription ends or this node leaves the parent. It returns the
// result of subscribe.
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
			if reason, leave := u.shouldLeave(s); leave {
				return u.Counts.end(reason, true)
			}
		}
	}
}

// shouldLeave reports whether to leave the current parent, and why.
func (u *Subscriber) shouldLeave(s *subscription) (reason EndReason, leave bool) {
	nowUs := u.nowUs()
	if u.policy.LeaveSilent(s.parent, u.silenceUs(s), nowUs) {
		return EndSilent, true
	}
	return EndMoved, u.policy.ShouldMove(u.Parents(), s.parent, nowUs)
}

// silenceUs returns for how long the parent has been silent. A parent whose update is still
// arriving over a slow link is not silent.
func (u *Subscriber) silenceUs(s *subscription) int64 {
	return min(u.nowUs()-s.lastUpdateUs.Load(), s.conn.SilentFor().Microseconds())
}

// receive handles a push from the parent.
func (u *Subscriber) receive(s *subscription, kind int, body []byte) {
	switch kind {
	case transport.KindFeed:
		u.receiveUpdate(s, body)
	case transport.KindLoadAck:
		var ack messages.LoadReport
		if _, err := ack.UnmarshalMsg(body); err == nil {
			u.Acked(ack.Seq)
		}
	case transport.KindResendLoads:
		u.ResendAll()
	default:
		u.Malformed.Add(1)
	}
}

func (u *Subscriber) receiveUpdate(s *subscription, body []byte) {
	if u.updatesConn.Load() != s.conn {
		return // from a former parent: its list of runners would replace the current parent's
	}
	s.lastUpdateUs.Store(u.nowUs())
	var update messages.Feed
	if _, err := update.UnmarshalMsg(body); err != nil {
		u.Malformed.Add(1)
		u.requestMissing(s.conn, nil, true)
		return
	}
	missingState := u.ApplyUpdate(s.parent, update, body)
	u.requestMissing(s.conn, missingState, missingState != nil)
	if update.CutOff && !u.Controller {
		select {
		case s.cutOff <- struct{}{}:
		default:
		}
	}
}

// requestMissing requests missing state from the parent if this node is behind and the
// pacer allows it. If state is nil, the result of SyncState is sent.
func (u *Subscriber) requestMissing(conn *transport.Conn, state *messages.SyncState, behind bool) {
	if !u.pacer.Due(behind, u.nowUs()) {
		return
	}
	if state == nil {
		current := u.SyncState()
		state = &current
	}
	u.setRequesterFields(state)
	if b, err := state.MarshalMsg(nil); err == nil {
		_ = conn.Push(transport.KindSyncState, b)
	}
}
