// Model of the network: one link for each ordered pair of addresses, with delay, loss,
// duplication and partitions. Varying delays reorder messages.

package simulation

// Link is the state of the one-way link from one address to another.
type Link struct {
	Cuts              int // number of faults that cut the link now
	Refusals          int // number of these that refuse connections, rather than drop everything
	LossPerMille      int
	DuplicatePerMille int
	DelayLowUs        int64
	DelayHighUs       int64
}

type pair struct{ from, to string }

// Network carries messages between addresses.
type Network struct {
	kernel *Kernel
	links  map[pair]*Link
}

// NewNetwork returns a network in which every link is in the ordinary state.
func NewNetwork(k *Kernel) *Network { return &Network{kernel: k, links: map[pair]*Link{}} }

// ordinaryLink returns the state of a link without a fault, which still loses or duplicates a few messages.
func ordinaryLink() Link {
	return Link{LossPerMille: 2, DuplicatePerMille: 2, DelayLowUs: 200, DelayHighUs: 4 * Millisecond}
}

// Link returns the link from one address to another. Callers change it in place.
func (n *Network) Link(from, to string) *Link {
	l := n.links[pair{from, to}]
	if l == nil {
		link := ordinaryLink()
		l = &link
		n.links[pair{from, to}] = l
	}
	return l
}

// Heal resets every link to the ordinary state.
func (n *Network) Heal() {
	for _, l := range n.links {
		*l = ordinaryLink()
	}
}

// Send calls deliver after the link's delay, once, twice or never. A message whose link
// is cut when it is sent or when it would arrive is lost.
func (n *Network) Send(from, to string, deliver func()) {
	l := n.Link(from, to)
	copies := 1
	if n.kernel.Chance(l.DuplicatePerMille) {
		copies = 2
	}
	if l.Cuts > 0 || n.kernel.Chance(l.LossPerMille) {
		return
	}
	for range copies {
		n.kernel.After(n.kernel.Between(l.DelayLowUs, l.DelayHighUs), func() {
			if l.Cuts == 0 {
				deliver()
			}
		})
	}
}
