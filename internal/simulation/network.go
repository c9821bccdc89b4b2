// The network: one link for each ordered pair, with delay, loss, duplication and
// partitions; varying delays reorder messages.

package simulation

// Link is the way from one address to another.
type Link struct {
	Cuts           int // how many faults cut it now
	LossPerMille   int
	DoublePerMille int
	DelayLowUs     int64
	DelayHighUs    int64
}

type pair struct{ from, to string }

// Network carries messages between addresses.
type Network struct {
	kernel *Kernel
	links  map[pair]*Link
}

// NewNetwork has whole links everywhere.
func NewNetwork(k *Kernel) *Network { return &Network{kernel: k, links: map[pair]*Link{}} }

// ordinary links lose a message now and then.
func ordinary() Link {
	return Link{LossPerMille: 2, DoublePerMille: 2, DelayLowUs: 200, DelayHighUs: 4 * Millisecond}
}

// Link is the way between two addresses, to be changed in place.
func (n *Network) Link(from, to string) *Link {
	l := n.links[pair{from, to}]
	if l == nil {
		whole := ordinary()
		l = &whole
		n.links[pair{from, to}] = l
	}
	return l
}

// Heal makes every link whole again.
func (n *Network) Heal() {
	for _, l := range n.links {
		*l = ordinary()
	}
}

// Send delivers after the link's delay, once, twice or never. A message that is
// under way when the link is cut is lost with it.
func (n *Network) Send(from, to string, deliver func()) {
	l := n.Link(from, to)
	times := 1
	if n.kernel.Chance(l.DoublePerMille) {
		times = 2
	}
	if l.Cuts > 0 || n.kernel.Chance(l.LossPerMille) {
		return
	}
	for range times {
		n.kernel.After(n.kernel.Between(l.DelayLowUs, l.DelayHighUs), func() {
			if l.Cuts == 0 {
				deliver()
			}
		})
	}
}
