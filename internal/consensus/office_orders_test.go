package consensus

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/simulation/history"
)

// client is an operator with the order it wants through.
type client struct {
	order    order
	wants    bool
	believes int64 // the newest version that it was told of
}

type order struct {
	digest   string
	version  int64
	base     int64
	disputed bool
}

// apply is the change that an order asks for, by the rules of the product.
func (o *office) apply(r order) Change {
	strict := o.stricter
	return func(cur messages.Value) ([]messages.Member, []byte, error) {
		body := bodyOf(cur)
		bring := r.bring(strict)
		next, err := bring.Apply(body)
		if err != nil && bring.Contested(body) {
			return nil, nil, SealRefusal(err)
		}
		if err != nil {
			return nil, nil, err
		}
		b, err := next.MarshalMsg(nil)
		return nil, b, err
	}
}

func (r order) bring(strict bool) routeconfig.Order {
	out := routeconfig.Order{Raw: []byte(r.digest), Version: r.version, Base: r.base}
	if strict && r.disputed {
		out.Fault = &routeconfig.Invalid{Field: "routes", Reason: "refused since the last version of the program"}
	}
	return out
}

func bodyOf(v messages.Value) messages.ConfigBody {
	var body messages.ConfigBody
	if len(v.Body) > 0 {
		if _, err := body.UnmarshalMsg(v.Body); err != nil {
			panic(err)
		}
	}
	return body
}

func weightsOf(v messages.Value) int64 {
	n, _ := strconv.ParseInt(string(v.Body), 10, 64)
	return n
}

var errHigher = errors.New("a higher one is named")

func weights(n int64) Change {
	return func(cur messages.Value) ([]messages.Member, []byte, error) {
		if weightsOf(cur) >= n {
			return nil, nil, errHigher
		}
		return nil, []byte(fmt.Sprint(n)), nil
	}
}

func (o *office) anyUp() *member {
	var up []*member
	for _, m := range o.members {
		if m.up && len(m.known[0].Group) > 0 && len(m.known[1].Group) > 0 {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[o.rnd.IntN(len(up))]
}

// act lets an operator call: an order, mostly the same again until it is told
// something final, a read, or weights.
func (o *office) act(i int) {
	at := o.anyUp()
	if at == nil {
		return
	}
	c := &o.clients[i]
	switch k := o.rnd.IntN(10); {
	case k < 2:
		o.read(i, at, ConfigPart)
	case k < 3:
		o.read(i, at, weightsPart)
	case k < 4:
		n := int64(1 + o.rnd.IntN(20))
		call := history.Call{Kind: history.NameWeights, Model: "m", Version: n}
		o.start(&pending{id: o.hist.Begin(i, call), client: i, at: at, part: weightsPart}, weights(n))
	default:
		if !c.wants {
			c.order, c.wants = o.draw(c.believes), true
		}
		o.replace(i, at, c.order)
		if other := o.anyUp(); o.lot(2) { // a second node at the same time
			o.replace(i, other, c.order)
		}
	}
}

// draw makes an order: at times on a base that is only under way, at times
// under a number that others use too.
func (o *office) draw(believes int64) order {
	o.serial++
	r := order{digest: fmt.Sprintf("c%d", o.serial), base: believes, disputed: o.lot(3)}
	if other := o.clients[o.rnd.IntN(operators)]; other.wants && o.lot(2) {
		r.base = other.order.version
	}
	r.version = r.base + 1 + int64(o.rnd.IntN(2))
	return r
}

func (o *office) replace(i int, at *member, r order) {
	call := history.Call{Kind: history.Replace, Digest: r.digest, Version: r.version, Base: r.base, Disputed: r.disputed}
	id := o.hist.Begin(i, call)
	o.hist.Note("call %d is at %s", id, at.addr)
	if r.bring(o.stricter).TakenIn(bodyOf(at.known[ConfigPart])) {
		o.answer(&pending{id: id, client: i}, history.Answer{Verdict: history.Taken})
		return
	}
	o.start(&pending{id: id, client: i, at: at, part: ConfigPart}, o.apply(r))
}

func (o *office) read(i int, at *member, part int) {
	call := history.Call{Kind: history.Read}
	if part == weightsPart {
		call = history.Call{Kind: history.ReadWeights, Model: "m"}
	}
	p := &pending{id: o.hist.Begin(i, call), client: i, at: at, part: part}
	o.pending = append(o.pending, p)
	o.lookAgain(p)
}

// answer ends a call; the answer may be lost on its way.
func (o *office) answer(p *pending, a history.Answer) {
	o.drop(p)
	if p.id < 0 {
		return
	}
	if o.trouble(6) {
		o.hist.Note("call %d: %s, lost", p.id, a)
		return
	}
	o.hist.End(p.id, a)
	if p.look == nil && a.Verdict == history.Taken {
		o.finals++
	}
	o.clients[p.client].hear(a, p)
}

func (c *client) hear(a history.Answer, p *pending) {
	if p.part != ConfigPart || a.Verdict == history.Unclear {
		return
	}
	if p.look != nil {
		c.believes = a.Version
		return
	}
	if a.Verdict == history.Taken {
		c.believes = max(c.believes, c.order.version)
	}
	c.wants = false
}

// finish turns the end of an attempt into what the operator is told.
func (o *office) finish(p *pending) {
	var bad *routeconfig.Invalid
	err := p.round.Err
	switch {
	case p.look != nil: // the settling of a read
		o.lookAgain(p)
	case err == nil, errors.Is(err, routeconfig.ErrTakenBefore), errors.Is(err, errHigher):
		o.answer(p, history.Answer{Verdict: history.Taken})
	case errors.Is(err, routeconfig.ErrOvertaken):
		o.answer(p, history.Answer{Verdict: history.Overtaken})
	case errors.As(err, &bad):
		o.answer(p, history.Answer{Verdict: history.Invalid})
	default:
		o.answer(p, history.Answer{})
	}
}

// tell answers a read.
func (o *office) tell(p *pending) {
	if p.part == weightsPart {
		o.answer(p, history.Answer{Verdict: history.Taken, Version: weightsOf(p.look.Base)})
		return
	}
	body := bodyOf(p.look.Base)
	o.answer(p, history.Answer{Verdict: history.Taken, Version: body.Version, Digest: string(body.Raw)})
}
