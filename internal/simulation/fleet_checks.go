// Checks of a fleet: while registrars are partitioned, and after everything has
// healed.

package simulation

// notePartition is called as links come and go.
func (f *fleet) notePartition() {
	if !f.connected() {
		f.partitionedAtUs = f.kernel.NowUs()
	}
}

// connected tells whether every two registrars have a way to each other, be it
// through others.
func (f *fleet) connected() bool {
	reached := map[*registrar]bool{f.registrars[0]: true}
	queue := []*registrar{f.registrars[0]}
	for len(queue) > 0 {
		from := queue[0]
		queue = queue[1:]
		for _, to := range from.others() {
			whole := f.network.Link(from.addr, to.addr).Cuts+f.network.Link(to.addr, from.addr).Cuts == 0
			if whole && !reached[to] {
				reached[to] = true
				queue = append(queue, to)
			}
		}
	}
	return len(reached) == len(f.registrars)
}

// endedUnlistedAt gives a check for the end of a cut that was alone, so that all
// registrars were in contact: instances that ended are stale or gone by then.
func (f *fleet) endedUnlistedAt(victim *registrar) func() {
	turns, alone := f.turns, f.active == 1
	return func() {
		if !alone || f.turns != turns {
			return
		}
		for _, instance := range f.gone {
			sinceUs := f.kernel.NowUs() - max(instance.atUs, f.partitionedAtUs)
			if sinceUs > staleUs && victim.listed(instance.id) {
				f.kernel.Fail("%s ended, %d us have passed without a partition, and it is listed at %s", instance.id, sinceUs, victim.addr)
			}
		}
	}
}

// conclusionsOf gives a check for the end of a cut: whoever was cut off drew no
// conclusions about runners that went on beating, wherever they were heard. It
// looks at cuts that were alone, since a runner that beats at a registrar which
// is itself cut off is silent to all others, and at partial cuts that left a way
// between all registrars.
func (f *fleet) conclusionsOf(victim *registrar) func() {
	begunUs, turns, alone := f.kernel.NowUs(), f.turns, f.active == 1
	undisturbed := func() bool {
		if f.partial {
			return f.partitionedAtUs < begunUs-listedUs
		}
		return alone && f.turns == turns
	}
	life, listed := victim.process.life, map[string]bool{}
	for _, r := range f.runners {
		listed[r.id()] = r.settled() && victim.process.Up() && victim.listed(r.id())
	}
	return func() {
		for _, r := range f.runners {
			if undisturbed() && victim.process.life == life && listed[r.id()] && r.settled() && !victim.listed(r.id()) {
				f.kernel.Fail("%s beats and is no longer listed at %s, which was cut off", r.id(), victim.addr)
			}
		}
	}
}

// checkListed has every runner that beats be listed at every registrar.
func (f *fleet) checkListed() {
	for _, r := range f.runners {
		for _, at := range f.registrars {
			if r.settled() && !at.listed(r.id()) {
				record, known := at.runners.Record(r.id())
				f.kernel.Fail("%s beats and is not listed at %s: known %v, %+v", r.id(), at.addr, known, record)
			}
		}
	}
}

// checkUnlisted has no runner that ended be listed anywhere.
func (f *fleet) checkUnlisted() {
	for _, instance := range f.gone {
		for _, at := range f.registrars {
			if at.listed(instance.id) {
				f.kernel.Fail("%s has ended and is listed at %s", instance.id, at.addr)
			}
		}
	}
}
