// View is the membership of nodes as one of them sees it: probes to a few
// others in turn, second opinions through third parties, suspicion before
// removal. It is a state machine: time and messages come in as arguments, and
// what is to be sent comes back as a list.
package membership

import (
	"math/bits"
	"sort"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// ViewTimes are the waits of a View, in microseconds.
type ViewTimes struct {
	ProbeUs   int64
	AckUs     int64
	SuspectUs int64
	ForgetUs  int64
}

// DefaultViewTimes suit links of a few milliseconds.
var DefaultViewTimes = ViewTimes{ProbeUs: 400_000, AckUs: 250_000, SuspectUs: 900_000, ForgetUs: 60_000_000}

// Send is a datagram that a View wants sent.
type Send struct {
	To   string
	Kind int
	Msg  messages.Probe
}

type peerState struct {
	peer    messages.Peer
	sinceUs int64
	spread  int
	older   bool
}

type probing struct {
	of       string
	sentUs   int64
	indirect bool
}

// View holds the view.
type View struct {
	self    messages.Peer
	times   ViewTimes
	peers   map[string]*peerState
	order   []string
	turn    int
	seq     int64
	wait    map[int64]*probing
	nextUs  int64
	rnd     func(n int) int
	version int64
	bornUs  int64
}

// NewView starts with the node alone.
func NewView(self messages.Peer, times ViewTimes, rnd func(n int) int) *View {
	self.Status = messages.Alive
	return &View{self: self, times: times, peers: map[string]*peerState{}, wait: map[int64]*probing{}, rnd: rnd}
}

// Self is the node's own entry.
func (c *View) Self() messages.Peer { return c.self }

// SetMemberID tells the others under which name this node keeps the registers.
func (c *View) SetMemberID(id string) {
	if c.self.MemberID != id {
		c.self.MemberID = id
		c.self.Life++
		c.version++
	}
}

// Version rises with every change of the view.
func (c *View) Version() int64 { return c.version }

// Alive lists the peers not known dead, the node itself included, by address.
func (c *View) Alive(role messages.Role) []messages.Peer {
	var out []messages.Peer
	if c.self.Role == role {
		out = append(out, c.self)
	}
	for _, m := range c.peers {
		if m.peer.Role == role && m.peer.Status != messages.Dead {
			out = append(out, m.peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Addr < out[j].Addr })
	return out
}

// unknownUs is how long after its own start a node waits for an address to be
// heard of before it takes it for gone: whoever died before that start is never
// heard of at all.
const unknownUs = 2_000_000

// DeadForUs tells for how long the peer at addr has been known dead, or has not
// been heard of; 0 where it is not gone.
func (c *View) DeadForUs(addr string, nowUs int64) int64 {
	if addr == c.self.Addr {
		return 0
	}
	m := c.peers[addr]
	if m == nil {
		return max(nowUs-c.bornUs-unknownUs, 0)
	}
	if m.peer.Status != messages.Dead {
		return 0
	}
	return max(nowUs-m.sinceUs, 1)
}

// Knows tells whether addr was ever heard of.
func (c *View) Knows(addr string) bool { return c.peers[addr] != nil }

// Greet makes a probe to an address that is not yet known, such as a seed.
func (c *View) Greet(addr string) Send {
	c.seq++
	return Send{To: addr, Kind: transport.KindProbe, Msg: messages.Probe{Seq: c.seq, From: c.self, Gossip: c.gossip(nil, true)}}
}

// Tick moves time on.
func (c *View) Tick(nowUs int64) []Send {
	if c.bornUs == 0 {
		c.bornUs = nowUs
	}
	var out []Send
	for seq, w := range c.wait {
		m := c.peers[w.of]
		if m == nil {
			delete(c.wait, seq)
			continue
		}
		age := nowUs - w.sentUs
		if !w.indirect && age >= c.times.AckUs {
			w.indirect = true
			for _, via := range c.pick(2, w.of) {
				out = append(out, Send{To: via, Kind: transport.KindProbe, Msg: messages.Probe{Seq: seq, From: c.self, Of: w.of, Gossip: c.gossip(nil, false)}})
			}
		}
		if age >= 2*c.times.AckUs {
			delete(c.wait, seq)
			if m.peer.Status == messages.Alive {
				p := m.peer
				p.Status = messages.Suspect
				c.take(p, nowUs)
			}
		}
	}
	for addr, m := range c.peers {
		if m.peer.Status == messages.Suspect && nowUs-m.sinceUs >= c.suspectUs() {
			p := m.peer
			p.Status = messages.Dead
			c.take(p, nowUs)
		}
		if m.peer.Status == messages.Dead && nowUs-m.sinceUs >= c.times.ForgetUs {
			delete(c.peers, addr)
			c.order = nil
		}
	}
	if nowUs >= c.nextUs {
		c.nextUs = nowUs + c.times.ProbeUs
		if of := c.next(nowUs); of != "" {
			c.seq++
			c.wait[c.seq] = &probing{of: of, sentUs: nowUs}
			out = append(out, Send{To: of, Kind: transport.KindProbe, Msg: messages.Probe{Seq: c.seq, From: c.self, Gossip: c.gossip(c.peers[of], false)}})
		}
	}
	return out
}

// Hear takes a probe or an acknowledgement.
func (c *View) Hear(kind int, p messages.Probe, nowUs int64) []Send {
	fresh := c.peers[p.From.Addr] == nil
	from := p.From
	from.Status = messages.Alive
	c.take(from, nowUs)
	for _, g := range p.Gossip {
		c.take(g, nowUs)
	}
	if kind == transport.KindProbe {
		switch {
		case p.Of != "" && p.Of != c.self.Addr:
			return []Send{{To: p.Of, Kind: transport.KindProbe, Msg: messages.Probe{Seq: p.Seq, From: c.self, Through: p.From.Addr, Gossip: c.gossip(nil, false)}}}
		case p.Through != "":
			return []Send{{To: p.From.Addr, Kind: transport.KindAck, Msg: messages.Probe{Seq: p.Seq, From: c.self, Through: p.Through, Gossip: c.gossip(nil, false)}}}
		}
		return []Send{{To: p.From.Addr, Kind: transport.KindAck, Msg: messages.Probe{Seq: p.Seq, From: c.self, Gossip: c.gossip(c.peers[p.From.Addr], fresh)}}}
	}
	if p.Through != "" && p.Through != c.self.Addr {
		return []Send{{To: p.Through, Kind: transport.KindAck, Msg: messages.Probe{Seq: p.Seq, From: c.self, Of: p.From.Addr, Gossip: []messages.Peer{p.From}}}}
	}
	if w := c.wait[p.Seq]; w != nil && (w.of == p.From.Addr || w.of == p.Of) {
		if m := c.peers[w.of]; m != nil && m.peer.Status == messages.Suspect {
			q := m.peer
			q.Status = messages.Alive
			q.Life++
			if w.of != p.From.Addr {
				c.take(q, nowUs)
			}
		}
		delete(c.wait, p.Seq)
	}
	return nil
}

// often is how many times a piece of news is passed on: enough that it reaches
// all, which takes a number that grows with the logarithm of theirs.
func (c *View) often() int { return max(6, 2*bits.Len(uint(len(c.peers)))) }

// suspectUs is how long a suspicion may be denied; with many nodes a denial
// takes more hops.
func (c *View) suspectUs() int64 {
	return c.times.SuspectUs * int64(max(6, bits.Len(uint(len(c.peers))))) / 6
}

func rankOf(s messages.Status) int {
	switch s {
	case messages.Dead:
		return 2
	case messages.Suspect:
		return 1
	}
	return 0
}

func (c *View) take(p messages.Peer, nowUs int64) {
	if p.Addr == "" {
		return
	}
	if p.Addr == c.self.Addr {
		if p.Life > c.self.Life || p.Status != messages.Alive && p.Life == c.self.Life {
			c.self.Life = p.Life + 1
			c.version++
		}
		return
	}
	m := c.peers[p.Addr]
	if m == nil {
		if p.Status == messages.Dead {
			return
		}
		c.peers[p.Addr] = &peerState{peer: p, sinceUs: nowUs, spread: c.often()}
		c.order = nil
		c.version++
		return
	}
	if p.Life < m.peer.Life && p.Status == messages.Alive {
		m.older = true
	}
	newer := p.Life > m.peer.Life || p.Life == m.peer.Life && rankOf(p.Status) > rankOf(m.peer.Status)
	if !newer {
		return
	}
	if p.Status != m.peer.Status {
		m.sinceUs = nowUs
	}
	m.peer = p
	m.spread = c.often()
	c.version++
}

// next picks whom to probe; now and then a dead one, so that healed cuts are found.
func (c *View) next(int64) string {
	if len(c.order) == 0 {
		for addr := range c.peers {
			c.order = append(c.order, addr)
		}
		sort.Strings(c.order)
		for i := len(c.order) - 1; i > 0; i-- {
			j := c.rnd(i + 1)
			c.order[i], c.order[j] = c.order[j], c.order[i]
		}
		c.turn = 0
	}
	if len(c.order) == 0 {
		return ""
	}
	if c.turn >= len(c.order) {
		c.order = nil
		return c.next(0)
	}
	c.turn++
	return c.order[c.turn-1]
}

func (c *View) pick(n int, except string) []string {
	var all []string
	for addr, m := range c.peers {
		if addr != except && m.peer.Status == messages.Alive {
			all = append(all, addr)
		}
	}
	sort.Strings(all)
	for i := 0; i < n && i < len(all); i++ {
		j := i + c.rnd(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:min(n, len(all))]
}

// gossip gives the news about others that has been passed on least, always
// with what the receiver would want to deny about itself.
func (c *View) gossip(to *peerState, all bool) []messages.Peer {
	out := []messages.Peer{}
	if to != nil && (to.peer.Status != messages.Alive || to.older) {
		to.older = false
		out = append(out, to.peer)
	}
	var fresh []*peerState
	for _, m := range c.peers {
		if m != to && (all || m.spread > 0) {
			fresh = append(fresh, m)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if fresh[i].spread != fresh[j].spread {
			return fresh[i].spread > fresh[j].spread
		}
		return fresh[i].peer.Addr < fresh[j].peer.Addr
	})
	limit := 6
	if all {
		limit = 100
	}
	for _, m := range fresh[:min(limit, len(fresh))] {
		m.spread--
		out = append(out, m.peer)
	}
	return out
}
