// Relay passes news down the tree: whoever subscribes gets a snapshot of all
// there is, then every piece of news as it comes. A subscriber that does not
// keep up is cut off and comes back for a new snapshot.
package radio

import (
	"context"
	"sync"

	"beechtide.org/beechtide/internal/wire"
)

const relayDepth = 256

// Relay is one node's place in the tree.
type Relay struct {
	mu       sync.Mutex
	subs     map[*Link]*sub
	snapshot func() wire.News
}

type sub struct {
	news     chan []byte
	dispatch bool
}

// NewRelay hangs the subscription into the radio.
func NewRelay(r *Radio, snapshot func() wire.News) *Relay {
	y := &Relay{subs: map[*Link]*sub{}, snapshot: snapshot}
	r.OnCall(KindSubscribe, func(_ context.Context, from *Link, body []byte) ([]byte, error) {
		var m wire.Marks
		if _, err := m.UnmarshalMsg(body); err != nil {
			return nil, err
		}
		y.add(from, m.Dispatch)
		return nil, nil
	})
	r.OnCall(KindSnapshot, func(context.Context, *Link, []byte) ([]byte, error) {
		n := snapshot()
		return n.MarshalMsg(nil)
	})
	return y
}

func (y *Relay) add(l *Link, dispatch bool) {
	ch := make(chan []byte, relayDepth)
	y.mu.Lock()
	y.subs[l] = &sub{ch, dispatch}
	n := y.snapshot()
	y.mu.Unlock()
	if b, err := n.MarshalMsg(nil); err == nil {
		ch <- b
	}
	go func() {
		defer func() {
			y.mu.Lock()
			delete(y.subs, l)
			y.mu.Unlock()
			l.Close()
		}()
		for {
			select {
			case b, ok := <-ch:
				if !ok || l.Push(KindNews, b) != nil {
					return
				}
			case <-l.Done():
				return
			}
		}
	}()
}

// Publish sends news to all subscribers.
func (y *Relay) Publish(n wire.News) { y.publish(n, true) }

// PublishDown sends news to those further down the tree only.
func (y *Relay) PublishDown(n wire.News) { y.publish(n, false) }

func (y *Relay) publish(n wire.News, toDispatches bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if len(y.subs) == 0 {
		return
	}
	b, err := n.MarshalMsg(nil)
	if err != nil {
		return
	}
	for l, s := range y.subs {
		if s.dispatch && !toDispatches {
			continue
		}
		select {
		case s.news <- b:
		default:
			delete(y.subs, l)
			close(s.news)
		}
	}
}
