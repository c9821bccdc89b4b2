// Faults of limited duration, which end at their time or when everything heals.

package simulation

// injector injects faults into a network.
type injector struct {
	kernel  *Kernel
	network *Network
	healed  bool
}

// endFaultAfter ends a fault after a time, unless all faults have been ended before.
func (i *injector) endFaultAfter(forUs int64, end func()) {
	i.kernel.After(forUs, func() {
		if !i.healed {
			end()
		}
	})
}

// cutBothWays cuts the links between two addresses in both directions for a time.
func (i *injector) cutBothWays(a, b string, forUs int64) {
	i.cutOneWay(a, b, forUs)
	i.cutOneWay(b, a, forUs)
}

func (i *injector) cutOneWay(from, to string, forUs int64) {
	link := i.network.Link(from, to)
	link.Cuts++
	i.endFaultAfter(forUs, func() { link.Cuts-- })
}

// cutRefusing cuts the links between two addresses in both directions and refuses connections.
func (i *injector) cutRefusing(a, b string, forUs int64) {
	i.cutBothWays(a, b, forUs)
	for _, link := range []*Link{i.network.Link(a, b), i.network.Link(b, a)} {
		link.Refusals++
		i.endFaultAfter(forUs, func() { link.Refusals-- })
	}
}
