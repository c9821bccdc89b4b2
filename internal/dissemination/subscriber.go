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
	// UpdateInterval is how often a feed goes out at least, be it empty.
	UpdateInterval = 250 * time.Millisecond
	// silentFor is after how long without one a parent is left.
	silentFor = 900 * time.Millisecond
	// dialWait and subscribeWait are how long a parent may take to be joined.
	dialWait      = 250 * time.Millisecond
	subscribeWait = 600 * time.Millisecond
	// shunFor is how long a parent that fell silent is not the first choice.
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

// Subscriber is a node's link to its parent.
type Subscriber struct {
	Controller   bool // this node is a controller
	SyncState    func() messages.Hold
	Parents      func() []string
	ApplyUpdate  func(parent string, f messages.Feed, raw []byte) (want *messages.Hold)
	Acked        func(seq int64)   // the parent has taken what was told under seq
	ResendAll    func()            // the parent lacks what came before: all is to be told
	Unsubscribed func(addr string) // the subscription there has ended
	Patience     time.Duration     // instead of anythingAfter

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
			if u.once(ctx, r, p) {
				break
			}
		}
		loop.Pause(ctx, 50*time.Millisecond)
	}
}

// Send sends something up; false where there is no parent now.
func (u *Subscriber) Send(kind int, body msgp.Marshaler) bool {
	l := u.link.Load()
	if l == nil {
		return false
	}
	b, err := body.MarshalMsg(nil)
	return err == nil && l.Push(kind, b) == nil
}

// holds names what this node holds and who asks.
func (u *Subscriber) holds() messages.Hold {
	h := u.SyncState()
	u.complete(&h)
	return h
}

func (u *Subscriber) complete(h *messages.Hold) {
	h.Controller = u.Controller
	h.Anything = newcomer(*h) && time.Since(u.began) > u.Patience
}

// newcomer tells a node that has no configuration yet.
func newcomer(h messages.Hold) bool { return !h.Controller && h.Configuration.Version == 0 }

func (u *Subscriber) once(ctx context.Context, r *transport.Transport, parent string) bool {
	if parent == r.Addr() {
		return false
	}
	dctx, dcancel := context.WithTimeout(ctx, dialWait)
	l, err := r.DialFresh(dctx, parent)
	dcancel()
	if err != nil {
		return false
	}
	defer l.Close()
	var last atomic.Int64
	leave := make(chan struct{}, 1)
	l.OnPush = func(kind int, body []byte) {
		u.hear(l, parent, kind, body, func() { last.Store(u.nowUs()) }, leave)
	}
	go l.Serve(ctx)
	u.joined.Store(l)
	h := u.holds()
	cctx, cancel := context.WithTimeout(ctx, subscribeWait)
	_, err = l.Call(cctx, transport.KindSubscribe, &h)
	cancel()
	if err != nil {
		return false
	}
	u.link.Store(l)
	u.ResendAll()
	defer func() {
		u.link.CompareAndSwap(l, nil)
		u.Unsubscribed(parent)
	}()
	last.Store(u.nowUs())
	t := time.NewTicker(UpdateInterval)
	defer t.Stop()
	for {
		select {
		case <-l.Done():
			return true
		case <-ctx.Done():
			return true
		case <-leave:
			if h := u.holds(); newcomer(h) && !h.Anything {
				return false
			}
			if u.policy.LeaveCutOff(parent, u.nowUs()) {
				return true
			}
		case <-t.C:
			nowUs := u.nowUs()
			if u.policy.LeaveSilent(parent, nowUs-last.Load(), nowUs) || u.policy.Moves(u.Parents(), parent, nowUs) {
				return true
			}
		}
	}
}

func (u *Subscriber) hear(l *transport.Conn, parent string, kind int, body []byte, alive func(), leave chan struct{}) {
	switch kind {
	case transport.KindFeed:
		if u.joined.Load() != l {
			return // of a parent that was left: its list of runners would replace the new one's
		}
		alive()
		var f messages.Feed
		if _, err := f.UnmarshalMsg(body); err != nil {
			u.Malformed.Add(1)
			u.want(l, nil, true)
			return
		}
		want := u.ApplyUpdate(parent, f, body)
		u.want(l, want, want != nil)
		if f.CutOff && !u.Controller {
			select {
			case leave <- struct{}{}:
			default:
			}
		}
	case transport.KindHeard:
		var t messages.Told
		if _, err := t.UnmarshalMsg(body); err == nil {
			u.Acked(t.Seq)
		}
	case transport.KindTellAgain:
		u.ResendAll()
	default:
		u.Malformed.Add(1)
	}
}

// want asks the parent for what is lacking, if anything is and it is time.
func (u *Subscriber) want(l *transport.Conn, h *messages.Hold, lacks bool) {
	if !u.pacer.Due(lacks, u.nowUs()) {
		return
	}
	if h == nil {
		held := u.SyncState()
		h = &held
	}
	u.complete(h)
	if b, err := h.MarshalMsg(nil); err == nil {
		_ = l.Push(transport.KindWant, b)
	}
}
