// Listen is the other end of a Relay: it keeps one subscription, to the first
// of the wanted parents that answers, and moves when the wanted parent changes
// or the link ends.
package radio

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/wire"
)

// Listen subscribes until ctx ends. parents gives the wanted parents, best
// first; take gets every piece of news.
func Listen(ctx context.Context, r *Radio, dispatch bool, parents func() []string, take func(wire.News)) {
	for ctx.Err() == nil {
		for _, p := range parents() {
			if listenOnce(ctx, r, p, dispatch, parents, take) {
				break
			}
		}
		loop.Pause(ctx, 50*time.Millisecond)
	}
}

func listenOnce(ctx context.Context, r *Radio, parent string, dispatch bool, parents func() []string, take func(wire.News)) bool {
	if parent == r.Addr() {
		return false
	}
	dctx, dcancel := context.WithTimeout(ctx, 250*time.Millisecond)
	l, err := r.dialFresh(dctx, parent)
	dcancel()
	if err != nil {
		return false
	}
	defer l.Close()
	l.OnNews = func(body []byte) {
		var n wire.News
		if _, err := n.UnmarshalMsg(body); err == nil {
			take(n)
		}
	}
	go l.read(ctx)
	cctx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
	_, err = l.Call(cctx, KindSubscribe, &wire.Marks{Parts: []int64{}, Dispatch: dispatch})
	cancel()
	if err != nil {
		return false
	}
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-l.Done():
			return true
		case <-ctx.Done():
			return true
		case <-t.C:
			if list := parents(); len(list) > 0 && list[0] != parent {
				return true
			}
		}
	}
}

// Parents orders the nodes that a counter may take news from: its place in the
// tree first. The counters of a site stand in a fixed order; the first few
// hang on the site's dispatch, the others on counters before them, so that a
// piece of news crosses to a site once for every dispatch there.
func Parents(self string, site string, dispatches, counters []wire.Peer) []string {
	var near, far, row []string
	for _, d := range dispatches {
		if d.Site == site {
			near = append(near, d.Addr)
		} else {
			far = append(far, d.Addr)
		}
	}
	at := -1
	for _, c := range counters {
		if c.Site != site {
			continue
		}
		if c.Addr == self {
			at = len(row)
		}
		row = append(row, c.Addr)
	}
	var out []string
	if at >= fanOut {
		out = append(out, row[(at-fanOut)/fanOut])
	}
	if len(far) > 1 {
		turn := max(at, 0) % len(far)
		far = append(far[turn:], far[:turn]...)
	}
	return append(append(out, near...), far...)
}

const fanOut = 8
