// Visit asks the seeds, then all nodes that they know, for their condition.
package doctor

import (
	"context"
	"sort"
	"time"

	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// Caller carries a call to a node.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

const visitWait = 1500 * time.Millisecond

// Visit collects what Examine goes by.
func Visit(ctx context.Context, r Caller, seeds []string) []Visited {
	seen := map[string]Visited{}
	for _, s := range seeds {
		v := ask(ctx, r, s, messages.Controller)
		v.Seed = true
		seen[s] = v
	}
	for _, v := range copyOf(seen) {
		if v.Condition == nil {
			continue
		}
		for _, p := range v.Condition.Peers {
			if _, ok := seen[p.Addr]; !ok {
				seen[p.Addr] = ask(ctx, r, p.Addr, p.Role)
			}
		}
	}
	out := copyOf(seen)
	sort.Slice(out, func(i, j int) bool { return out[i].Addr < out[j].Addr })
	return out
}

func copyOf(m map[string]Visited) []Visited {
	var out []Visited
	for _, v := range m {
		out = append(out, v)
	}
	return out
}

func ask(ctx context.Context, r Caller, addr string, role messages.Role) Visited {
	ctx, cancel := context.WithTimeout(ctx, visitWait)
	defer cancel()
	began := time.Now()
	v := Visited{Addr: addr, Role: role, AskedUs: began.UnixMicro()}
	b, err := r.Call(ctx, addr, transport.KindCondition, &messages.Versions{Parts: []int64{}})
	v.TookUs = time.Since(began).Microseconds()
	var c messages.Condition
	if err == nil {
		if _, err := c.UnmarshalMsg(b); err == nil {
			v.Condition = &c
		}
	}
	return v
}

// Rings fetches the log rings of the nodes that answered.
func Rings(ctx context.Context, r Caller, list []Visited) map[string]string {
	out := map[string]string{}
	for _, v := range list {
		if v.Condition == nil {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, visitWait)
		b, err := r.Call(cctx, v.Addr, transport.KindRing, &messages.Versions{Parts: []int64{}})
		cancel()
		if err == nil {
			out[v.Condition.Node+" "+string(v.Condition.Role)] = string(b)
		}
	}
	return out
}
