// Checks of a fleet during partitions of registrars and after all faults have been healed.

package simulation

// recordPartition is called when links are cut or restored.
func (f *fleet) recordPartition() {
	if !f.connected() {
		f.partitionedAtUs = f.kernel.NowUs()
	}
}

// connected reports whether every two registrars have a path to each other, possibly through
// others.
func (f *fleet) connected() bool {
	reached := map[*registrar]bool{f.registrars[0]: true}
	queue := []*registrar{f.registrars[0]}
	for len(queue) > 0 {
		from := queue[0]
		queue = queue[1:]
		for _, to := range from.others() {
			linkUp := f.network.Link(from.addr, to.addr).Cuts+f.network.Link(to.addr, from.addr).Cuts == 0
			if linkUp && !reached[to] {
				reached[to] = true
				queue = append(queue, to)
			}
		}
	}
	return len(reached) == len(f.registrars)
}

// endedUnlistedCheck returns a check to run at the end of a cut. If the cut was the only fault, so
// that all registrars were in contact, instances that ended more than partialUnlistedUs ago must be
// unlisted.
func (f *fleet) endedUnlistedCheck(victim *registrar) func() {
	turns, alone := f.faultEvents, f.activeFaults == 1
	return func() {
		if !alone || f.faultEvents != turns {
			return
		}
		for _, instance := range f.endedInstances {
			sinceUs := f.kernel.NowUs() - max(instance.atUs, f.partitionedAtUs)
			if sinceUs > partialUnlistedUs && victim.listed(instance.id) {
				f.kernel.Fail("%s ended, %d us have passed without a partition, and it is listed at %s", instance.id, sinceUs, victim.addr)
			}
		}
	}
}

// liveRunnersListedCheck returns a check to run at the end of a cut: the registrar that was cut off
// must not have unlisted runners that kept sending heartbeats to any registrar. The check applies
// to cuts that were the only fault, since a runner whose registrar is itself cut off is silent to
// all others, and to partial cuts that left a path between all registrars.
func (f *fleet) liveRunnersListedCheck(victim *registrar) func() {
	begunUs, turns, alone := f.kernel.NowUs(), f.faultEvents, f.activeFaults == 1
	undisturbed := func() bool {
		if f.partial {
			return f.partitionedAtUs < begunUs-listedUs
		}
		return alone && f.faultEvents == turns
	}
	life, listed := victim.process.life, map[string]bool{}
	for _, r := range f.runners {
		listed[r.id()] = r.isSettled() && victim.process.Up() && victim.listed(r.id())
	}
	return func() {
		for _, r := range f.runners {
			if undisturbed() && victim.process.life == life && listed[r.id()] && r.isSettled() && !victim.listed(r.id()) {
				f.kernel.Fail("%s beats and is no longer listed at %s, which was cut off", r.id(), victim.addr)
			}
		}
	}
}

// checkListed checks that every settled runner is listed at every registrar.
func (f *fleet) checkListed() {
	for _, r := range f.runners {
		for _, at := range f.registrars {
			if r.isSettled() && !at.listed(r.id()) {
				record, known := at.runners.Record(r.id())
				f.kernel.Fail("%s beats and is not listed at %s: known %v, %+v", r.id(), at.addr, known, record)
			}
		}
	}
}

// checkUnlisted checks that no ended instance is listed at any registrar.
func (f *fleet) checkUnlisted() {
	for _, instance := range f.endedInstances {
		for _, at := range f.registrars {
			if at.listed(instance.id) {
				f.kernel.Fail("%s has ended and is listed at %s", instance.id, at.addr)
			}
		}
	}
}
